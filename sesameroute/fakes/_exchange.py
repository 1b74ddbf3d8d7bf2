"""Requests and replies of a stand-in backend server."""

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

__all__ = ['HttpRequest', 'Reply']

_MILLISECONDS = 1000
_PATH_PARTS = 3
_LONG_SECONDS = 60


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was read whole; `headers` have lower-case names."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    received: float = field(default_factory=time.monotonic)

    @property
    def key(self) -> str:
        """The request key, empty if there is none."""
        return self.headers.get('sesame-key', '')

    @property
    def seconds_left(self) -> float:
        """Time until the deadline that the sender gave."""
        told = self.headers.get('sesame-deadline-ms', '')
        seconds = int(told) / _MILLISECONDS if told.isdecimal() else None
        if seconds is None:
            return _LONG_SECONDS
        return seconds - (time.monotonic() - self.received)

    def split_path(self) -> tuple[str, str, str]:
        """Return service, kind and order; empty where the path is short."""
        parts = self.path.strip('/').split('/', _PATH_PARTS - 1)
        service, kind, order = [*parts, '', '', ''][:_PATH_PARTS]
        return service, kind, order


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; without a status the connection is closed unanswered."""

    status: HTTPStatus | None
    headers: tuple[tuple[str, str], ...] = ()
    chunks: Iterable[bytes] = ()
