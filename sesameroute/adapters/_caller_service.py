"""Serves the requests that the event loop has read, in worker threads."""

import logging
import random
import time
from functools import singledispatchmethod
from http import HTTPStatus

from sesameroute.adapters._caller_connection import (
    CallerConnection,
    build_reader,
)
from sesameroute.adapters._idle_callers import IdleCallers
from sesameroute.adapters._pipelined_request import (
    PipelinedRequest,
    RowConnection,
)
from sesameroute.adapters._request_parser import (
    ParsedConnection,
    RequestParser,
)
from sesameroute.adapters._running import RunningRequests

__all__ = ['CallerService']

# Callers that are refused come back spread over this time, in seconds.
_RETRY_AFTER_BOUNDS = (0.2, 0.6)
_REFUSAL = (
    'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    'Retry-After: {0:.3f}\r\n'
)
_CLOSING_END = b'Connection: close\r\n\r\n'
_KEEPING_END = b'\r\n'

_logger = logging.getLogger(__name__)


class CallerService:
    """Serves or refuses a request.

    Parameters
    ----------
    parser : RequestParser
        Parses the request and passes it to the handler.
    idle : IdleCallers
        Takes the connection back.
    running : RunningRequests
        Counts the requests that are not answered.

    Attributes
    ----------
    answered_at_ : float
        Monotonic time in seconds of the last answer or refusal.

    """

    def __init__(
        self,
        parser: RequestParser,
        idle: IdleCallers,
        running: RunningRequests,
    ) -> None:
        """Store the parameters."""
        self.parser = parser
        self.idle = idle
        self.running = running
        self.answered_at_: float = 0

    @singledispatchmethod
    def serve(self, waiting: object) -> None:
        """Serve a request.

        Parameters
        ----------
        waiting : CallerConnection or PipelinedRequest
            A connection, for a request that has it to itself, or a request
            that runs beside others of its connection.

        """
        raise NotImplementedError(type(waiting).__name__)

    @singledispatchmethod
    def refuse(self, waiting: object) -> None:
        """Answer 503 to a request that nobody has read, without waiting."""
        raise NotImplementedError(type(waiting).__name__)

    @serve.register
    def _serve_alone(self, caller: CallerConnection) -> None:
        if caller.is_closed_by_caller():
            _log_left()
            with caller.lock:
                self.idle.kept.leave(caller)
        elif self._answer(caller):
            self.idle.put_back(caller)

    @serve.register
    def _serve_in_row(self, request: PipelinedRequest) -> None:
        is_kept = False
        try:
            is_kept = self._answer_in_row(request)
        except ConnectionError as error:
            _logger.info('connection error', extra={'why': str(error)})
        finally:
            self.idle.end_answer(request, is_kept=is_kept)
            self.answered_at_ = time.monotonic()

    @refuse.register
    def _refuse_alone(self, caller: CallerConnection) -> None:
        self.idle.answer_last(caller, self._begin_refusal() + _CLOSING_END)

    @refuse.register
    def _refuse_in_row(self, request: PipelinedRequest) -> None:
        head = self._begin_refusal()
        self.idle.refuse(request, head + _KEEPING_END, head + _CLOSING_END)

    def _answer_in_row(self, request: PipelinedRequest) -> bool:
        if request.caller.is_closed_by_caller():
            _log_left()
            return False
        return RowConnection(self.parser, request).communicate()

    def _answer(self, caller: CallerConnection) -> bool:
        """Answer a request; return whether the connection stays open."""
        limits = self.idle.limits
        if caller.http is None:
            caller.http = ParsedConnection(
                self.parser, caller.socket, build_reader
            )
        caller.http.came_at = limits.find_arrival(caller)
        caller.pass_buffer()
        caller.socket.settimeout(limits.header_seconds)
        is_kept = False
        try:
            is_kept = caller.http.communicate()
        except ConnectionError as error:
            _logger.info('connection error', extra={'why': str(error)})
        finally:
            self._end_request(caller, is_kept=is_kept)
        return is_kept

    def _end_request(self, caller: CallerConnection, *, is_kept: bool) -> None:
        caller.settle(self.running)
        self.answered_at_ = time.monotonic()
        if caller.http.must_reset:
            caller.has_left = True
            caller.http.close()
        elif not is_kept:
            with caller.lock:
                self.idle.kept.await_end(caller)

    def _begin_refusal(self) -> bytes:
        """Take note of a refusal; return all but the end of its head."""
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self.parser.front.on_refusal(status, 'overloaded')
        self.answered_at_ = time.monotonic()
        seconds = random.uniform(*_RETRY_AFTER_BOUNDS)
        return _REFUSAL.format(seconds).encode()


def _log_left() -> None:
    _logger.info('request dropped', extra={'why': 'caller-left'})
