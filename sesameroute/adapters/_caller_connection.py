"""A caller's connection between the event loop and a worker thread."""

import io
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from typing import Any

from cheroot.makefile import MakeFile, StreamReader

from sesameroute.adapters._answer_row import AnswerRow, HeldBytes
from sesameroute.adapters._arrival_times import ArrivalTimes
from sesameroute.adapters._running import RunningRequests

__all__ = ['CallerConnection', 'build_reader']

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@cache
def _find_empty_row() -> AnswerRow:
    """Return the row of connections that are not served yet."""
    return AnswerRow(HeldBytes(0))


@dataclass(slots=True, eq=False)
class CallerConnection:
    """A caller's connection.

    Its reads without a body run beside each other while the event loop goes
    on reading. Any other request has the connection to itself.

    Attributes
    ----------
    socket : socket.socket
        The connection.
    address : str
        IP address of the caller.
    changed_at : float
        Monotonic time in seconds of its last byte or answer.
    queued_at : float
        Monotonic time in seconds at which its request began to wait.
    buffer : bytes
        What has been read of the next request.
    http : HTTPConnection or None
        The parser's part of it; None before the first request.
    is_counted : bool
        Whether it counts among the requests that are not answered yet.
    is_refused : bool
        Whether its last answer is sent and only the caller's end is awaited.
    is_exclusive : bool
        Whether one request has the connection to itself.
    is_watched : bool
        Whether the event loop reads from it.
    is_stalled : bool
        Whether the event loop sends what the caller does not take at once.
    has_left : bool
        Whether the caller has closed it, as far as has been read, or it has
        been closed here.
    events : int
        What the event loop waits for on it.
    on_stall : callable
        Called with it when it takes no more bytes.
    row : AnswerRow
        The requests that run beside each other.
    arrivals : ArrivalTimes
        When the bytes in the buffer came.
    lock : threading.Condition
        Guards all of these; notified when the row changes.

    """

    socket: socket.socket
    address: str
    changed_at: float
    queued_at: float = 0
    buffer: bytes = b''
    http: Any = None
    is_counted: bool = False
    is_refused: bool = False
    is_exclusive: bool = False
    is_watched: bool = False
    is_stalled: bool = False
    has_left: bool = False
    events: int = 0
    on_stall: Callable[['CallerConnection'], None] = bool
    row: AnswerRow = field(default_factory=_find_empty_row)
    arrivals: ArrivalTimes = field(default_factory=ArrivalTimes)
    lock: threading.Condition = field(default_factory=threading.Condition)

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun since the last answer."""
        return not (self.is_counted or self.is_refused)

    @property
    def is_answering(self) -> bool:
        """Whether requests run beside each other, and more may be sent."""
        return bool(self.row.places_) and not self.is_refused

    def begin(self, running: RunningRequests) -> None:
        """Count a request as begun, once."""
        if not self.is_counted:
            self.is_counted = True
            running.begin()

    def settle(self, running: RunningRequests) -> None:
        """Count the request as ended."""
        if self.is_counted:
            self.is_counted = False
            running.end()

    def is_closed_by_caller(self) -> bool:
        """Whether the caller has closed, also behind what it has sent."""
        poller = select.poll()
        poller.register(self.socket, _LEFT)
        return bool(poller.poll(0))

    def receive(self, content: bytes, now: float) -> None:
        """Add what has been read of the next requests to the buffer."""
        self.changed_at = now
        self.buffer += content
        self.arrivals.record(len(content), now)

    def take_head(self, size: int) -> bytes:
        """Remove a head from the buffer and return it."""
        head = self.buffer[:size]
        self.buffer = self.buffer[size:]
        self.arrivals.keep_last(len(self.buffer))
        return head

    def pass_buffer(self) -> None:
        """Let the parser read what has been read already."""
        raw = self.http.rfile.raw
        raw.prefix = io.BytesIO(self.buffer)
        raw.arrivals = self.arrivals
        self.buffer = b''

    def take_leftover(self) -> None:
        """Move what the parser has read beyond its request to the buffer."""
        reader = self.http.rfile
        if reader.has_data():
            self.buffer = reader.read(len(reader.peek()))
        self.buffer += reader.raw.prefix.read()
        self.arrivals.keep_last(len(self.buffer))


class _PrefixedSocket(socket.SocketIO):
    """Reads some bytes that are known already, then those of a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from the socket alone until there is a prefix."""
        super().__init__(sock, 'r')
        self.prefix = io.BytesIO()
        self.arrivals = ArrivalTimes()

    def readinto(self, target: Any) -> int | None:
        """Read into a buffer; return the number of bytes."""
        size = self.prefix.readinto(target)
        if not size:
            size = super().readinto(target)
            self.arrivals.record(size or 0, time.monotonic())
        return size


def build_reader(sock: socket.socket, mode: str, size: int) -> Any:
    """Return a reader or writer, for `HTTPConnection`."""
    made = MakeFile(sock, mode, size)
    if isinstance(made, StreamReader):
        made.raw.close()
        made._raw = _PrefixedSocket(sock)  # noqa: SLF001
    return made
