"""HTTP handlers of a node: forwarding, readiness check and directory."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from sesameroute.exceptions import InputError, SesameError
from sesameroute.forward import CallerRequest, Forwarder
from sesameroute.node._fleet import Fleet
from sesameroute.platform import (
    READY_PATH,
    RESOLVE_PATH,
    encode_directory_answer,
    parse_directory_query,
)
from sesameroute.ports import Answer, Clock

__all__ = ['DirectoryHandler', 'ForwardHandler', 'ReadyHandler']

_HEADER_ENCODING = 'latin-1'  # encoding of request lines and headers
# Directory answers expire quickly, so that callers stop using a lost node
# within a few seconds.
_TTL_SECONDS = 1.0
_JSON_HEADERS = (('Content-Type', 'application/json'),)


class ForwardHandler:
    """Converts cheroot requests to caller requests and forwards them.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards the requests.
    clock : Clock
        Source of time.

    """

    def __init__(self, forwarder: Forwarder, clock: Clock) -> None:
        """Store the parameters."""
        self.forwarder = forwarder
        self.clock = clock

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer, or None if no answer can be sent."""
        try:
            return self.respond(self._read(request))
        except InputError as error:
            request.close_connection = True
            self.forwarder.refusals_.record(
                HTTPStatus.BAD_REQUEST, 'malformed', detail=error.message
            )
            return Answer(HTTPStatus.BAD_REQUEST, (), iter(()), 0)
        except SesameError:
            return None  # the forwarder has logged the reason

    def may_repeat(self, host: str, target: str) -> bool:
        """Return whether a request has a route that is idempotent."""
        table = self.forwarder.active_configuration.table_
        route = table and table.find(host, target.partition('?')[0])
        return route is not None and route.kind.is_idempotent

    def respond(self, request: CallerRequest) -> Answer:
        """Return the answer to a caller's request."""
        return self.forwarder.forward(request)

    def _read(self, request: Any) -> CallerRequest:
        # Of several fields of a name the last one counts, if only one may.
        fields = (*request.inheaders.replaced, *request.inheaders.items())
        headers = tuple(
            (name.decode(_HEADER_ENCODING), text.decode(_HEADER_ENCODING))
            for name, text in fields
        )
        return CallerRequest(
            request.method.decode(_HEADER_ENCODING),
            request.uri.decode(_HEADER_ENCODING),
            request.inheaders.get(b'Host', b'').decode(_HEADER_ENCODING),
            headers,
            _BodyReader(request).read,
            _find_length(request),
            request.conn.came_at,
            request.conn.socket,
            has_turn=request.conn.has_turn,
        )


class ReadyHandler:
    """Answers the platform's readiness checks.

    Parameters
    ----------
    fleet : Fleet
        Knows whether this node is ready.

    """

    def __init__(self, fleet: Fleet) -> None:
        """Store the fleet."""
        self.fleet = fleet

    def __call__(self, request: Any) -> Answer:
        """Return 200 if this node accepts and answers callers, else 503."""
        if request.path.decode(_HEADER_ENCODING) != READY_PATH:
            return Answer(HTTPStatus.NOT_FOUND, (), iter(()), 0)
        status = HTTPStatus.SERVICE_UNAVAILABLE
        state = self.fleet.own_state
        if state.is_ready and state.answers_callers:
            status = HTTPStatus.OK
        return Answer(status, (), iter(()), 0)


class DirectoryHandler:
    """Answers callers' queries for the addresses of ready nodes.

    Parameters
    ----------
    fleet : Fleet
        Knows the ready nodes.
    max_ttl_seconds : float
        Longest time that a caller may cache an answer.

    Attributes
    ----------
    is_open_ : callable
        Returns whether this node knows enough others to name any.

    """

    def __init__(self, fleet: Fleet, max_ttl_seconds: float) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.max_ttl_seconds = max_ttl_seconds
        self.is_open_: Callable[[], bool] = bool

    def __call__(self, request: Any) -> Answer:
        """Return the node addresses for the caller's region."""
        if request.path.decode(_HEADER_ENCODING) != RESOLVE_PATH:
            return Answer(HTTPStatus.NOT_FOUND, (), iter(()), 0)
        region, _zone = parse_directory_query(
            request.qs.decode(_HEADER_ENCODING)
        )
        is_open = self.is_open_()
        fronts = is_open and self.fleet.list_front_addresses(region)
        if not fronts:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, (), iter(()), 0)
        seconds = min(_TTL_SECONDS, self.max_ttl_seconds)
        content = encode_directory_answer(fronts, seconds)
        return Answer(
            HTTPStatus.OK, _JSON_HEADERS, iter((content,)), len(content)
        )


class _BodyReader:
    """Reads a request's body and detects when it is truncated."""

    def __init__(self, request: Any) -> None:
        self.request = request

    def read(self, size: int) -> bytes:
        """Return the next bytes; raise InputError if the body is truncated."""
        try:
            return self.request.rfile.read(size)
        except (OSError, ValueError) as error:
            raise InputError(f'request body truncated: {error}') from error


def _find_length(request: Any) -> int | None:
    if request.chunked_read:
        return None
    return int(request.inheaders.get(b'Content-Length', 0))
