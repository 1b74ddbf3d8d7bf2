"""One direction of a delayed connection."""

import socket
from collections import deque
from dataclasses import dataclass, field

__all__ = ['DelayedStream']

_MAX_BUFFERED_BYTES = 4_194_304
_WRITE_RETRY_SECONDS = 0.002
_EOF = b''


@dataclass(slots=True, eq=False)
class DelayedStream:
    """Bytes in transit in one direction, in order, with their arrival times.

    Attributes
    ----------
    source, target : str
        IP addresses of the two ends.
    reader, writer : socket
        Non-blocking sockets that bytes are read from and written to.
    delay : float
        One-way delay in seconds.
    port : int
        Port that the connection was opened to, in both directions.
    chunks : deque
        Monotonic arrival times and bytes; empty bytes mark the end of the
        stream.
    buffered_bytes : int
        Number of queued bytes; not reduced when chunks are discarded.
    drops_bytes : bool
        Whether new bytes are discarded, as if the network had lost track of
        the connection.
    has_reached_eof : bool
        Whether the stream of `reader` has ended.
    is_paused : bool
        Whether `reader` is not polled, since the buffer was full or the
        stream has ended.
    is_write_closed : bool
        Whether nothing more can be written to `writer`.

    """

    source: str
    target: str
    reader: socket.socket
    writer: socket.socket
    delay: float
    port: int
    chunks: deque[tuple[float, bytes]] = field(default_factory=deque)
    buffered_bytes: int = 0
    drops_bytes: bool = False
    has_reached_eof: bool = False
    is_paused: bool = False
    is_write_closed: bool = False

    @property
    def is_full(self) -> bool:
        """Whether reading must pause until bytes have been delivered."""
        return self.buffered_bytes >= _MAX_BUFFERED_BYTES

    def push(self, content: bytes, now: float) -> None:
        """Queue bytes for delivery; empty bytes mark the end of the stream."""
        self.has_reached_eof = content == _EOF
        if not self.drops_bytes:
            self.chunks.append((now + self.delay, content))
            self.buffered_bytes += len(content)

    def deliver(self, now: float) -> float | None:
        """Write the bytes whose arrival time has come.

        Returns
        -------
        float or None
            Monotonic time of the next arrival, or of the next attempt if the
            receiver is slow; None if nothing is in transit.

        """
        while self.chunks:
            arrival, content = self.chunks[0]
            if arrival > now:
                return arrival
            self.chunks.popleft()
            if not self._write(content):
                return now + _WRITE_RETRY_SECONDS
        return None

    def _write(self, content: bytes) -> bool:
        """Return False if some bytes must be written again later."""
        self.buffered_bytes -= len(content)
        if content == _EOF:
            self.is_write_closed = True
            _shut_down_writing(self.writer)
            return True
        try:
            sent = self.writer.send(content)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.chunks.clear()
            self.is_write_closed = True
            return True
        if sent < len(content):
            self.chunks.appendleft((0, content[sent:]))
            self.buffered_bytes += len(content) - sent
            return False
        return True


def _shut_down_writing(writer: socket.socket) -> None:
    try:
        writer.shutdown(socket.SHUT_WR)
    except OSError:
        """The peer has already closed the connection."""
