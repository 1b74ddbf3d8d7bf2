"""Bounds how many lines of one event are written."""

import logging
import threading
from collections import Counter

from sesameroute.ports import Clock

__all__ = ['LineBudget']

_MOST_LINES = 100  # of one event in a second


class LineBudget(logging.Filter):
    """Lets through so many lines of each event in every second.

    The first line after some that were left out says in `left_out` how many.

    Parameters
    ----------
    clock : Clock
        Source of time.
    most : int, optional
        Lines of an event in a second.

    """

    def __init__(self, clock: Clock, most: int = _MOST_LINES) -> None:
        """Store the arguments."""
        super().__init__()
        self.clock = clock
        self.most = most
        self._lock = threading.Lock()
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        event = record.msg
        second = int(self.clock.read_monotonic())
        with self._lock:
            if second != self._second:
                self._second = second
                self._written.clear()
            self._written[event] += 1
            if self._written[event] > self.most:
                self._left_out[event] += 1
                return False
            left_out = self._left_out.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True
