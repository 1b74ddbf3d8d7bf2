"""What callers and the platform's checks reach on a node."""

import logging
import threading
from typing import Any

from sesameroute.exceptions import InputError, SesameError
from sesameroute.forward import CallerRequest, Forwarder
from sesameroute.node._fleet import Fleet
from sesameroute.platform import (
    READY_PATH,
    RESOLVE_PATH,
    read_question,
    write_places,
)
from sesameroute.ports import Answer, Clock

__all__ = ['DirectoryHandler', 'FrontHandler', 'ReadyHandler']

_NOT_READY = 503
_NOT_FOUND = 404
_BAD_REQUEST = 400
_TTL_SECONDS = 1.0  # callers hear of a lost node within some seconds
_JSON = (('Content-Type', 'application/json'),)

_logger = logging.getLogger(__name__)


class FrontHandler:
    """Turns cheroot's requests into the product's and forwards them.

    Parameters
    ----------
    forwarder : Forwarder
        Answers the requests.
    clock : Clock
        Source of time.

    Attributes
    ----------
    running : int
        Requests without an answer.
    seen : float
        Monotonic time in seconds at which the last one came or ended.

    """

    def __init__(self, forwarder: Forwarder, clock: Clock) -> None:
        """Store the parameters."""
        self.forwarder = forwarder
        self.clock = clock
        self.running = 0
        self.seen = 0.0
        self._lock = threading.Lock()

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer to one request, None if nobody takes it."""
        self._count(1)
        try:
            return self._answer(request)
        finally:
            self._count(-1)

    def _count(self, change: int) -> None:
        with self._lock:
            self.running += change
            self.seen = self.clock.read_monotonic()

    def _answer(self, request: Any) -> Answer | None:
        try:
            return self.forwarder.forward(self._read(request))
        except InputError as error:
            request.close_connection = True
            _logger.info('request not valid', extra={'why': error.message})
            return Answer(_BAD_REQUEST, (), iter(()), 0)
        except SesameError as error:
            _logger.info('request dropped', extra={'why': error.code})
            return None

    def _read(self, request: Any) -> CallerRequest:
        headers = tuple(
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in request.inheaders.items()
        )
        return CallerRequest(
            request.method.decode('latin-1'),
            request.uri.decode('latin-1'),
            request.inheaders.get(b'Host', b'').decode('latin-1'),
            headers,
            _BodyReader(request).read,
            _find_length(request),
            self.clock.read_monotonic(),
            request.conn.socket,
        )


class ReadyHandler:
    """Answers the platform's readiness check.

    Parameters
    ----------
    fleet : Fleet
        Knows whether this node is ready.

    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet."""
        self.fleet = fleet

    def __call__(self, request: Any) -> Answer:
        """Return 200 if callers may be sent here."""
        if request.path.decode('latin-1') != READY_PATH:
            return Answer(_NOT_FOUND, (), iter(()), 0)
        status = 200 if self.fleet.own.is_ready else _NOT_READY
        return Answer(status, (), iter(()), 0)


class DirectoryHandler:
    """Tells callers where to connect.

    Parameters
    ----------
    fleet : Fleet
        Knows the nodes.
    longest : float
        Longest time in seconds that an answer may be kept.

    """

    def __init__(self, fleet: Fleet, longest: float) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.seconds = min(_TTL_SECONDS, longest)

    def __call__(self, request: Any) -> Answer:
        """Return the addresses for one caller."""
        if request.path.decode('latin-1') != RESOLVE_PATH:
            return Answer(_NOT_FOUND, (), iter(()), 0)
        region, zone = read_question(request.qs.decode('latin-1'))
        fronts = self.fleet.list_fronts(region, zone)
        if not fronts:
            return Answer(_NOT_READY, (), iter(()), 0)
        content = write_places(fronts, self.seconds)
        return Answer(200, _JSON, iter((content,)), len(content))


class _BodyReader:
    """Reads a request's body and notices when it is cut."""

    def __init__(self, request: Any) -> None:
        self.request = request

    def read(self, size: int) -> bytes:
        """Return the next bytes; raise InputError when the body is cut."""
        source = self.request.rfile
        try:
            chunk = source.read(size)
        except (OSError, ValueError) as error:
            raise InputError(f'body was cut: {error}') from error
        if not chunk and getattr(source, 'remaining', 0):
            raise InputError(f'body lacks {source.remaining} bytes')
        return chunk


def _find_length(request: Any) -> int | None:
    if request.chunked_read:
        return None
    return int(request.inheaders.get(b'Content-Length', 0))
