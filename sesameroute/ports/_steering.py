"""Steering port: what delivery asks of the routing decisions."""

from dataclasses import dataclass
from enum import StrEnum, unique
from typing import Protocol

from sesameroute.ports._upstream import Request
from sesameroute.statement import Upstream

__all__ = ['STOP_SECONDS', 'Choice', 'Outcome', 'OutcomeCode', 'Steering']

# In which a backend server ends work that nobody waits for any more; asked of
# its operators in docs/design/steering.md.
STOP_SECONDS = 0.1


@unique
class OutcomeCode(StrEnum):
    """How a try at a backend server ended."""

    ANSWERED = 'answered'
    SHED = 'shed'
    DRAINING = 'draining'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen backend server with a slot that must be released.

    Attributes
    ----------
    ticket : int
        Number of the held slot, unique in this process.
    reason : str
        Why it was chosen, for the operators' `explain`.

    """

    upstream: Upstream
    ticket: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a try showed.

    Attributes
    ----------
    seconds : float
        Time from sending to the first byte of the answer.
    load : float or None
        Reported part of slots in use, if the answer had one.
    body_bytes : int
        Size of the answer's body.
    draining : bool
        Whether the answer said that the backend server is leaving.

    """

    code: OutcomeCode
    seconds: float = 0
    load: float | None = None
    body_bytes: int = 0
    draining: bool = False


class Steering(Protocol):
    """Chooses backend servers and holds their slots."""

    def choose(
        self,
        request: Request,
        exclude: tuple[str, ...] = (),
    ) -> Choice:
        """Wait for a permitted slot and take it.

        Parameters
        ----------
        exclude : tuple of str
            Names of backend servers already tried.

        Raises
        ------
        RequestError
            No slot in time; `NOT_RUN`, code ``no-room``, with `retry_after`.

        """

    def observe(self, choice: Choice, outcome: Outcome) -> None:
        """Learn from a try."""

    def release(self, choice: Choice, *, runs: bool = False) -> None:
        """Give the slot back; a second call does nothing.

        Parameters
        ----------
        runs : bool
            Whether work may go on in it, since the try ended here without a
            whole answer: the slot is free once the backend server has had
            time to stop.

        """

    def charge(self, choice: Choice, body_bytes: int) -> None:
        """Charge bytes to the link as they flow; may block briefly."""
