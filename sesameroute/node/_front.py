"""What callers and the platform's checks reach on a node."""

import logging
from http import HTTPStatus
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

_CODEC = 'latin-1'  # of everything in a header
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

    """

    def __init__(self, forwarder: Forwarder, clock: Clock) -> None:
        """Store the parameters."""
        self.forwarder = forwarder
        self.clock = clock

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer to one request, None if nobody takes it."""
        try:
            return self.forwarder.forward(self._read(request))
        except InputError as error:
            request.close_connection = True
            _logger.info('request not valid', extra={'why': error.message})
            return Answer(HTTPStatus.BAD_REQUEST, (), iter(()), 0)
        except SesameError:
            return None  # the forwarder has said why

    def _read(self, request: Any) -> CallerRequest:
        headers = tuple(
            (name.decode(_CODEC), text.decode(_CODEC))
            for name, text in request.inheaders.items()
        )
        return CallerRequest(
            request.method.decode(_CODEC),
            request.uri.decode(_CODEC),
            request.inheaders.get(b'Host', b'').decode(_CODEC),
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
        if request.path.decode(_CODEC) != READY_PATH:
            return Answer(HTTPStatus.NOT_FOUND, (), iter(()), 0)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if self.fleet.own.is_ready:
            status = HTTPStatus.OK
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
        self.longest = longest

    def __call__(self, request: Any) -> Answer:
        """Return the addresses for one caller."""
        if request.path.decode(_CODEC) != RESOLVE_PATH:
            return Answer(HTTPStatus.NOT_FOUND, (), iter(()), 0)
        region, _zone = read_question(request.qs.decode(_CODEC))
        fronts = self.fleet.list_fronts(region)
        if not fronts:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, (), iter(()), 0)
        seconds = min(_TTL_SECONDS, self.longest)
        content = write_places(fronts, seconds)
        return Answer(HTTPStatus.OK, _JSON, iter((content,)), len(content))


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
