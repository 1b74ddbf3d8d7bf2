"""A thread that calls a function periodically."""

import threading
from collections.abc import Callable

__all__ = ['Ticker']


class Ticker:
    """Calls a function at a fixed interval until stopped.

    Parameters
    ----------
    function : callable
        Called without arguments.
    interval : float
        Seconds between the end of one call and the start of the next.

    """

    def __init__(self, function: Callable[[], None], interval: float) -> None:
        """Store the arguments; the thread starts with `start`."""
        self.function = function
        self.interval = interval
        self._stop_event = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run,
            name='steering',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Tell the thread to end after its current call."""
        self._stop_event.set()

    def _run(self) -> None:
        while not self._stop_event.wait(self.interval):
            self.function()
