"""Forecasts how long a request will wait for a slot.

Load: a burst of the urgent kind while a less urgent one waits. What is ahead
of a request on its arrival does not tell who comes later and goes first;
callers were held until their objective had passed and were refused then.
"""

import math
from dataclasses import dataclass

__all__ = ['FlowClass', 'WaitForecasts']

# A correction grows with each wait in vain and shrinks with each that ends
# with a slot. They balance when about half of the waits are in vain.
_GROWTH = 1.025
_SHRINKAGE = 0.98
_MAX_CORRECTION = 32.0
# Time constant with which a correction is forgotten.
_FORGET_SECONDS = 2.0

# Route, and whether the request can't be on time any more.
FlowClass = tuple[str, bool]


@dataclass(slots=True)
class _Correction:
    """A factor for forecast waits, and when it was last updated."""

    factor: float = 1.0
    updated_at: float = -math.inf

    def read(self, now: float) -> float:
        """Return the factor; it returns to 1 while nobody waits."""
        age = max(now - self.updated_at, 0)
        return 1 + (self.factor - 1) * math.exp(-age / _FORGET_SECONDS)


class WaitForecasts:
    """Corrects forecast waits by how the recent ones ended.

    Requests that probably wait in vain are then refused on arrival.

    Examples
    --------
    >>> forecasts = WaitForecasts()
    >>> forecasts.correct(('orders', False), 0.25, now=5)
    0.25
    >>> for _ in range(50):
    ...     forecasts.observe(('orders', False), now=5, was_served=False)
    >>> forecasts.correct(('orders', False), 0.25, now=5) > 0.6
    True
    >>> forecasts.correct(('orders', False), 0.25, now=15) < 0.26
    True

    """

    def __init__(self) -> None:
        """Start without corrections."""
        self._corrections: dict[FlowClass, _Correction] = {}

    def correct(
        self, flow_class: FlowClass, seconds: float, now: float
    ) -> float:
        """Return the forecast for a wait of so many seconds by the queue."""
        correction = self._corrections.get(flow_class)
        return seconds if correction is None else seconds * correction.read(now)

    def observe(
        self, flow_class: FlowClass, now: float, *, was_served: bool
    ) -> None:
        """Count the end of a wait."""
        correction = self._corrections.setdefault(flow_class, _Correction())
        change = _SHRINKAGE if was_served else _GROWTH
        factor = change * correction.read(now)
        correction.factor = min(max(factor, 1), _MAX_CORRECTION)
        correction.updated_at = now
