"""Event loop that copies bytes between the ends of delayed connections."""

import select
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from threading import Lock, Thread

from sesameroute.fakes._delayed_stream import DelayedStream
from sesameroute.fakes._delivery_schedule import DeliverySchedule
from sesameroute.fakes._outages import Outages

__all__ = ['TransferLoop']

_READ_BYTES = 262_144
# Interval at which delivery is retried while an outage holds the bytes.
_HELD_RETRY_SECONDS = 0.05
# With SO_LINGER on and a time of 0, close() sends a reset.
_ZERO_LINGER = struct.pack('ii', 1, 0)


class TransferLoop:
    """Copies and delays the bytes of all connections of one network.

    Parameters
    ----------
    outages : Outages
        Decides which bytes are held back.
    on_read : callable
        Called with a stream and the number of bytes that were read from it.

    """

    def __init__(
        self,
        outages: Outages,
        on_read: Callable[[DelayedStream, int], None],
    ) -> None:
        """Store the parameters and open the epoll object."""
        self.outages = outages
        self.on_read = on_read
        self._lock = Lock()
        self._poll = select.epoll()
        self._streams: dict[int, DelayedStream] = {}
        self._reverse_streams: dict[DelayedStream, DelayedStream] = {}
        self._schedule = DeliverySchedule()
        self._is_running = False

    def start(self) -> None:
        """Start the thread."""
        self._is_running = True
        Thread(target=self._transfer, name='network', daemon=True).start()

    def stop(self) -> None:
        """Close all connections and end the thread."""
        self._is_running = False
        self.close(lambda _stream: True)

    def add(self, forward: DelayedStream, reverse: DelayedStream) -> None:
        """Add a connection, given its two directions.

        No lock is needed: each step is atomic in the interpreter, and nothing
        is read from a socket before it is registered with epoll.
        """
        self._reverse_streams.update({forward: reverse, reverse: forward})
        for stream in (forward, reverse):
            self._streams[stream.reader.fileno()] = stream
        for stream in (forward, reverse):
            # A reset may have closed the socket in the meantime.
            with suppress(OSError, ValueError):
                self._poll.register(stream.reader.fileno(), select.EPOLLIN)

    def silence(self, selects: Callable[[DelayedStream], bool]) -> int:
        """Discard the queued and all further bytes of the selected lanes.

        Returns
        -------
        int
            Number of selected lanes.

        """
        with self._lock:
            chosen = list(filter(selects, tuple(self._streams.values())))
            for stream in chosen:
                stream.drops_bytes = True
                stream.chunks.clear()
        return len(chosen)

    def close(self, selects: Callable[[DelayedStream], bool]) -> None:
        """Reset the selected connections."""
        with self._lock:
            for stream in filter(selects, tuple(self._streams.values())):
                self._close_connection(stream, _reset_socket)

    def _transfer(self) -> None:
        while self._is_running:
            for fd, _events in self._poll.poll(self._schedule.find_timeout()):
                self._handle_readable(fd)
            for stream in self._schedule.pop_due():
                with self._lock:
                    self._deliver(stream)

    def _handle_readable(self, fd: int) -> None:
        with self._lock:
            stream = self._streams.get(fd)
            if stream is not None and not stream.is_paused:
                self._read(stream)

    def _read(self, stream: DelayedStream) -> None:
        try:
            content = stream.reader.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            content = b''
        now = time.monotonic()
        stream.push(content, now)
        self.on_read(stream, len(content))
        # epoll would report a socket at its end of stream again and again.
        if stream.has_reached_eof or stream.is_full:
            stream.is_paused = True
            self._poll.unregister(stream.reader.fileno())
        self._schedule.put(stream, now + stream.delay)

    def _deliver(self, stream: DelayedStream) -> None:
        if stream not in self._reverse_streams:
            return
        now = time.monotonic()
        if self.outages.is_held(stream.source, stream.target):
            if stream.chunks:
                self._schedule.put(stream, now + _HELD_RETRY_SECONDS)
            return
        next_due = stream.deliver(now)
        if next_due is not None:
            self._schedule.put(stream, next_due)
        if stream.is_paused and not (stream.is_full or stream.has_reached_eof):
            stream.is_paused = False
            self._poll.register(stream.reader.fileno(), select.EPOLLIN)
        if (
            stream.is_write_closed
            and self._reverse_streams[stream].is_write_closed
        ):
            self._close_connection(stream, _close_socket)

    def _close_connection(
        self,
        stream: DelayedStream,
        close: Callable[[socket.socket], None],
    ) -> None:
        reverse = self._reverse_streams.pop(stream, None)
        if reverse is None:
            return
        self._reverse_streams.pop(reverse, None)
        for part in (stream, reverse):
            self._streams.pop(part.reader.fileno(), None)
            close(part.reader)


def _close_socket(endpoint: socket.socket) -> None:
    endpoint.close()


def _reset_socket(endpoint: socket.socket) -> None:
    with suppress(OSError):
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    endpoint.close()
