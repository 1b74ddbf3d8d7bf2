"""HTTP server towards callers: cheroot without WSGI.

The target and the headers are passed on as they came, and a caller that
closes its connection is noticed on its socket; WSGI hides both.
"""

import contextlib
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from cheroot.server import (
    Gateway,
    HTTPConnection,
    HTTPRequest,
    HTTPServer,
)

from sesameroute.adapters._running import RunningRequests
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer, SystemClock

__all__ = ['FrontHandler', 'FrontServer']

_BACKLOG = 512  # connections that wait to be accepted
_FIRST_THREADS = 12
_THREAD_STEP = 8
_MOST_THREADS = 512
_SPARE_THREADS = 3
_GROW_SECONDS = 1.0  # between two looks without a sign of shortage
_STOP_SECONDS = 0.2
_IDLE_MARGIN = 3.0  # seconds beyond the idle time that callers are told
_TOO_LARGE = '413'
_HEADERS = 'headers sent'  # in cheroot's text on a long header block
_NO_BODY = frozenset((204, 304))

_logger = logging.getLogger(__name__)


class FrontHandler(Protocol):
    """Answers one request; None closes the connection without an answer."""

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer to a cheroot request."""


class _Request(HTTPRequest):
    """A request whose header block has a refusal of its own."""

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer 431 where cheroot can't tell header from body."""
        if status.startswith(_TOO_LARGE) and _HEADERS in msg:
            self.close_connection = True
            super().simple_response('431 Request Header Fields Too Large')
            return
        super().simple_response(status, msg)


class _Connection(HTTPConnection):
    """A caller's connection with separate bounds for header and idling."""

    RequestHandlerClass = _Request  # noqa: WPS115 - cheroot's name

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays."""
        self.socket.settimeout(self.server.header_seconds)
        return super().communicate()


@dataclass(frozen=True, slots=True)
class _Front:
    """What the server asks and tells beyond cheroot's own parts."""

    handler: FrontHandler
    is_leaving: Callable[[], bool]
    running: RunningRequests


class _Gateway(Gateway):
    """Passes a parsed request to the handler and writes its answer."""

    def respond(self) -> None:
        """Answer the request."""
        front: _Front = self.req.server.front
        with front.running.observe():
            self._respond(self.req)

    def _respond(self, request: Any) -> None:
        if request.server.requests.idle < request.server.spare_threads:
            request.server.is_short.set()
        if request.server.front.is_leaving():
            request.close_connection = True
        if _is_ambiguous(request):
            request.close_connection = True
            request.simple_response('400 Bad Request')
            request.sent_headers = True
            return
        request.conn.socket.settimeout(request.server.timeout)
        answer = request.server.front.handler(request)
        if answer is None:
            _end(request)
            return
        with contextlib.closing(_ChunkSource(answer)):
            try:
                _write(request, answer)
            except SesameError:
                # The body was cut: its end must not look complete.
                _end(request)


class _CallerServer(HTTPServer):
    """cheroot's server with the handler and bounds of the front."""

    gateway = _Gateway
    ConnectionClass = _Connection  # noqa: WPS115 - cheroot's name

    def __init__(
        self,
        address: tuple[str, int],
        front: _Front,
        threads: int,
    ) -> None:
        super().__init__(
            address,
            _Gateway,
            minthreads=threads,
            maxthreads=_MOST_THREADS,
        )
        self.front = front
        self.is_short = threading.Event()
        self.spare_threads = min(_SPARE_THREADS, threads - 1)
        self.header_seconds = 3.0
        self.request_queue_size = _BACKLOG
        self.shutdown_timeout = _STOP_SECONDS
        self.keep_alive_conn_limit = None
        self.nodelay = True
        self.server_name = 'sesameroute'

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log what cheroot says of a connection."""
        _logger.log(level, 'connection error', extra={'why': msg})


class FrontServer:
    """Listens for callers.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    handler : callable
        Takes a cheroot request, returns an `Answer`.
    is_leaving : callable
        Whether connections should be closed after their answer.
    threads : int
        Threads at the start.

    Attributes
    ----------
    running_ : RunningRequests
        Those that are not answered whole.

    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: FrontHandler,
        is_leaving: Callable[[], bool] = bool,
        threads: int = _FIRST_THREADS,
    ) -> None:
        """Store the parameters."""
        self.address = address
        self.running_ = RunningRequests(SystemClock())
        front = _Front(handler, is_leaving, self.running_)
        self._server = _CallerServer(address, front, threads)
        self._is_stopped = threading.Event()
        self._grower = threading.Thread(
            target=self._grow,
            name=f'grow-{address[1]}',
            daemon=True,
        )

    def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._server.prepare()
        threading.Thread(
            target=self._server.serve,
            name=f'front-{self.address[1]}',
            daemon=True,
        ).start()
        self._grower.start()

    def stop(self) -> None:
        """Stop listening and close idle connections."""
        self._is_stopped.set()
        # A worker that is added while cheroot stops is never told to end.
        self._server.is_short.set()
        self._grower.join()
        self._server.stop()

    def stop_accepting(self) -> None:
        """Refuse new connections; the open ones are served on."""
        listening = self._server.socket
        if listening is not None:
            listening.close()
            self._server.socket = None

    def set_limits(
        self,
        header_bytes: int,
        body_bytes: int,
        header_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Bound what a caller may send and how long it may take."""
        self._server.max_request_header_size = header_bytes
        self._server.max_request_body_size = body_bytes
        self._server.header_seconds = header_seconds
        self._server.timeout = idle_seconds + _IDLE_MARGIN

    def _grow(self) -> None:
        """Add threads when few are idle; cheroot waits for each to start."""
        pool = self._server.requests
        while not self._is_stopped.is_set():
            self._server.is_short.wait(_GROW_SECONDS)
            self._server.is_short.clear()
            if self._is_stopped.is_set():
                return
            if pool.idle < self._server.spare_threads + pool.qsize:
                pool.grow(_THREAD_STEP + pool.qsize)


def _end(request: Any) -> None:
    """Close the connection without another byte."""
    request.close_connection = True
    request.sent_headers = True
    request.chunked_write = False


def _is_ambiguous(request: Any) -> bool:
    headers = request.inheaders
    return (
        b'Transfer-Encoding' in headers and b'Content-Length' in headers
    ) or b',' in headers.get(b'Content-Length', b'')


def _write(request: Any, answer: Answer) -> None:
    request.status = _name_status(answer.status)
    request.outheaders = [
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in answer.headers
    ]
    if answer.length is not None and answer.status not in _NO_BODY:
        length = str(answer.length).encode()
        request.outheaders.append((b'Content-Length', length))
    request.ensure_headers_sent()
    if request.method == b'HEAD':
        return
    for chunk in answer.chunks:
        if chunk:
            request.write(chunk)


def _name_status(status: int) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Unknown'
    return f'{status} {phrase}'.encode()


class _ChunkSource:
    """Closes the source of an answer's body."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer

    def close(self) -> None:
        """Close the generator, if it is one."""
        close = getattr(self.answer.chunks, 'close', None)
        if close is not None:
            close()
