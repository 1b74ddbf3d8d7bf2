"""HTTP server for callers, built on cheroot without WSGI.

WSGI would hide two things that the handler needs: the request target and
headers exactly as they were received, and the caller's socket, on which a
closed connection is detected.
"""

import contextlib
import logging
import select
import socket
import struct
import threading
import time
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
from cheroot.workers.threadpool import ThreadPool

from sesameroute.adapters._answer_writer import abort_connection, write_answer
from sesameroute.adapters._refusal_reasons import (
    RefusalObserver,
    ignore_refusal,
    report_refusal,
)
from sesameroute.adapters._request_body import build_body, discard_rest
from sesameroute.adapters._running import RunningRequests
from sesameroute.ports import Answer, SystemClock

__all__ = ['FrontHandler', 'FrontLoad', 'FrontServer']

# Longest time for the rest of a body after its request has been answered.
_DISCARD_SECONDS = 5.0
_BACKLOG = 512  # connections waiting to be accepted
_INITIAL_THREADS = 12
_THREAD_STEP = 8
_MAX_THREADS = 512
_SPARE_THREADS = 3
_GROWTH_CHECK_SECONDS = 1.0  # between checks that no request triggered
_STOP_SECONDS = 0.2
_ANSWER_POLL_SECONDS = 0.01
# Longest wait for the connections that have not been accepted when accepting
# ends.
_ACCEPT_POLLS = 1000
_ACCEPT_POLL_SECONDS = 0.001
# Connections stay open for this long beyond the idle time that callers are
# told.
_IDLE_MARGIN_SECONDS = 3.0
_TOO_LARGE_STATUS = '413'
_LENGTH_NAME = b'content-length'
# Part of cheroot's message when a header block is too long.
_HEADER_LIMIT_TEXT = 'headers sent'
_NO_LINGER = struct.pack('ii', 1, 0)  # SO_LINGER on, for no time: reset

_logger = logging.getLogger(__name__)


class FrontHandler(Protocol):
    """Callable that answers requests."""

    def __call__(self, request: Any) -> Answer | None:
        """Return the answer to a cheroot request.

        None closes the connection without an answer.
        """


@dataclass(frozen=True, slots=True)
class FrontLoad:
    """How busy a server is.

    Attributes
    ----------
    is_accepting : bool
        Whether it takes new connections.
    accepted : int
        Connections that it has taken since its start.
    waiting : int
        Connections that wait for a thread.
    oldest_seconds : float
        How long the oldest of them has waited.
    busy : int
        Threads that serve a request.

    """

    is_accepting: bool
    accepted: int
    waiting: int
    oldest_seconds: float
    busy: int


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
        return super().__call__(_HeaderLines(rfile), hdict)


class _Request(HTTPRequest):
    """A request that is refused with 431 if its headers are too large."""

    header_reader = _HeaderReader()

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer 431 where cheroot answers 413 for headers and body alike."""
        if status.startswith(_TOO_LARGE_STATUS) and _HEADER_LIMIT_TEXT in msg:
            self.close_connection = True
            status, msg = '431 Request Header Fields Too Large', ''
        report_refusal(status, self.server.front.on_refusal)
        super().simple_response(status, msg)


class _Connection(HTTPConnection):
    """A caller's connection with separate header and idle time-outs."""

    RequestHandlerClass = _Request  # noqa: WPS115 - cheroot's name
    must_reset = False
    queued_at: float = 0

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        with self.server.front.running.ending():
            self.socket.settimeout(self.server.header_seconds)
            return super().communicate()

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
class _FrontContext:
    """What the gateway needs beyond the parts of cheroot."""

    handler: FrontHandler
    is_leaving: Callable[[], bool]
    running: RunningRequests
    on_refusal: RefusalObserver


class _Gateway(Gateway):
    """Passes a parsed request to the handler and writes the answer."""

    def respond(self) -> None:
        """Answer the request."""
        request = self.req
        if request.server.requests.idle < request.server.spare_threads:
            request.server.needs_threads.set()
        if request.server.front.is_leaving():
            request.close_connection = True
        if _has_ambiguous_length(request):
            request.close_connection = True
            request.simple_response('400 Bad Request')
            request.sent_headers = True
            return
        request.rfile = build_body(request)
        request.conn.socket.settimeout(request.server.timeout)
        answer = request.server.front.handler(request)
        if answer is None:
            abort_connection(request)
            return
        write_answer(request, answer)
        if not discard_rest(request, _DISCARD_SECONDS):
            request.close_connection = True


class _WorkerPool(ThreadPool):
    """Worker threads that end only once they have answered what was read.

    Attributes
    ----------
    answers_until : float
        Monotonic time in seconds until which they may answer.
    accepted : int
        Connections that the server has taken since its start.

    """

    answers_until: float = 0
    accepted: int = 0

    def count_busy(self) -> int:
        """Return the number of threads that serve a request."""
        return sum(each.conn is not None for each in self._threads)

    def read_oldest_seconds(self) -> float:
        """Return how long the oldest waiting connection has waited."""
        now = time.monotonic()
        waiting = tuple(self._queue.queue)[:1]
        return sum(now - getattr(each, 'queued_at', now) for each in waiting)

    def stop(self, timeout: float = _STOP_SECONDS) -> None:
        """Wait for the answers in progress, then stop the threads.

        cheroot gives its threads one short time-out, by the time of day.
        """
        running = self.server.front.running
        while running.count and time.monotonic() < self.answers_until:
            time.sleep(_ANSWER_POLL_SECONDS)
        super().stop(timeout)


