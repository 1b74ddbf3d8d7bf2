"""Callers' connections while the event loop reads from them."""

import logging
import threading
from collections.abc import Callable, Iterator

from sesameroute.adapters._answer_row import AnswerRow, HeldBytes
from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._kept_callers import KeptCallers
from sesameroute.adapters._pipelined_request import (
    PipelinedRequest,
    end_answer,
    refuse_in_row,
    send_held,
)

__all__ = ['IdleCallers']

_READ_BYTES = 16_384
_CLOSED_WHEN_EXHAUSTED = 16  # idle connections
# Bytes of answers that wait for their turn or for their callers.
_HELD_BYTES = 8_388_608
# A caller that takes nothing for so long may be cut when room is short.
_STALL_SECONDS = 1.0
_TIMEOUT_ANSWER = (
    b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)

_logger = logging.getLogger(__name__)


class IdleCallers:
    """Reads the heads of requests, and closes connections that are silent.

    Parameters
    ----------
    kept : KeptCallers
        The connections and their requests.
    on_silent : callable
        Called when a caller that has sent part of a head gets a 408.

    Attributes
    ----------
    watched, limits, is_stopping
        As in `KeptCallers`.
    held : HeldBytes
        Bounds the answers that wait for their turn or their callers.
    has_closed_idle_ : threading.Event
        Set when a stop has closed the connections without a request.

    """

    def __init__(
        self, kept: KeptCallers, on_silent: Callable[[], None]
    ) -> None:
        """Store the parameters."""
        self.kept = kept
        self.on_silent = on_silent
        self.watched = kept.watched
        self.limits = kept.limits
        self.is_stopping = kept.is_stopping
        self.held = HeldBytes(_HELD_BYTES)
        self.has_closed_idle_ = threading.Event()

    def add(self, caller: CallerConnection) -> None:
        """Take a new connection, on which a request will come."""
        caller.row = AnswerRow(self.held)
        caller.on_stall = self.kept.stall
        caller.begin(self.kept.running)
        self.kept.watch(caller)

    def put_back(self, caller: CallerConnection) -> None:
        """Take a connection after a request that had it to itself."""
        with caller.lock:
            caller.socket.settimeout(0)
            caller.take_leftover()
            caller.is_exclusive = False
            self.kept.resume(caller)

    def handle(self, caller: CallerConnection, now: float) -> None:
        """Send what a connection takes again; read what has come on it."""
        with caller.lock:
            was_stalled = self.kept.unstall(caller)
        if was_stalled:
            caller.changed_at = now
            send_held(caller)
            with caller.lock:
                self.kept.resume(caller)
        self.read(caller, now)

    def read(self, caller: CallerConnection, now: float) -> None:
        """Read from a connection; submit the requests that have come whole."""
        with caller.lock:
            if not caller.is_watched:
                return  # another thread has taken it since
            try:
                content = caller.socket.recv(_READ_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _log(error)
                content = b''
            if not content:
                self.kept.leave(caller)
            elif not caller.is_refused:
                caller.receive(content, now)
                caller.begin(self.kept.running)
                self.kept.submit_requests(caller)

    def end_answer(self, request: PipelinedRequest, *, is_kept: bool) -> None:
        """Take note of the end of an answer to one of several requests."""
        end_answer(request, ends_row=not is_kept)
        with request.caller.lock:
            self.kept.resume(request.caller)

    def refuse(
        self, request: PipelinedRequest, answer: bytes, closing: bytes
    ) -> None:
        """Answer one of several requests without waiting.

        Parameters
        ----------
        request : PipelinedRequest
            The request.
        answer, closing : bytes
            The answer with others beside it, and the one if it is alone.

        """
        caller = request.caller
        with caller.lock:
            if caller.row.is_alone(request.place):
                caller.row.advance()
                self.answer_last(caller, closing)
                return
        refuse_in_row(request, answer)
        with caller.lock:
            self.kept.resume(caller)

    def answer_last(self, caller: CallerConnection, answer: bytes) -> None:
        """Send a last answer without waiting, then await the caller's end."""
        with caller.lock:
            caller.socket.settimeout(0)
            try:
                caller.socket.send(answer)
            except OSError as error:
                _log(error)
            self.kept.await_end(caller)

    def expire(self, now: float) -> None:
        """Close the connections that have been silent for too long."""
        is_stopping = self.is_stopping.is_set()
        for slowest in _iterate_cut(self, now):
            _logger.warning('slow reader cut', extra={'held': self.held.held_})
            self.kept.drop(slowest)
        for caller in self.watched.list_callers():
            silence = now - caller.changed_at
            if caller.is_idle and is_stopping:
                self.kept.drop(caller)
            elif silence > self.limits.find_patience(caller):
                self._end_silent(caller)
        if is_stopping:
            self.has_closed_idle_.set()

    def close_oldest(self) -> None:
        """Close silent connections to make room for new ones."""
        silent = [
            each
            for each in self.watched.list_callers()
            if not (each.buffer or each.is_answering)
        ]
        silent.sort(key=lambda each: each.changed_at)
        for caller in silent[:_CLOSED_WHEN_EXHAUSTED]:
            self.kept.drop(caller)

    def begin_stop(self) -> None:
        """Let the connections be closed on which no request has begun."""
        self.is_stopping.set()
        self.watched.wake()

    def _end_silent(self, caller: CallerConnection) -> None:
        if caller.is_stalled or caller.is_refused or not caller.buffer:
            self.kept.drop(caller)
        elif self.kept.unwatch(caller):
            self.on_silent()
            self.answer_last(caller, _TIMEOUT_ANSWER)


def _log(error: OSError) -> None:
    _logger.debug('connection error', extra={'why': str(error)})


def _iterate_cut(idle: IdleCallers, now: float) -> Iterator[CallerConnection]:
    """Yield the callers to cut until there is room for what is held.

    Load pattern: many callers that hardly read their long answers. Those that
    have taken nothing for the longest time are cut: they are likely to have
    gone. Their requests are idempotent, and they see the cut.
    """
    excess = idle.held.compute_excess()
    callers = idle.watched.list_callers() if excess > 0 else []
    for caller in sorted(callers, key=lambda each: each.changed_at):
        is_slow = caller.is_stalled and now - caller.changed_at > _STALL_SECONDS
        if is_slow and excess > 0:
            excess -= caller.row.held_size_
            yield caller
