"""Limits the rate of requests to a backend server that is cold."""

import math

__all__ = ['ColdStartBudget']

# Requests that may start at once.
_BURST_STARTS = 2.0


class ColdStartBudget:
    """A token bucket; the rate may differ at each call.

    Examples
    --------
    >>> budget = ColdStartBudget()
    >>> [budget.take(rate=1, now=10) for _ in range(3)]
    [True, True, False]
    >>> budget.take(rate=1, now=11)
    True

    """

    def __init__(self) -> None:
        """Start with a full bucket."""
        self._tokens = _BURST_STARTS
        self._refilled_at = -math.inf

    def has_token(self, rate: float, now: float) -> bool:
        """Return whether a request may start now."""
        self._refill(rate, now)
        return self._tokens >= 1

    def take(self, rate: float, now: float) -> bool:
        """Consume a token; return whether there was one."""
        if not self.has_token(rate, now):
            return False
        self._tokens -= 1
        return True

    def _refill(self, rate: float, now: float) -> None:
        gained = min(max(now - self._refilled_at, 0) * rate, _BURST_STARTS)
        self._tokens = min(_BURST_STARTS, self._tokens + gained)
        self._refilled_at = now
