"""Callers' connections while no request runs on them."""

import logging
import socket
import threading
import time
from collections.abc import Callable

from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._head_limits import HeadLimits
from sesameroute.adapters._running import RunningRequests
from sesameroute.adapters._watched_callers import WatchedCallers

__all__ = ['IdleCallers']

_READ_BYTES = 16_384
_CLOSED_WHEN_EXHAUSTED = 16  # idle connections
_TIMEOUT_ANSWER = (
    b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)

_logger = logging.getLogger(__name__)


class IdleCallers:
    """Reads the heads of requests, and closes connections that are silent.

    Parameters
    ----------
    watched : WatchedCallers
        Waits for the callers.
    running : RunningRequests
        Counts new connections and requests that have begun.
    submit : callable
        Takes a connection with a whole head.
    on_silent : callable
        Called when a caller that has sent part of a head gets a 408.

    Attributes
    ----------
    limits : HeadLimits
        Limits on callers.
    is_stopping : threading.Event
        Set while connections without a request are closed.
    has_closed_idle_ : threading.Event
        Set when that has been done.

    """

    def __init__(
        self,
        watched: WatchedCallers,
        running: RunningRequests,
        submit: Callable[[CallerConnection], None],
        on_silent: Callable[[], None],
    ) -> None:
        """Store the parameters."""
        self.watched = watched
        self.running = running
        self.submit = submit
        self.on_silent = on_silent
        self.limits = HeadLimits()
        self.is_stopping = threading.Event()
        self.has_closed_idle_ = threading.Event()

    def add(self, caller: CallerConnection) -> None:
        """Take a new connection, on which a request will come."""
        caller.begin(self.running)
        self.watched.add(caller)

    def put_back(self, caller: CallerConnection) -> None:
        """Take a connection after its request has been answered."""
        caller.changed_at = time.monotonic()
        caller.socket.settimeout(0)
        caller.take_leftover()
        if caller.buffer:
            caller.begin(self.running)
        elif self.is_stopping.is_set():
            caller.socket.close()
            return
        if self.limits.is_complete(caller.buffer):
            self.submit(caller)
        else:
            self.watched.add(caller)

    def read(self, caller: CallerConnection, now: float) -> None:
        """Read from a connection; submit it when a head has come whole."""
        try:
            content = caller.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            _log(error)
            content = b''
        if not content:
            self._drop(caller)
        elif not caller.is_refused:
            caller.changed_at = now
            caller.buffer += content
            caller.begin(self.running)
            is_complete = self.limits.is_complete(caller.buffer)
            if is_complete and self.watched.remove(caller.socket):
                self.submit(caller)

    def answer_last(self, caller: CallerConnection, answer: bytes) -> None:
        """Send a last answer without waiting, then await the caller's end.

        Closing at once would reset the connection, and with it the answer, if
        the caller has sent more than has been read.
        """
        caller.is_refused = True
        caller.changed_at = time.monotonic()
        caller.socket.settimeout(0)
        try:
            caller.socket.send(answer)
        except OSError as error:
            _log(error)
            self.close(caller)
            return
        caller.socket.shutdown(socket.SHUT_WR)
        caller.settle(self.running)
        self.watched.add(caller)

    def close(self, caller: CallerConnection) -> None:
        """Close a connection that is not watched."""
        caller.settle(self.running)
        caller.socket.close()

    def expire(self, now: float) -> None:
        """Close the connections that have been silent for too long."""
        is_stopping = self.is_stopping.is_set()
        for caller in self.watched.list_callers():
            silence = now - caller.changed_at
            if caller.is_idle and is_stopping:
                self._drop(caller)
            elif silence > self.limits.find_patience(caller):
                self._end_silent(caller)
        if is_stopping:
            self.has_closed_idle_.set()

    def close_oldest(self) -> None:
        """Close silent connections to make room for new ones."""
        silent = [
            each for each in self.watched.list_callers() if not each.buffer
        ]
        silent.sort(key=lambda each: each.changed_at)
        for caller in silent[:_CLOSED_WHEN_EXHAUSTED]:
            self._drop(caller)

    def begin_stop(self) -> None:
        """Let the connections be closed on which no request has begun."""
        self.is_stopping.set()
        self.watched.wake()

    def close_all(self) -> None:
        """Close all connections."""
        for caller in self.watched.list_callers():
            self._drop(caller)

    def _end_silent(self, caller: CallerConnection) -> None:
        if not caller.buffer or caller.is_refused:
            self._drop(caller)
        elif self.watched.remove(caller.socket):
            self.on_silent()
            self.answer_last(caller, _TIMEOUT_ANSWER)

    def _drop(self, caller: CallerConnection) -> None:
        """Close a connection unless another thread has taken it."""
        if self.watched.remove(caller.socket):
            self.close(caller)


def _log(error: OSError) -> None:
    _logger.debug('connection error', extra={'why': str(error)})
