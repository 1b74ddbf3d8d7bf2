"""Callers' connections from one request to the next, and their ends."""

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable

from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._head_limits import HeadLimits
from sesameroute.adapters._pipelined_request import PipelinedRequest
from sesameroute.adapters._read_ahead import ReadAhead
from sesameroute.adapters._running import RunningRequests
from sesameroute.adapters._watched_callers import WatchedCallers

__all__ = ['KeptCallers']

_logger = logging.getLogger(__name__)


class KeptCallers:
    """Moves connections between the event loop and the worker threads.

    A connection is closed once no thread works on it any more, so that its
    descriptor is not used again under one that does. All methods but `drop`
    are called under the lock of the connection.

    Parameters
    ----------
    watched : WatchedCallers
        Waits for the callers.
    running : RunningRequests
        Counts the connections on which a request has begun.
    submit : callable
        Takes a connection with a whole head, or one of several requests.
    is_leaving : callable
        Returns whether connections are closed after their next answer.

    Attributes
    ----------
    limits : HeadLimits
        Limits on callers.
    read_ahead : ReadAhead
        Chooses the requests that run beside each other.
    is_stopping : threading.Event
        Set while connections without a request are closed.

    """

    def __init__(
        self,
        watched: WatchedCallers,
        running: RunningRequests,
        submit: Callable[[CallerConnection | PipelinedRequest], None],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Store the parameters."""
        self.watched = watched
        self.running = running
        self.submit = submit
        self.limits = HeadLimits()
        self.read_ahead = ReadAhead(self.limits, submit, is_leaving)
        self.is_stopping = threading.Event()

    def watch(self, caller: CallerConnection) -> None:
        """Let the event loop read from a connection."""
        if not caller.is_watched:
            caller.is_watched = True
            self.watched.set_events(caller)

    def unwatch(self, caller: CallerConnection) -> bool:
        """Let the event loop read no more; return whether it did."""
        was_watched = caller.is_watched
        if was_watched:
            caller.is_watched = False
            self.watched.set_events(caller)
        return was_watched

    def stall(self, caller: CallerConnection) -> None:
        """Let the event loop send what is held of the first answer."""
        if not caller.is_stalled:
            caller.is_stalled = True
            self.watched.set_events(caller)

    def unstall(self, caller: CallerConnection) -> bool:
        """Let the event loop send no more; return whether it did."""
        was_stalled = caller.is_stalled
        if was_stalled:
            caller.is_stalled = False
            self.watched.set_events(caller)
        return was_stalled

    def submit_requests(self, caller: CallerConnection) -> None:
        """Submit what may run now; read on while no whole head waits."""
        self.read_ahead.submit_all(caller)
        if not self.limits.is_complete(caller.buffer):
            self.watch(caller)
            return
        self.unwatch(caller)
        if not caller.row.places_:
            caller.is_exclusive = True
            self.submit(caller)

    def resume(self, caller: CallerConnection) -> None:
        """Go on with a connection after an answer.

        The event loop may have done so since the row became empty.
        """
        if caller.is_exclusive:
            return
        if caller.has_left:
            self._close_unused(caller)
        elif caller.row.has_ended_:
            self.await_end(caller)
        elif caller.row.places_:
            self.submit_requests(caller)
        else:
            self._await_request(caller)

    def await_end(self, caller: CallerConnection) -> None:
        """Send nothing more; read until the caller closes.

        Closing at once would reset the connection, and with it the answer, if
        the caller has sent more than has been read.
        """
        caller.row.end()
        caller.is_exclusive = False
        if not caller.row.places_:
            caller.settle(self.running)
        if caller.is_refused:
            return
        caller.is_refused = True
        caller.buffer = b''
        caller.changed_at = time.monotonic()
        caller.socket.settimeout(0)
        try:
            caller.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            _logger.debug('connection error', extra={'why': str(error)})
            self.leave(caller)
        else:
            self.watch(caller)

    def leave(self, caller: CallerConnection) -> None:
        """Take note that the caller has closed its connection."""
        self.unwatch(caller)
        caller.has_left = True
        self._close_unused(caller)

    def drop(self, caller: CallerConnection) -> None:
        """Close a connection unless another thread has it to itself."""
        with caller.lock:
            if not (caller.is_watched or caller.is_stalled):
                return
            if caller.row.places_:
                caller.row.end()
                caller.lock.notify_all()
                with contextlib.suppress(OSError):
                    caller.socket.shutdown(socket.SHUT_RDWR)
            self.unstall(caller)
            self.leave(caller)

    def _close_unused(self, caller: CallerConnection) -> None:
        if not caller.row.places_:
            self.unstall(caller)
            caller.settle(self.running)
            caller.socket.close()

    def _await_request(self, caller: CallerConnection) -> None:
        caller.changed_at = time.monotonic()
        caller.settle(self.running)
        if caller.buffer:
            caller.begin(self.running)
        elif self.is_stopping.is_set():
            self.leave(caller)
            return
        self.submit_requests(caller)
