"""A caller's connection between the event loop and a worker thread."""

import io
import select
import socket
from dataclasses import dataclass
from typing import Any

from cheroot.makefile import MakeFile, StreamReader

from sesameroute.adapters._running import RunningRequests

__all__ = ['CallerConnection', 'build_reader']

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclass(slots=True, eq=False)
class CallerConnection:
    """A caller's connection.

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

    """

    socket: socket.socket
    address: str
    changed_at: float
    queued_at: float = 0
    buffer: bytes = b''
    http: Any = None
    is_counted: bool = False
    is_refused: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun since the last answer."""
        return not (self.is_counted or self.is_refused)

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

    def has_left(self) -> bool:
        """Whether the caller has closed, also behind what it has sent."""
        poller = select.poll()
        poller.register(self.socket, _LEFT)
        return bool(poller.poll(0))

    def pass_buffer(self) -> None:
        """Let the parser read what has been read already."""
        self.http.rfile.raw.prefix = io.BytesIO(self.buffer)
        self.buffer = b''

    def take_leftover(self) -> None:
        """Move what the parser has read beyond its request to the buffer."""
        reader = self.http.rfile
        if reader.has_data():
            self.buffer = reader.read(len(reader.peek()))


class _PrefixedSocket(socket.SocketIO):
    """Reads some bytes that are known already, then those of a socket."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from the socket alone until there is a prefix."""
        super().__init__(sock, 'r')
        self.prefix = io.BytesIO()

    def readinto(self, target: Any) -> int | None:
        """Read into a buffer; return the number of bytes."""
        return self.prefix.readinto(target) or super().readinto(target)


def build_reader(sock: socket.socket, mode: str, size: int) -> Any:
    """Return a reader or writer, for `HTTPConnection`."""
    made = MakeFile(sock, mode, size)
    if isinstance(made, StreamReader):
        made.raw.close()
        made._raw = _PrefixedSocket(sock)  # noqa: SLF001
    return made
