"""Tries that ended here before their backend server had answered."""

import math
import threading
from collections import OrderedDict, deque
from typing import Final, NamedTuple

from sesameroute.ports import Clock

__all__ = ['SentTry', 'UnsettledTries']

# How long a backend server may go on with a try that was given up.
_RUNNING_SECONDS: Final = 3.0
# Signs of an end within this time, if servers have no incarnation, are of one.
_SAME_END_SECONDS: Final = 1.0
# Oldest tries are forgotten first; a full table takes less than 0.5 MB.
_MAX_TRIES: Final = 1024
_MAX_ENDS: Final = 256


class SentTry(NamedTuple):
    """A request that was sent to a backend server.

    Attributes
    ----------
    fingerprint : str
        Digest that identifies the request.
    service : str
        Name of the service.
    server : tuple of (str, int)
        Name and incarnation of the backend server.
    sent_at : float
        Monotonic time in seconds.
    known_losses : int
        Number of separate losses of the request that were known then.

    """

    fingerprint: str
    service: str
    server: tuple[str, int]
    sent_at: float
    known_losses: int


class UnsettledTries:
    """Remembers tries that were given up while they may still run.

    A caller has left, or the time is up. Whether the request ended its
    backend server shows only later, when the server is found lost.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without tries."""
        self.clock = clock
        self._tries: deque[tuple[float, SentTry]] = deque(maxlen=_MAX_TRIES)
        self._ends: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, sent: SentTry) -> float | None:
        """Remember a try that was given up just now.

        Returns
        -------
        float or None
            Monotonic time in seconds at which its server was found to have
            ended, if that was while the try ran; then it is not remembered.

        """
        now = self.clock.read_monotonic()
        with self._lock:
            ended_at = self._ends.get(sent.server, -math.inf)
            if sent.sent_at <= ended_at:
                return ended_at
            self._tries.append((now, sent))
        return None

    def note_end(self, server: tuple[str, int]) -> tuple[float, bool]:
        """Note that a server has ended.

        Returns
        -------
        tuple of (float, bool)
            Monotonic time in seconds at which this was noted first, and
            whether that is now.

        """
        now = self.clock.read_monotonic()
        with self._lock:
            noted_at = self._ends.get(server, -math.inf)
            # Without an incarnation it may be another end.
            is_known = noted_at > -math.inf and bool(server[1])
            if is_known or now - noted_at < _SAME_END_SECONDS:
                return noted_at, False
            self._ends[server] = now
            self._ends.move_to_end(server)
            if len(self._ends) > _MAX_ENDS:
                self._ends.popitem(last=False)
        return now, True

    def settle(self, server: tuple[str, int], ended_at: float) -> list[SentTry]:
        """Remove and return the tries that an ended backend server ran."""
        oldest = self.clock.read_monotonic() - _RUNNING_SECONDS
        with self._lock:
            while self._tries and self._tries[0][0] < oldest:
                self._tries.popleft()
            settled = [
                each
                for each in self._tries
                if each[1].server == server and each[1].sent_at <= ended_at
            ]
            for each in settled:
                self._tries.remove(each)
        return [sent for _, sent in settled]
