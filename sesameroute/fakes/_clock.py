"""Clock by which the pause of a VM is simulated."""

import time
from threading import Event

__all__ = ['PausableClock']


class PausableClock:
    """System clock whose methods block while it is paused.

    The threads of a paused VM do not run. Threads of one process can't be
    suspended individually, but code that decides by time reads it from this
    clock: it blocks at the next reading, and afterwards finds that the time
    has jumped ahead.

    Examples
    --------
    >>> clock = PausableClock()
    >>> clock.read_wall() > 0
    True

    """

    def __init__(self) -> None:
        """Create a clock that is not paused."""
        self._running = Event()
        self._running.set()

    def pause(self) -> None:
        """Block all threads that read the time, until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Unblock the waiting threads."""
        self._running.set()

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        self._running.wait()
        return time.monotonic()

    def read_wall(self) -> float:
        """Return Unix time in seconds."""
        self._running.wait()
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block for some seconds, and then until the clock is not paused."""
        time.sleep(seconds)
        self._running.wait()