class _CallerServer(HTTPServer):
    """A cheroot server with the handler and limits of `FrontServer`."""

    gateway = _Gateway
    ConnectionClass = _Connection  # noqa: WPS115 - cheroot's name

    def __init__(
        self,
        address: tuple[str, int],
        front: _FrontContext,
        threads: int,
    ) -> None:
        super().__init__(address, _Gateway)
        self.requests = _WorkerPool(self, min=threads, max=_MAX_THREADS)
        self.front = front
        self.needs_threads = threading.Event()
        self.spare_threads = min(_SPARE_THREADS, threads - 1)
        self.header_seconds = 3.0
        self.request_queue_size = _BACKLOG
        self.shutdown_timeout = _STOP_SECONDS
        self.keep_alive_conn_limit = None
        self.nodelay = True
        self.server_name = 'sesameroute'

    def process_conn(self, conn: HTTPConnection) -> None:
        """Count the request on a connection, and queue it for a thread."""
        self.front.running.begin()
        conn.queued_at = time.monotonic()
        self.requests.accepted += conn.last_used is None
        super().process_conn(conn)

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log a message of cheroot about a connection."""
        _logger.log(level, 'connection error', extra={'why': msg})


class FrontServer:
    """HTTP server that passes the requests of callers to a handler.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port.
    handler : callable
        Takes a cheroot request; returns an `Answer`, or None to close the
        connection without an answer.
    is_leaving : callable
        Returns whether to close connections after their next answer, as
        before a shutdown.
    threads : int
        Number of worker threads at the start; more are added when few are
        idle.
    on_refusal : callable, optional
        Called with the status and the reason of each refusal that the handler
        never sees.

    Attributes
    ----------
    running_ : RunningRequests
        Counts the requests whose answers are not completely sent.

    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: FrontHandler,
        is_leaving: Callable[[], bool] = bool,
        threads: int = _INITIAL_THREADS,
        on_refusal: RefusalObserver = ignore_refusal,
    ) -> None:
        """Store the parameters."""
        self.address = address
        self.running_ = RunningRequests(SystemClock())
        front = _FrontContext(handler, is_leaving, self.running_, on_refusal)
        self._server = _CallerServer(address, front, threads)
        self._is_stopped = threading.Event()
        self._growth_thread = threading.Thread(
            target=self._grow_pool,
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
        self._growth_thread.start()

    def stop(self, answers_until: float = 0) -> None:
        """Stop listening and close idle connections.

        Parameters
        ----------
        answers_until : float, optional
            Monotonic time in seconds until which the requests that have been
            read may be answered.

        """
        if self._is_stopped.is_set():
            return
        self._server.requests.answers_until = answers_until
        self._is_stopped.set()
        # cheroot never stops a worker that is added while it stops, so the
        # thread that adds workers has to end first.
        self._server.needs_threads.set()
        self._growth_thread.join()
        self._server.stop()

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones are still served.

        Closing the socket resets the connections that wait to be accepted,
        so it stays open until none waits, for a bounded time.
        """
        listening = self._server.socket
        if listening is None:
            return
        poller = select.poll()
        poller.register(listening, select.POLLIN)
        for _ in range(_ACCEPT_POLLS):
            if not poller.poll(0):
                break
            time.sleep(_ACCEPT_POLL_SECONDS)
        listening.close()
        self._server.socket = None

    def set_limits(
        self,
        header_bytes: int,
        body_bytes: int,
        header_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Limit request sizes in bytes and the time callers may take.

        Parameters
        ----------
        header_bytes, body_bytes : int
            Largest request header block and body.
        header_seconds : float
            Longest silence of a caller while it sends a request header.
        idle_seconds : float
            Idle time of connections that callers are told.

        """
        self._server.max_request_header_size = header_bytes
        self._server.max_request_body_size = body_bytes
        self._server.header_seconds = header_seconds
        self._server.timeout = idle_seconds + _IDLE_MARGIN_SECONDS

    def read_load(self) -> FrontLoad:
        """Return how busy the server is."""
        pool = self._server.requests
        return FrontLoad(
            self._server.ready and not self._server.interrupt,
            pool.accepted,
            pool.qsize,
            pool.read_oldest_seconds(),
            pool.count_busy(),
        )

    def _grow_pool(self) -> None:
        """Add worker threads when few are idle.

        This has a thread of its own because cheroot blocks until each new
        worker has started.
        """
        pool = self._server.requests
        while not self._is_stopped.is_set():
            self._server.needs_threads.wait(_GROWTH_CHECK_SECONDS)
            self._server.needs_threads.clear()
            if self._is_stopped.is_set():
                return
            if pool.idle < self._server.spare_threads + pool.qsize:
                pool.grow(_THREAD_STEP + pool.qsize)


def _has_ambiguous_length(request: Any) -> bool:
    length = request.inheaders.get(b'Content-Length')
    if length is None:
        return False
    return b'Transfer-Encoding' in request.inheaders or not length.isdigit()
