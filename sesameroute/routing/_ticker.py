"""A thread that calls something again and again."""

import threading
from collections.abc import Callable

__all__ = ['Ticker']


class Ticker:
    """Calls a function at an interval until it is stopped.

    Parameters
    ----------
    call : callable
        What to call.
    interval : float
        Seconds between the end of a call and the next one.

    """

    def __init__(self, call: Callable[[], None], interval: float) -> None:
        """Store the arguments; no thread runs."""
        self.call = call
        self.interval = interval
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self._run,
            name='steering',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Let the thread end after the call that it is in."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self.interval):
            self.call()
