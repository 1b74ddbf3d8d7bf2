"""Counter of the requests that a server has not finished answering."""

import threading

from sesameroute.ports import Clock

__all__ = ['RunningRequests']


class RunningRequests:
    """Counts requests from their acceptance to the last byte of the answer.

    A request counts before it is read: its connection may wait for a thread.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    count : int
        Requests in progress.
    last_change_at : float
        Monotonic time in seconds at which a request last began or ended.

    """

    def __init__(self, clock: Clock) -> None:
        """Store the clock and start at zero."""
        self.clock = clock
        self.count = 0
        self.last_change_at: float = 0
        self._lock = threading.Lock()

    def begin(self) -> None:
        """Count one more request as in progress."""
        self._change(1)

    def end(self) -> None:
        """Count one request less."""
        self._change(-1)

    def _change(self, change: int) -> None:
        with self._lock:
            self.count += change
            self.last_change_at = self.clock.read_monotonic()
