"""Clock port: the source of time for the routing logic.

Tests replace it by a clock of their own.
"""

import time
from typing import Protocol

__all__ = ['Clock', 'SystemClock']


class Clock(Protocol):
    """Source of time in seconds."""

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def read_wall(self) -> float:
        """Return Unix time in seconds."""

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for `seconds`."""


class SystemClock:
    """The clock of the operating system."""

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for `seconds`."""
        time.sleep(seconds)
