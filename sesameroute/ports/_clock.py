"""Clock port: all decision code takes time from here."""

import time
from typing import Protocol

__all__ = ['Clock', 'SystemClock']


class Clock(Protocol):
    """Time in seconds."""

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def read_wall(self) -> float:
        """Return Unix time in seconds."""

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""


class SystemClock:
    """The clock of this machine."""

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        time.sleep(seconds)
