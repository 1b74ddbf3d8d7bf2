"""Measures how long messages were on their way, without common clocks."""

import math

__all__ = ['TransitClock']

# The least difference of the clocks is taken over one to two such spans, so
# that a clock that stood still is followed.
_SPAN_SECONDS = 5.0


class TransitClock:
    """Time in transit of one sender's messages beyond that of the fastest.

    Examples
    --------
    >>> clock = TransitClock()
    >>> clock.measure('boot', 100.0, 7.0), clock.measure('boot', 101.0, 9.0)
    (0.0, 1.0)

    """

    def __init__(self) -> None:
        """Know no message."""
        self._boot = ''
        self._began_at = -math.inf
        self._least = math.inf
        self._earlier_least = math.inf

    def measure(self, boot: str, sent_at: float, now: float) -> float:
        """Return the seconds that a message took beyond the fastest one.

        Parameters
        ----------
        boot : str
            Run of the sender's process.
        sent_at : float
            Time in seconds on the sender's clock.
        now : float
            Time in seconds on the own clock.

        """
        if boot != self._boot:
            self._boot = boot
            self._least = math.inf
            self._began_at = -math.inf
        if now - self._began_at > _SPAN_SECONDS:
            self._earlier_least = self._least
            self._least = math.inf
            self._began_at = now
        difference = now - sent_at
        self._least = min(self._least, difference)
        return difference - min(self._least, self._earlier_least)
