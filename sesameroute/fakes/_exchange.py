"""Requests and replies of a fake backend server."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

__all__ = ['HttpRequest', 'Reply']

_MILLISECONDS = 1000
_PATH_PARTS = 3
# Used if the sender gave no deadline.
_DEFAULT_SECONDS_LEFT = 60


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes
    ----------
    method, path : str
        From the request line.
    headers : mapping of str to str
        Header values by lower-case name.
    body : bytes
        Request body.
    received : float
        Monotonic seconds at which the request had been read.

    """

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    received: float = field(default_factory=time.monotonic)

    @property
    def key(self) -> str:
        """Value of the ``Sesame-Key`` header; empty if there is none."""
        return self.headers.get('sesame-key', '')

    @property
    def seconds_left(self) -> float:
        """Seconds until the deadline that the sender gave; 60 without one."""
        header = self.headers.get('sesame-deadline-ms', '')
        seconds = int(header) / _MILLISECONDS if header.isdecimal() else None
        if seconds is None:
            return _DEFAULT_SECONDS_LEFT
        return seconds - (time.monotonic() - self.received)

    def split_path(self) -> tuple[str, str, str]:
        """Return service, kind and order; empty strings for missing parts."""
        parts = self.path.strip('/').split('/', _PATH_PARTS - 1)
        service, kind, order = [*parts, '', '', ''][:_PATH_PARTS]
        return service, kind, order


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; if the status is None, the connection is reset instead."""

    status: HTTPStatus | None
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterable[bytes] = ()
