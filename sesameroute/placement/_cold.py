"""Bounds the starts on a backend server that is cold."""

import math

__all__ = ['ColdBudget']

_BURST = 2.0  # starts that may come at once


class ColdBudget:
    """A token bucket whose rate is given at each use.

    Examples
    --------
    >>> budget = ColdBudget()
    >>> [budget.take(rate=1, now=10) for _ in range(3)]
    [True, True, False]
    >>> budget.take(rate=1, now=11)
    True

    """

    def __init__(self) -> None:
        """Start full."""
        self._tokens = _BURST
        self._filled = -math.inf

    def has_token(self, rate: float, now: float) -> bool:
        """Return whether a start is permitted now."""
        self._fill(rate, now)
        return self._tokens >= 1

    def take(self, rate: float, now: float) -> bool:
        """Use a token; return whether there was one."""
        if not self.has_token(rate, now):
            return False
        self._tokens -= 1
        return True

    def _fill(self, rate: float, now: float) -> None:
        gained = min(max(now - self._filled, 0) * rate, _BURST)
        self._tokens = min(_BURST, self._tokens + gained)
        self._filled = now
