"""Limits the rate at which requests start on one backend server."""

import math

__all__ = ['StartBudget', 'StartLimit']

# Requests that may start at once on a cold backend server.
_BURST_STARTS = 2.0
# Requests that may start at once on a server that has named a limit.
_LIMITED_BURST = 1.0


class StartBudget:
    """A token bucket; the rate may differ at each call.

    Parameters
    ----------
    burst : float
        Capacity in requests.
    initial_tokens : float, optional
        Tokens at the start; by default the bucket is full.

    Examples
    --------
    >>> budget = StartBudget()
    >>> [budget.take(rate=1, now=10) for _ in range(3)]
    [True, True, False]
    >>> budget.take(rate=1, now=11)
    True

    """

    def __init__(
        self, burst: float = _BURST_STARTS, initial_tokens: float | None = None
    ) -> None:
        """Fill the bucket."""
        self.burst = burst
        self._tokens = burst if initial_tokens is None else initial_tokens
        self._refilled_at: float | None = None

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
        if self._refilled_at is not None:
            gained = max(now - self._refilled_at, 0) * rate
            self._tokens = min(self.burst, self._tokens + gained)
        self._refilled_at = now


class StartLimit:
    """Limits the starts on a server that has named a limit.

    Attributes
    ----------
    rate : float
        Requests per second that may start; infinite without a limit.

    Examples
    --------
    >>> limit = StartLimit()
    >>> limit.is_reached(now=0)
    False
    >>> limit.apply_rate(2)
    >>> limit.is_reached(now=0), limit.is_reached(now=0.5)
    (True, False)
    >>> limit.count_start(now=0.5)
    >>> limit.is_reached(now=0.6)
    True

    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate = math.inf
        self._budget = StartBudget(_LIMITED_BURST)

    @property
    def is_set(self) -> bool:
        """Whether the server has named a limit."""
        return math.isfinite(self.rate)

    def apply_rate(self, rate: float) -> None:
        """Set the requests per second that may start; infinite for any."""
        if math.isfinite(rate) and not self.is_set:
            # Several pools may begin at the same time.
            self._budget = StartBudget(_LIMITED_BURST, initial_tokens=0)
        self.rate = rate

    def is_reached(self, now: float) -> bool:
        """Whether no request may start now."""
        return self.is_set and not self._budget.has_token(self.rate, now)

    def count_start(self, now: float) -> None:
        """Count a request that starts."""
        if self.is_set:
            self._budget.take(self.rate, now)
