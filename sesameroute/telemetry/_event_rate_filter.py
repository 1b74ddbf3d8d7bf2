"""Rate limit on the log lines of each event."""

import logging
import threading
from collections import Counter

from sesameroute.ports import Clock

__all__ = ['EventRateFilter']

_LINES_PER_SECOND = 100  # limit for each event name


class EventRateFilter(logging.Filter):
    """Logging filter that limits the lines per second of each event.

    The first line that passes after some were suppressed has their number in
    the field `left_out`.

    Parameters
    ----------
    clock : Clock
        Clock that divides the time into seconds.
    lines_per_second : int, optional
        Most lines of one event in each second of the monotonic clock.

    """

    def __init__(
        self, clock: Clock, lines_per_second: int = _LINES_PER_SECOND
    ) -> None:
        """Store the parameters."""
        super().__init__()
        self.clock = clock
        self.lines_per_second = lines_per_second
        self._lock = threading.Lock()
        self._second = 0
        self._seen: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record; add `left_out` if needed."""
        event = record.msg
        second = int(self.clock.read_monotonic())
        with self._lock:
            if second != self._second:
                self._second = second
                self._seen.clear()
            self._seen[event] += 1
            if self._seen[event] > self.lines_per_second:
                self._suppressed[event] += 1
                return False
            suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            record.left_out = suppressed
        return True
