"""Budgets that keep retries and hedged requests from amplifying load."""

import threading

__all__ = ['Budget']

_DEFAULT_BURST_TRIES = 3.0


class Budget:
    """Limits extra tries to a fraction of first tries.

    A token bucket that each first try fills by `ratio` tokens and each extra
    try, a retry or a hedged request, empties by one token.

    Parameters
    ----------
    ratio : float
        Extra tries allowed per first try, from 0 to 1.
    burst : float, optional
        Capacity of the bucket in tries.
    is_full : bool, optional
        Whether the bucket starts full, or empty.

    Notes
    -----
    In any interval, the number of extra tries is at most `ratio` times the
    number of first tries, plus `burst`. Load grows by no more than that even
    when every server is down.

    Examples
    --------
    >>> budget = Budget(ratio=0.5, burst=1)
    >>> budget.try_acquire(), budget.try_acquire()
    (True, False)
    >>> budget.record_first_attempt()
    >>> budget.record_first_attempt()
    >>> budget.try_acquire()
    True

    """

    def __init__(
        self,
        ratio: float,
        burst: float = _DEFAULT_BURST_TRIES,
        *,
        is_full: bool = True,
    ) -> None:
        """Store the parameters."""
        self.ratio = ratio
        self.burst = burst
        self.tokens_ = burst if is_full else 0
        self._lock = threading.Lock()

    def resize(self, ratio: float, burst: float) -> None:
        """Change the parameters; discard tokens beyond the new burst."""
        with self._lock:
            self.ratio = ratio
            self.burst = burst
            self.tokens_ = min(self.tokens_, burst)

    def record_first_attempt(self) -> None:
        """Record one first try.

        Raises
        ------
        ValueError
            If the ratio is outside 0 to 1.

        """
        if not 0 <= self.ratio <= 1:
            raise ValueError(f'ratio is {self.ratio}, allowed: 0 to 1')
        with self._lock:
            self.tokens_ = min(self.burst, self.tokens_ + self.ratio)

    def try_acquire(self) -> bool:
        """Consume a token for one extra try; return whether there was one."""
        with self._lock:
            if not self.ratio or self.tokens_ < 1:
                return False
            self.tokens_ -= 1
            return True
