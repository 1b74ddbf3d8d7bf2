"""One key in the home's record, and its answer."""

import threading
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import Final

from sesameroute.delivery._key import RequestKey
from sesameroute.exceptions import InputError, RequestError
from sesameroute.ports import Headers
from sesameroute.verdict import Verdict

__all__ = ['Entry', 'KeptAnswer', 'State']

_RUNNING_RETRY_AFTER: Final = 0.5  # seconds


@unique
class State(Enum):
    """State of a key at its home.

    Attributes
    ----------
    ADMITTED
        No byte has gone to a backend server.
    SENT
        The request may be running.
    ANSWERED, FAILED
        The final word is known.

    """

    ADMITTED = auto()
    SENT = auto()
    ANSWERED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """A whole answer kept for copies of its request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True, eq=False)
class Entry:
    """One key in the record.

    Attributes
    ----------
    fingerprint : str
        Digest of the request; a copy must have the same.
    kept : KeptAnswer or None
        The answer of a backend server.
    failure : RequestError or None
        The final word when the request got no answer.
    event : threading.Event or None
        Set at the end; made when the first copy waits.
    refused : bool
        Whether the key was refused at its admission.

    """

    key: RequestKey
    fingerprint: str
    state: State = State.ADMITTED
    kept: KeptAnswer | None = None
    failure: RequestError | None = None
    event: threading.Event | None = None
    refused: bool = False

    @property
    def final(self) -> bool:
        """Whether the entry will not change any more."""
        return self.state in {State.ANSWERED, State.FAILED}

    def check_copy(self, fingerprint: str) -> None:
        """Raise InputError if a request is not a copy of this one."""
        if self.fingerprint != fingerprint:
            raise InputError(
                f'key {self.key} belongs to another request',
                'key-reused',
            )

    def read(self) -> KeptAnswer:
        """Return the kept answer.

        Raises
        ------
        RequestError
            The final word on the request, or that it is still running.

        """
        if self.kept:
            return self.kept
        failure = self.failure
        if failure:
            raise RequestError(
                failure.message,
                failure.verdict,
                failure.code,
                failure.retry_after,
            )
        raise RequestError(
            'the first copy of the request is still running',
            Verdict.MAY_HAVE_RUN,
            'still-running',
            _RUNNING_RETRY_AFTER,
        )
