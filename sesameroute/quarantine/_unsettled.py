"""Tries that ended here before their backend server had answered."""

import threading
from collections import deque
from typing import Final, NamedTuple

from sesameroute.ports import Clock

__all__ = ['UnsettledTries', 'UnsettledTry']

# How long a backend server may go on with a try that was given up.
_RUNNING_SECONDS: Final = 3.0
# Oldest tries are forgotten first; a full table takes less than 0.5 MB.
_MAX_TRIES: Final = 1024


class UnsettledTry(NamedTuple):
    """A try that was given up.

    Attributes
    ----------
    fingerprint : str
        Digest that identifies the request.
    server : tuple of (str, int)
        Name and incarnation of the backend server.
    given_up_at : float
        Monotonic time in seconds.

    """

    fingerprint: str
    server: tuple[str, int]
    given_up_at: float


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
        self._tries: deque[UnsettledTry] = deque(maxlen=_MAX_TRIES)
        self._lock = threading.Lock()

    def add(self, fingerprint: str, server: tuple[str, int]) -> None:
        """Remember a try that was given up just now."""
        now = self.clock.read_monotonic()
        with self._lock:
            self._tries.append(UnsettledTry(fingerprint, server, now))

    def settle(self, server: tuple[str, int]) -> list[UnsettledTry]:
        """Remove and return the tries that a lost backend server may run."""
        oldest = self.clock.read_monotonic() - _RUNNING_SECONDS
        with self._lock:
            while self._tries and self._tries[0].given_up_at < oldest:
                self._tries.popleft()
            settled = [each for each in self._tries if each.server == server]
            for each in settled:
                self._tries.remove(each)
        return settled
