"""One request and what has become of it so far."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import xxhash

from sesameroute.forward._message import (
    CallerRequest,
    CallerTerms,
    Dialect,
    TryError,
)
from sesameroute.forward._sender import Departure
from sesameroute.placement import Ask, Grant
from sesameroute.ports import Headers
from sesameroute.registry import Backend
from sesameroute.routes import Route

__all__ = [
    'HOP_HEADERS',
    'WHOLE_BYTES',
    'Trip',
    'build_departure',
    'compute_fingerprint',
    'is_spent',
    'read_body',
]

WHOLE_BYTES = 131_072  # bodies up to this are read whole before they go on
HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_PATIENCE_PART = 0.6  # of the timeout, until another backend server is tried
_RETRY_PART = 1 / 3  # of the time left: callers wait no longer
# A failed try says nothing about the room; the next one is placed anew.
_LONGEST_PAUSE = 0.01  # seconds


@dataclass(slots=True)
class Trip:
    """One request on its way.

    Attributes
    ----------
    until : float
        Monotonic time in seconds at which it gets its final answer.
    lost : float
        Seconds that the caller's earlier attempts took.
    excluded : tuple of str
        Backend servers that were tried.
    last : TryError or None
        How the last try failed.
    reserved : tuple of (Ask, Grant) or None
        Slot of the next try, taken while the last one ran.
    waited : float
        Seconds spent on getting slots.
    seen : float
        Monotonic time of the last decision in seconds.
    backend : str
        Backend server of the last try.
    fingerprint : str
        Digest of what makes a request the same when it comes again.

    """

    request: CallerRequest
    route: Route
    service: str
    terms: CallerTerms
    until: float
    lost: float
    body: object = None
    attempts: int = 0
    excluded: tuple[str, ...] = ()
    last: TryError | None = None
    reserved: tuple[Ask, Grant] | None = None
    waited: float = 0
    seen: float = 0
    backend: str = ''
    fingerprint: str = ''

    def limit_pause(self, now: float) -> float:
        """Return the seconds after which the caller may come back."""
        left = max(self.until - now, 0)
        return min(left * _RETRY_PART, _LONGEST_PAUSE)


class _LongBody:
    """A body that is passed on as it comes: it can be sent once."""

    def __init__(self, request: CallerRequest, first: bytes) -> None:
        self.request = request
        self.first = first
        self.is_spent = False

    def __iter__(self) -> Iterator[bytes]:
        self.is_spent = True
        yield self.first
        while chunk := self.request.read(WHOLE_BYTES):
            yield chunk


def read_body(request: CallerRequest) -> object:
    """Return a short body as bytes, a long one as an iterable."""
    if request.length == 0:
        return None
    first = b''
    while len(first) < WHOLE_BYTES:
        chunk = request.read(WHOLE_BYTES - len(first))
        if not chunk:
            return first
        first += chunk
    return _LongBody(request, first)


def compute_fingerprint(trip: Trip) -> str:
    """Return a digest of host, target, object and, if short, the body."""
    request = trip.request
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(f'{part}\0'.encode())
    digest.update(trip.terms.key.encode())
    if isinstance(trip.body, bytes):
        digest.update(trip.body)
    return digest.hexdigest()


def is_spent(body: object) -> bool:
    """Return whether a body can't be sent again."""
    return isinstance(body, _LongBody) and body.is_spent


def build_departure(
    trip: Trip,
    backend: Backend,
    dialect: Dialect,
    may_leave: Callable[[Trip], bool],
    now: float,
) -> Departure:
    """Return the request as it goes to a backend server."""
    route = trip.route
    patience = math.inf
    if route.kind.is_idempotent and trip.attempts < route.max_attempts:
        part = _PATIENCE_PART * route.timeout
        patience = max(now + part, trip.until - part)
    return Departure(
        trip.request.method,
        trip.request.target,
        _list_headers(trip, backend, dialect, trip.until - now),
        trip.body,
        trip.terms.identifier,
        trip.until,
        trip.request.caller if route.kind.is_idempotent else None,
        patience,
        lambda: may_leave(trip),
    )


def _list_headers(
    trip: Trip,
    backend: Backend,
    dialect: Dialect,
    seconds: float,
) -> Headers:
    kept = tuple(
        (name, text)
        for name, text in trip.request.headers
        if name.lower() not in HOP_HEADERS and not dialect.is_own(name)
    )
    own = dialect.write_terms(seconds, backend.name)
    if trip.request.length and isinstance(trip.body, _LongBody):
        own = (*own, ('Content-Length', str(trip.request.length)))
    return (*kept, *own)
