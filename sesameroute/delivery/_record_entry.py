"""One key in the record of its home, and the stored response."""

import threading
from dataclasses import dataclass
from enum import Enum, auto, unique
from typing import Final

from sesameroute.delivery._key import RequestKey
from sesameroute.exceptions import InputError, RequestError
from sesameroute.ports import Headers
from sesameroute.verdict import Verdict

__all__ = ['StoredAnswer', 'KeyState', 'RecordEntry']

_RUNNING_RETRY_AFTER_SECONDS: Final = 0.5


@unique
class KeyState(Enum):
    """State of a request key at its home.

    Attributes
    ----------
    ADMITTED
        The key is recorded; nothing has been sent to a backend server.
    SENT
        The request may be running.
    ANSWERED
        Final: a backend server returned a response.
    FAILED
        Final: the request ended without a response.

    """

    ADMITTED = auto()
    SENT = auto()
    ANSWERED = auto()
    FAILED = auto()


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete response, stored for copies of its request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True, eq=False)
class RecordEntry:
    """One request key in the record of its home.

    Attributes
    ----------
    fingerprint : str
        Digest of the request; copies of the request have the same digest.
    stored_answer : StoredAnswer or None
        The response of a backend server.
    failure : RequestError or None
        The final error if the request got no response.
    event : threading.Event or None
        Set when the state becomes final; created when the first copy waits.
    refused : bool
        Whether the key was refused because the record was full.

    """

    key: RequestKey
    fingerprint: str
    state: KeyState = KeyState.ADMITTED
    stored_answer: StoredAnswer | None = None
    failure: RequestError | None = None
    event: threading.Event | None = None
    refused: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the entry will not change any more."""
        return self.state in {KeyState.ANSWERED, KeyState.FAILED}

    def check_same_request(self, fingerprint: str) -> None:
        """Raise InputError if the key is used for a different request."""
        if self.fingerprint != fingerprint:
            raise InputError(
                f'key {self.key} belongs to another request',
                'key-reused',
            )

    def get_answer(self) -> StoredAnswer:
        """Return the stored response.

        Raises
        ------
        RequestError
            The final error of the request, or code ``still-running``.

        """
        if self.stored_answer:
            return self.stored_answer
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
            _RUNNING_RETRY_AFTER_SECONDS,
        )
