"""Event loop that copies bytes between the ends of delayed connections."""

import select
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from threading import Lock, Thread

from sesameroute.fakes._delivery_schedule import DeliverySchedule
from sesameroute.fakes._lane import Lane
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
        Called with a lane and the number of bytes that were read from it.

    """

    def __init__(
        self,
        outages: Outages,
        on_read: Callable[[Lane, int], None],
    ) -> None:
        """Store the parameters and open the epoll object."""
        self.outages = outages
        self.on_read = on_read
        self._lock = Lock()
        self._poll = select.epoll()
        self._lanes: dict[int, Lane] = {}
        self._reverse_lanes: dict[Lane, Lane] = {}
        self._schedule = DeliverySchedule()
        self._is_running = False

    def start(self) -> None:
        """Start the thread."""
        self._is_running = True
        Thread(target=self._transfer, name='network', daemon=True).start()

    def stop(self) -> None:
        """Close all connections and end the thread."""
        self._is_running = False
        self.close(lambda _lane: True)

    def add(self, forward: Lane, reverse: Lane) -> None:
        """Add a connection, given its two directions.

        No lock is needed: each step is atomic in the interpreter, and nothing
        is read from a socket before it is registered with epoll.
        """
        self._reverse_lanes.update({forward: reverse, reverse: forward})
        for lane in (forward, reverse):
            self._lanes[lane.reader.fileno()] = lane
        for lane in (forward, reverse):
            # A reset may have closed the socket in the meantime.
            with suppress(OSError, ValueError):
                self._poll.register(lane.reader.fileno(), select.EPOLLIN)

    def silence(self, selects: Callable[[Lane], bool]) -> int:
        """Discard the queued and all further bytes of the selected lanes.

        Returns
        -------
        int
            Number of selected lanes.

        """
        with self._lock:
            chosen = list(filter(selects, tuple(self._lanes.values())))
            for lane in chosen:
                lane.drops_bytes = True
                lane.chunks.clear()
        return len(chosen)

    def close(self, selects: Callable[[Lane], bool]) -> None:
        """Reset the selected connections."""
        with self._lock:
            for lane in filter(selects, tuple(self._lanes.values())):
                self._close_connection(lane, _reset_socket)

    def _transfer(self) -> None:
        while self._is_running:
            for fd, _events in self._poll.poll(self._schedule.find_timeout()):
                self._handle_readable(fd)
            for lane in self._schedule.pop_due():
                with self._lock:
                    self._deliver(lane)

    def _handle_readable(self, fd: int) -> None:
        with self._lock:
            lane = self._lanes.get(fd)
            if lane is not None and not lane.is_paused:
                self._read(lane)

    def _read(self, lane: Lane) -> None:
        try:
            content = lane.reader.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            content = b''
        now = time.monotonic()
        lane.push(content, now)
        self.on_read(lane, len(content))
        # epoll would report a socket at its end of stream again and again.
        if lane.has_reached_eof or lane.is_full:
            lane.is_paused = True
            self._poll.unregister(lane.reader.fileno())
        self._schedule.put(lane, now + lane.delay)

    def _deliver(self, lane: Lane) -> None:
        if lane not in self._reverse_lanes:
            return
        now = time.monotonic()
        if self.outages.is_held(lane.source, lane.target):
            if lane.chunks:
                self._schedule.put(lane, now + _HELD_RETRY_SECONDS)
            return
        next_due = lane.deliver(now)
        if next_due is not None:
            self._schedule.put(lane, next_due)
        if lane.is_paused and not (lane.is_full or lane.has_reached_eof):
            lane.is_paused = False
            self._poll.register(lane.reader.fileno(), select.EPOLLIN)
        if lane.is_write_closed and self._reverse_lanes[lane].is_write_closed:
            self._close_connection(lane, _close_socket)

    def _close_connection(
        self,
        lane: Lane,
        close: Callable[[socket.socket], None],
    ) -> None:
        reverse = self._reverse_lanes.pop(lane, None)
        if reverse is None:
            return
        self._reverse_lanes.pop(reverse, None)
        for part in (lane, reverse):
            self._lanes.pop(part.reader.fileno(), None)
            close(part.reader)


def _close_socket(endpoint: socket.socket) -> None:
    endpoint.close()


def _reset_socket(endpoint: socket.socket) -> None:
    with suppress(OSError):
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    endpoint.close()
