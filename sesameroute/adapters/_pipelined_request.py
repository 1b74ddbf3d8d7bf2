"""A read on a caller's connection that runs beside others."""

import errno
import io
import socket
import time
from dataclasses import dataclass
from typing import Any

from sesameroute.adapters._answer_row import RowPlace, Turn
from sesameroute.adapters._caller_connection import CallerConnection
from sesameroute.adapters._request_parser import (
    ParsedConnection,
    RequestParser,
)

__all__ = [
    'PipelinedRequest',
    'RowConnection',
    'end_answer',
    'refuse_in_row',
    'send_held',
]


@dataclass(slots=True, eq=False)
class PipelinedRequest:
    """A request that runs beside others of its connection.

    Attributes
    ----------
    caller : CallerConnection
        The connection.
    place : RowPlace
        Its place among the answers.
    head : bytes
        The whole request.
    came_at : float
        Monotonic time in seconds at which its last byte came.
    queued_at : float
        Monotonic time in seconds at which it began to wait for a thread.

    """

    caller: CallerConnection
    place: RowPlace
    head: bytes
    came_at: float
    queued_at: float = 0

    @property
    def socket(self) -> socket.socket:
        """The connection to the caller."""
        return self.caller.socket


class RowConnection(ParsedConnection):
    """What the parser takes for the connection of one such request.

    Parameters
    ----------
    parser : RequestParser
        The settings.
    request : PipelinedRequest
        The request.

    """

    has_body = False

    def __init__(
        self, parser: RequestParser, request: PipelinedRequest
    ) -> None:
        """Read the head; write when it is the answer's turn."""

        def make_file(_sock: socket.socket, mode: str, _size: int) -> Any:
            if mode.startswith('r'):
                return io.BytesIO(request.head)
            return _TurnWriter(request)

        super().__init__(parser, request.socket, make_file)
        self.came_at = request.came_at
        self.request = request

    def has_turn(self) -> bool:
        """Whether all requests before this one have been answered."""
        caller = self.request.caller
        with caller.lock:
            return caller.row.is_first(self.request.place)

    def is_last(self) -> bool:
        """Whether no request of the connection has been read behind it."""
        caller = self.request.caller
        with caller.lock:
            return caller.row.is_last(self.request.place)

    def wait_at_most(self, seconds: float) -> None:
        """Do nothing: the socket is shared, and no read waits."""


class _TurnWriter:
    """Writes an answer when those before it are sent, holds it until then."""

    def __init__(self, request: PipelinedRequest) -> None:
        """Store the request."""
        self.request = request

    def write(self, content: bytes) -> int:
        """Send or hold bytes; raise OSError if they can't be sent any more."""
        caller = self.request.caller
        with caller.lock:
            turn = caller.row.offer(self.request.place, content)
            while turn is Turn.WAIT:
                caller.row.held.count_waiting(1)
                caller.lock.wait()
                caller.row.held.count_waiting(-1)
                turn = caller.row.offer(self.request.place, content)
        if turn is Turn.ENDED:
            raise BrokenPipeError(errno.EPIPE, 'an earlier answer was the last')
        if turn is Turn.SEND:
            send_or_keep(caller, content)
        return len(content)

    def flush(self) -> None:
        """Do nothing: nothing is kept back but what waits for its turn."""

    def close(self) -> None:
        """Do nothing: the connection stays open for other answers."""


def end_answer(request: PipelinedRequest, *, ends_row: bool) -> None:
    """Note the end of an answer; send what is held behind it.

    Parameters
    ----------
    request : PipelinedRequest
        The request.
    ends_row : bool
        Whether nothing may be sent behind it.

    """
    caller = request.caller
    with caller.lock:
        is_more = caller.row.finish(request.place, ends_row=ends_row)
    if is_more:
        _advance(caller)


def refuse_in_row(request: PipelinedRequest, answer: bytes) -> None:
    """Answer a request in its turn without waiting for its caller.

    An answer that can't be sent or held now ends the connection.
    """
    caller = request.caller
    with caller.lock:
        turn = caller.row.offer(request.place, answer)
    is_kept = turn is not Turn.WAIT
    if turn is Turn.SEND:
        try:
            send_or_keep(caller, answer)
        except OSError:
            is_kept = False
    end_answer(request, ends_row=not is_kept)


def send_held(caller: CallerConnection) -> None:
    """Send what is held of the first answers, as far as the caller takes it.

    Called by the event loop for a connection that is stalled.
    """
    with caller.lock:
        if caller.row.has_ended_ or not caller.row.places_:
            return  # it has been cut meanwhile
        place = caller.row.places_[0]
    if _flush(caller, place):
        _advance(caller)


def send_or_keep(caller: CallerConnection, content: bytes) -> bool:
    """Send bytes; leave to the event loop what the caller does not take.

    Returns
    -------
    bool
        Whether all is sent. If not, only the event loop may go on.

    Raises
    ------
    OSError
        The connection is broken.

    """
    unsent = memoryview(content)
    try:
        while unsent:
            unsent = unsent[caller.socket.send(unsent) :]
    except BlockingIOError:
        with caller.lock:
            caller.row.keep_unsent(bytes(unsent))
            caller.on_stall(caller)
        return False
    return True


def _advance(caller: CallerConnection) -> None:
    """Go on with the next answers as long as they are complete."""
    is_more = True
    while is_more:
        with caller.lock:
            place = caller.row.advance()
            caller.changed_at = time.monotonic()
            caller.lock.notify_all()
        is_more = place is not None and _flush(caller, place)


def _flush(caller: CallerConnection, place: RowPlace) -> bool:
    """Send what is held of an answer; return whether that was its end."""
    content = _take_parts(caller, place)
    try:
        while content and send_or_keep(caller, content):
            content = _take_parts(caller, place)
    except OSError:
        with caller.lock:
            caller.row.end()
            caller.lock.notify_all()
    return content is None


def _take_parts(caller: CallerConnection, place: RowPlace) -> bytes | None:
    """Return what is held, nothing if its thread goes on, None at its end."""
    with caller.lock:
        content = caller.row.take_parts(place)
        if content:
            return content
        caller.lock.notify_all()
        is_end = place.is_done and not caller.row.has_ended_
        return None if is_end else content
