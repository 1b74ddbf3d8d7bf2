"""Thread that moves bytes between the two ends of delayed connections."""

import select
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from threading import Lock, Thread

from sesameroute.fakes._agenda import Agenda
from sesameroute.fakes._lane import Lane
from sesameroute.fakes._outages import Outages

__all__ = ['Pump']

_READ_BYTES = 262_144
_HELD_SECONDS = 0.05
_RESET = struct.pack('ii', 1, 0)  # linger for no time: close with a reset


class Pump:
    """Reads, delays and writes for all connections of one network.

    Parameters
    ----------
    outages : Outages
        Tells which bytes must wait.
    note : callable
        Told of a lane and the number of bytes that entered it.

    """

    def __init__(
        self,
        outages: Outages,
        note: Callable[[Lane, int], None],
    ) -> None:
        """Store the parameters and open the poll object."""
        self.outages = outages
        self.note = note
        self._lock = Lock()
        self._poll = select.epoll()
        self._lanes: dict[int, Lane] = {}
        self._partners: dict[Lane, Lane] = {}
        self._agenda = Agenda()
        self._runs = False

    def start(self) -> None:
        """Start the thread."""
        self._runs = True
        Thread(target=self._move, name='network', daemon=True).start()

    def stop(self) -> None:
        """Close all connections and end the thread."""
        self._runs = False
        self.close(lambda _lane: True)

    def add(self, there: Lane, back: Lane) -> None:
        """Take a new connection.

        No lock is needed: each step is a single one of the interpreter, and
        nothing is read before the poll object knows of it.
        """
        self._partners.update({there: back, back: there})
        for lane in (there, back):
            self._lanes[lane.reader.fileno()] = lane
        for lane in (there, back):
            # A reset may have closed it by now.
            with suppress(OSError, ValueError):
                self._poll.register(lane.reader.fileno(), select.EPOLLIN)

    def silence(self, selects: Callable[[Lane], bool]) -> int:
        """Let all bytes of the selected lanes vanish from now on."""
        with self._lock:
            chosen = list(filter(selects, tuple(self._lanes.values())))
            for lane in chosen:
                lane.is_dead = True
                lane.pieces.clear()
        return len(chosen)

    def close(self, selects: Callable[[Lane], bool]) -> None:
        """Reset the selected connections."""
        with self._lock:
            for lane in filter(selects, tuple(self._lanes.values())):
                self._drop(lane, _reset)

    def _move(self) -> None:
        while self._runs:
            for number, _events in self._poll.poll(self._agenda.find_pause()):
                self._handle(number)
            for lane in self._agenda.pop_due():
                with self._lock:
                    self._deliver(lane)

    def _handle(self, number: int) -> None:
        with self._lock:
            lane = self._lanes.get(number)
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
        self.note(lane, len(content))
        # A closed socket would be reported for ever.
        if lane.has_ended or lane.is_full:
            lane.is_paused = True
            self._poll.unregister(lane.reader.fileno())
        self._agenda.put(lane, now + lane.delay)

    def _deliver(self, lane: Lane) -> None:
        if lane not in self._partners:
            return
        now = time.monotonic()
        if self.outages.is_held(lane.source, lane.target):
            if lane.pieces:
                self._agenda.put(lane, now + _HELD_SECONDS)
            return
        following = lane.deliver(now)
        if following is not None:
            self._agenda.put(lane, following)
        if lane.is_paused and not (lane.is_full or lane.has_ended):
            lane.is_paused = False
            self._poll.register(lane.reader.fileno(), select.EPOLLIN)
        if lane.is_over and self._partners[lane].is_over:
            self._drop(lane, _close)

    def _drop(self, lane: Lane, close: Callable[[socket.socket], None]) -> None:
        back = self._partners.pop(lane, None)
        if back is None:
            return
        self._partners.pop(back, None)
        for part in (lane, back):
            self._lanes.pop(part.reader.fileno(), None)
            close(part.reader)


def _close(closing: socket.socket) -> None:
    closing.close()


def _reset(closing: socket.socket) -> None:
    with suppress(OSError):
        closing.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    closing.close()
