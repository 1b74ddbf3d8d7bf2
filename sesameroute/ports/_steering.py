"""Steering port: the choice of backend servers, as delivery uses it."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Protocol

from sesameroute.ports._upstream import Request
from sesameroute.statement import Upstream

__all__ = [
    'BACKEND_STOP_SECONDS',
    'Choice',
    'Outcome',
    'OutcomeCode',
    'Steering',
]

# Time in which a backend server must stop work whose caller no longer waits.
# docs/design/steering.md requires this of the servers' operators.
BACKEND_STOP_SECONDS = 0.1


@unique
class OutcomeCode(StrEnum):
    """How an attempt at a backend server ended.

    Attributes
    ----------
    ANSWERED
        It answered the request.
    SHED
        It refused the request because of its load.
    DRAINING
        It refused the request because it is leaving.
    REFUSED
        It could not be connected to.
    LOST
        The connection ended before the answer, or another error occurred.
    TIMEOUT
        No answer came in time.
    CANCELLED
        It was aborted on this side, such as when the caller has left.

    """

    ANSWERED = 'answered'
    SHED = 'shed'
    DRAINING = 'draining'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen backend server, with a slot that must be released.

    Attributes
    ----------
    upstream : Upstream
        The backend server.
    slot_id : int
        Id of the held slot, unique in this process.
    reason : str
        Why it was chosen, shown to operators by `explain`.

    """

    upstream: Upstream
    slot_id: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of an attempt at a backend server.

    Attributes
    ----------
    code : OutcomeCode
        How it ended.
    seconds : float
        Time from sending to the first byte of the answer.
    load : float or None
        Part of its slots in use as the server reported it, if it did.
    body_bytes : int
        Size of the answer's body.
    draining : bool
        Whether the server reported that it is leaving.

    """

    code: OutcomeCode
    seconds: float = 0
    load: float | None = None
    body_bytes: int = 0
    draining: bool = False


class Steering(Protocol):
    """Chooses backend servers and holds their slots.

    A slot stands for one request that a backend server runs at a time.
    """

    def choose(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Choice:
        """Wait for a slot that the request may use, and take it.

        Parameters
        ----------
        exclude : tuple of str
            Names of backend servers already tried.

        Raises
        ------
        RequestError
            No slot was free in time: `NOT_RUN`, code ``no-room``, with
            `retry_after`.

        """

    def record_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Record the result of an attempt for later choices."""

    def release(self, choice: Choice, *, may_still_run: bool = False) -> None:
        """Return the slot; a second call does nothing.

        Parameters
        ----------
        may_still_run : bool
            Whether the backend server may still work on the request, because
            the attempt ended without a complete answer. The slot is then
            free only after `BACKEND_STOP_SECONDS`.

        """

    def charge_bytes(self, choice: Choice, body_bytes: int) -> None:
        """Count body bytes against the link's capacity as they flow.

        May block briefly.
        """
