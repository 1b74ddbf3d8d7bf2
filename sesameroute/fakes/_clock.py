"""Clock of a VM that can be paused."""

import time
from threading import Event

__all__ = ['PausableClock']


class PausableClock:
    """The machine's clock; while paused, whoever asks it waits.

    A paused VM's threads do not run. In one process they can't be stopped
    one by one, but decisions take their time from here, so they stop at
    their next look at the clock and find it far ahead afterwards.

    Examples
    --------
    >>> clock = PausableClock()
    >>> clock.read_wall() > 0
    True

    """

    def __init__(self) -> None:
        """Start unpaused."""
        self._runs = Event()
        self._runs.set()

    def pause(self) -> None:
        """Hold everybody who asks for the time."""
        self._runs.clear()

    def resume(self) -> None:
        """Let everybody go on."""
        self._runs.set()

    def read_monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        self._runs.wait()
        return time.monotonic()

    def read_wall(self) -> float:
        """Return Unix time in seconds."""
        self._runs.wait()
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for some seconds."""
        time.sleep(seconds)
        self._runs.wait()
