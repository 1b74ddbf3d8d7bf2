"""cheroot's parser of requests, with the project's limits and answers.

WSGI would hide two things that the handler needs: the request target and
headers exactly as they were received, and the caller's socket, on which a
closed connection is detected.
"""

import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cheroot.server import (
    Gateway,
    HeaderReader,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
)

from sesameroute.adapters._answer_writer import abort_connection, write_answer
from sesameroute.adapters._refusal_reasons import (
    RefusalObserver,
    report_refusal,
)
from sesameroute.adapters._request_body import (
    EXPECTED,
    build_body,
    discard_rest,
)
from sesameroute.ports import Answer

__all__ = ['FrontContext', 'FrontHandler', 'ParsedConnection', 'RequestParser']

# Longest time for the rest of a body after its request has been answered.
_DISCARD_SECONDS = 5.0
_TOO_LARGE_STATUS = '413'
_LENGTH_NAME = b'content-length'
# Part of cheroot's message when a header block is too long.
_HEADER_LIMIT_TEXT = 'headers sent'
_SERVER_WIDE = b'*'  # target of an OPTIONS request about the server itself
_NO_LINGER = struct.pack('ii', 1, 0)  # SO_LINGER on, for no time: reset

_logger = logging.getLogger(__name__)


class FrontHandler(Protocol):
    """Callable that answers requests."""

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer to a cheroot request.

        None closes the connection without an answer.
        """


class _HeaderFields(dict[bytes, bytes]):
    """The fields of a head, of which cheroot keeps the last of a name.

    Attributes
    ----------
    replaced : list of (bytes, bytes)
        The earlier fields of the same name, in their order.

    """

    def __init__(self) -> None:
        super().__init__()
        self.replaced: list[tuple[bytes, bytes]] = []

    def __setitem__(self, name: bytes, text: bytes) -> None:
        earlier = self.get(name)
        if earlier is not None and not text.startswith(b'%s, ' % earlier):
            self.replaced.append((name, earlier))
        super().__setitem__(name, text)


class _HeaderLines:
    """Reads the lines of a head; refuses a second Content-Length."""

    def __init__(self, reader: Any) -> None:
        self.reader = reader
        self._length_count = 0

    def readline(self) -> bytes:
        """Return the next line; raise ValueError if the length is ambiguous."""
        line = self.reader.readline()
        self._length_count += line.lower().startswith(_LENGTH_NAME)
        if self._length_count > 1:
            raise ValueError('several Content-Length fields')
        return line


class _HeaderReader(HeaderReader):
    """Reads a header block, of which cheroot keeps the last length."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Return the header fields; raise ValueError if they are malformed."""
        fields = super().__call__(_HeaderLines(rfile), hdict)
        if fields.get(b'Expect', b'').lower() == EXPECTED:
            # cheroot would ask for the body at once.
            fields[b'Expect'] = EXPECTED.upper()
        return fields


class _Request(HTTPRequest):
    """A request that is refused with 431 if its headers are too large."""

    header_reader = _HeaderReader()

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create it with fields that keep the earlier ones of a name."""
        super().__init__(*arguments, **options)
        self.inheaders = _HeaderFields()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer 431 where cheroot answers 413 for headers and body alike."""
        if status.startswith(_TOO_LARGE_STATUS) and _HEADER_LIMIT_TEXT in msg:
            self.close_connection = True
            status, msg = '431 Request Header Fields Too Large', ''
        report_refusal(status, self.server.front.on_refusal)
        super().simple_response(status, msg)


class ParsedConnection(HTTPConnection):
    """A caller's connection that may have to be reset at its end."""

    RequestHandlerClass = _Request  # noqa: WPS115 - cheroot's name
    must_reset = False
    has_body = True
    came_at: float = 0  # monotonic time of the head of its request, in s

    def has_turn(self) -> bool:
        """Whether all requests before this one have been answered."""
        return True

    def is_last(self) -> bool:
        """Whether no request of the connection has been read behind it."""
        return True

    def wait_at_most(self, seconds: float) -> None:
        """Limit how long a read or a write may wait."""
        self.socket.settimeout(seconds)

    def close(self) -> None:
        """Close the connection; the caller gets an error if it is reset."""
        if not self.must_reset:
            super().close()
            return
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        for resource in (self.rfile, self.wfile, self.socket):
            # Buffered bytes may be left that can't be sent any more.
            with contextlib.suppress(OSError):
                resource.close()


@dataclass(frozen=True, slots=True)
class FrontContext:
    """What the gateway needs beyond the parts of cheroot."""

    handler: FrontHandler
    is_leaving: Callable[[], bool]
    on_refusal: RefusalObserver


class _Gateway(Gateway):
    """Passes a parsed request to the handler and writes the answer."""

    def respond(self) -> None:
        """Answer the request."""
        request = self.req
        if request.server.front.is_leaving() and request.conn.is_last():
            request.close_connection = True
        if _has_ambiguous_length(request):
            _answer_shortly(request, '400 Bad Request')
            return
        if request.uri == _SERVER_WIDE:
            _answer_shortly(request, '200 OK')
            return
        request.rfile = build_body(request)
        request.conn.wait_at_most(request.server.timeout)
        answer = request.server.front.handler(request)
        if answer is None:
            abort_connection(request)
            return
        if request.rfile.is_awaited:
            # Its caller may send the body or leave it out.
            request.close_connection = True
        write_answer(request, answer)
        if request.conn.has_body and not discard_rest(
            request, _DISCARD_SECONDS
        ):
            request.close_connection = True


class RequestParser(HTTPServer):
    """The settings by which cheroot parses requests; it serves nothing."""

    gateway = _Gateway
    can_add_keepalive_connection = True

    def __init__(self, address: tuple[str, int], front: FrontContext) -> None:
        """Store the address and what the gateway needs."""
        super().__init__(address, _Gateway)
        self.front = front
        self.server_name = 'sesameroute'

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log a message of cheroot about a connection."""
        _logger.log(level, 'connection error', extra={'why': msg})


def _answer_shortly(request: Any, status: str) -> None:
    request.close_connection = True
    request.simple_response(status)
    request.sent_headers = True


def _has_ambiguous_length(request: Any) -> bool:
    length = request.inheaders.get(b'Content-Length')
    if length is None:
        return False
    return b'Transfer-Encoding' in request.inheaders or not length.isdigit()
