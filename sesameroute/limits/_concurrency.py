"""Limit on the requests that are served at the same time.

Load pattern: more threads are ready to run than the processor can serve, so
that each of them, and the one that accepts connections, gets its turn late.
"""

from dataclasses import dataclass

__all__ = ['ConcurrencyBounds', 'ConcurrencyLimit']


@dataclass(frozen=True, slots=True)
class ConcurrencyBounds:
    """Bounds of a `ConcurrencyLimit`.

    Attributes
    ----------
    lowest, highest : int
        Bounds of the limit.
    delay_seconds : float
        A longer delay tells of too many ready threads.
    interval_seconds : float
        Shortest time between two changes of the limit.
    samples : int
        Fewest delays by which it is changed.
    decrease : float
        Factor by which the limit falls.
    increase : int
        Number by which it rises.

    """

    lowest: int = 8
    highest: int = 512
    delay_seconds: float = 0.01
    interval_seconds: float = 0.1
    samples: int = 4
    decrease: float = 0.5
    increase: int = 8


class ConcurrencyLimit:
    """Additive-increase, multiplicative-decrease limit on concurrency.

    It follows the time that the event loop has lost, in a turn, to threads
    that were ready to run. Threads that wait for a backend server take none,
    so slow servers alone do not lower the limit.

    Parameters
    ----------
    bounds : ConcurrencyBounds
        Bounds and steps.

    Attributes
    ----------
    limit_ : int
        Requests that may be served at the same time.

    Examples
    --------
    >>> limit = ConcurrencyLimit(ConcurrencyBounds(highest=100, samples=1))
    >>> limit.observe(0.5, busy=60, now=1.0)
    >>> limit.limit_
    30

    """

    def __init__(self, bounds: ConcurrencyBounds) -> None:
        """Start at the highest limit."""
        self.bounds = bounds
        self.limit_ = bounds.highest
        self._delays: list[float] = []  # since the last change
        self._changed_at: float = 0

    def observe(self, delay: float, busy: int, now: float) -> None:
        """Take note of a delay in seconds, with `busy` threads at work.

        As in CoDel, the shortest delay of an interval decides.
        """
        self._delays.append(delay)
        is_early = now - self._changed_at < self.bounds.interval_seconds
        if is_early or len(self._delays) < self.bounds.samples:
            return
        if min(self._delays) > self.bounds.delay_seconds:
            lowered = int(min(busy, self.limit_) * self.bounds.decrease)
            self.limit_ = max(lowered, self.bounds.lowest)
        else:
            raised = self.limit_ + self.bounds.increase
            self.limit_ = min(raised, self.bounds.highest)
        self._delays.clear()
        self._changed_at = now
