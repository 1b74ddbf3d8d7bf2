"""One direction of a delayed connection."""

import socket
from collections import deque
from dataclasses import dataclass, field

__all__ = ['Lane']

_MOST_BYTES = 4_194_304
_RETRY_SECONDS = 0.002
_END = b''


@dataclass(slots=True, eq=False)
class Lane:
    """Bytes on their way, in order, each with its time of arrival.

    Attributes
    ----------
    source, target : str
        IP addresses of the two ends.
    reader, writer : socket
        Where bytes come from and go to.
    delay : float
        One-way delay in seconds.
    pieces : deque
        Arrival times and bytes; empty bytes are the end of the stream.
    is_dead : bool
        Whether the two ends have been lost track of: bytes vanish.
    has_ended, is_paused, is_over : bool
        Whether the reader's stream has ended, reading is put off, and
        nothing can be written any more.

    """

    source: str
    target: str
    reader: socket.socket
    writer: socket.socket
    delay: float
    port: int
    pieces: deque[tuple[float, bytes]] = field(default_factory=deque)
    held_bytes: int = 0
    is_dead: bool = False
    has_ended: bool = False
    is_paused: bool = False
    is_over: bool = False

    @property
    def is_full(self) -> bool:
        """Whether no more should be read for now."""
        return self.held_bytes >= _MOST_BYTES

    def push(self, content: bytes, now: float) -> None:
        """Put bytes on their way."""
        self.has_ended = content == _END
        if not self.is_dead:
            self.pieces.append((now + self.delay, content))
            self.held_bytes += len(content)

    def deliver(self, now: float) -> float | None:
        """Write what has arrived.

        Returns
        -------
        float or None
            Monotonic time of the next piece or of the next try when the
            reader is slow; None when nothing is on its way.

        """
        while self.pieces:
            arrival, content = self.pieces[0]
            if arrival > now:
                return arrival
            self.pieces.popleft()
            if not self._write(content):
                return now + _RETRY_SECONDS
        return None

    def _write(self, content: bytes) -> bool:
        """Return whether all was written or nothing more can be."""
        self.held_bytes -= len(content)
        if content == _END:
            self.is_over = True
            _end_stream(self.writer)
            return True
        try:
            sent = self.writer.send(content)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.pieces.clear()
            self.is_over = True
            return True
        if sent < len(content):
            self.pieces.appendleft((0, content[sent:]))
            self.held_bytes += len(content) - sent
            return False
        return True


def _end_stream(writer: socket.socket) -> None:
    try:
        writer.shutdown(socket.SHUT_WR)
    except OSError:
        """The other end is gone already."""
