"""Budgets that keep retries and hedged copies from multiplying load."""

import threading

__all__ = ['Budget']

_DEFAULT_BURST = 3.0


class Budget:
    """Permits extra tries as a fraction of first tries.

    Parameters
    ----------
    ratio : float
        Extra tries allowed per first try, 0 to 1.
    burst : float, optional
        Extra tries that may be saved up; also the stock at the start.

    Notes
    -----
    Over any stretch, extra tries are at most `ratio` times the first tries
    plus `burst`: with every server down, load grows by no more than that.

    Examples
    --------
    >>> budget = Budget(ratio=0.5, burst=1)
    >>> budget.choose(), budget.choose()
    (True, False)
    >>> budget.observe()
    >>> budget.observe()
    >>> budget.choose()
    True

    """

    def __init__(self, ratio: float, burst: float = _DEFAULT_BURST) -> None:
        """Store the parameters and fill the stock."""
        self.ratio = ratio
        self.burst = burst
        self.stock_ = burst
        self._lock = threading.Lock()

    def resize(self, ratio: float, burst: float) -> None:
        """Set the parameters; a stock above the new burst is cut."""
        with self._lock:
            self.ratio = ratio
            self.burst = burst
            self.stock_ = min(self.stock_, burst)

    def observe(self) -> None:
        """Count one first try."""
        if not 0 <= self.ratio <= 1:
            raise ValueError(f'ratio is {self.ratio}, allowed: 0 to 1')
        with self._lock:
            self.stock_ = min(self.burst, self.stock_ + self.ratio)

    def choose(self) -> bool:
        """Take leave for one extra try; return whether it is permitted."""
        with self._lock:
            if not self.ratio or self.stock_ < 1:
                return False
            self.stock_ -= 1
            return True
