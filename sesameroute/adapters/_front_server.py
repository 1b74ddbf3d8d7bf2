"""HTTP server for callers: an event loop, worker threads, cheroot's parser."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.adapters._caller_service import CallerService
from sesameroute.adapters._connection_loop import (
    TURN_SECONDS,
    ConnectionLoop,
)
from sesameroute.adapters._idle_callers import IdleCallers
from sesameroute.adapters._kept_callers import KeptCallers
from sesameroute.adapters._refusal_reasons import (
    RefusalObserver,
    ignore_refusal,
    report_refusal,
)
from sesameroute.adapters._request_parser import (
    FrontContext,
    FrontHandler,
    RequestParser,
)
from sesameroute.adapters._request_queue import RequestQueue
from sesameroute.adapters._running import RunningRequests
from sesameroute.adapters._watched_callers import WatchedCallers
from sesameroute.adapters._worker_pool import MAX_THREADS, WorkerPool
from sesameroute.limits import ConcurrencyBounds, ConcurrencyLimit
from sesameroute.ports import SystemClock

__all__ = ['FrontHandler', 'FrontLoad', 'FrontServer']

_INITIAL_THREADS = 12
_ANSWER_POLL_SECONDS = 0.01
# Connections stay open for this long beyond the idle time that callers are
# told.
_IDLE_MARGIN_SECONDS = 3.0
# A loop without a turn for this long does not accept.
_MAX_TURN_SECONDS = 1.0


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
    held_bytes : int
        Bytes of answers that wait for others or for their callers.
    blocked : int
        Threads that wait since there is no room for more of these.

    """

    is_accepting: bool
    accepted: int
    waiting: int
    oldest_seconds: float
    busy: int
    held_bytes: int = 0
    blocked: int = 0


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
        self.name = f'front-{address[1]}'
        self.running_ = RunningRequests(SystemClock())
        self._parser = RequestParser(
            address, FrontContext(handler, is_leaving, on_refusal)
        )
        queue = RequestQueue(
            ConcurrencyLimit(ConcurrencyBounds(highest=MAX_THREADS))
        )
        self._kept = KeptCallers(
            WatchedCallers(), self.running_, queue.submit, is_leaving
        )
        self._idle = IdleCallers(
            self._kept,
            lambda: report_refusal('408 Request Timeout', on_refusal),
        )
        queue.count_blocked_ = lambda: self._idle.held.waiting_
        self._service = CallerService(self._parser, self._idle, self.running_)
        refuse = self._service.refuse
        self._pool = WorkerPool(queue, self._service.serve, refuse, threads)
        self._loop = ConnectionLoop(self._idle, queue, refuse)
        self._thread: threading.Thread | None = None

    @property
    def answered_at_(self) -> float:
        """Monotonic time in seconds of the last answer or refusal."""
        return self._service.answered_at_

    def start(self) -> None:
        """Listen; raise OSError when the address is taken."""
        self._thread = self._loop.start(self.address, self.name)
        self._pool.start()

    def stop(self, answers_until: float = 0) -> None:
        """Stop listening and close idle connections.

        Parameters
        ----------
        answers_until : float, optional
            Monotonic time in seconds until which the requests that have been
            read may be answered.

        """
        thread = self._thread
        if thread is None:
            return
        self._thread = None
        self._loop.acceptor.stop()
        self._idle.begin_stop()
        # A loop that is late may still read a request; it has to be answered.
        patience = max(answers_until - time.monotonic(), _MAX_TURN_SECONDS)
        self._idle.has_closed_idle_.wait(patience)
        while self.running_.count and time.monotonic() < answers_until:
            time.sleep(_ANSWER_POLL_SECONDS)
        self._pool.stop()
        self._loop.stop(thread)

    def stop_accepting(self) -> None:
        """Refuse new connections; open ones are still served."""
        self._loop.stop_accepting()

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
        limits = self._kept.limits
        limits.header_bytes = header_bytes
        limits.header_seconds = header_seconds
        limits.idle_seconds = idle_seconds + _IDLE_MARGIN_SECONDS
        self._parser.max_request_header_size = header_bytes
        self._parser.max_request_body_size = body_bytes
        self._parser.timeout = limits.idle_seconds

    def limit_held(self, size: int) -> None:
        """Limit the bytes of answers that wait for others or for callers."""
        self._idle.held.limit = size

    def allow_read_ahead(self, may_repeat: Callable[[str, str], bool]) -> None:
        """Run requests of a connection beside each other.

        Parameters
        ----------
        may_repeat : callable
            Called with host and target of a request without a body; returns
            whether it may be sent again by its caller even if it has run.

        """
        self._kept.read_ahead.may_repeat = may_repeat

    def read_turn(self) -> float:
        """Return until when the loop's last turn and pause may last."""
        return self._loop.turned_at_ + TURN_SECONDS

    def read_load(self) -> FrontLoad:
        """Return how busy the server is."""
        acceptor = self._loop.acceptor
        age = time.monotonic() - self._loop.turned_at_
        return FrontLoad(
            acceptor.is_listening() and age < _MAX_TURN_SECONDS,
            acceptor.accepted_,
            len(self._pool.queue),
            self._pool.queue.read_oldest_seconds(),
            len(self._pool.queue.serving_),
            self._idle.held.held_,
            self._idle.held.waiting_,
        )
