"""Forecasts how long a request will wait for a slot.

Load: a burst of the urgent kind while a less urgent one waits. What is ahead
of a request on its arrival does not tell who comes later and goes first;
callers were held until their objective had passed and were refused then.
"""

__all__ = ['FlowClass', 'WaitForecasts']

# A correction grows with each wait in vain and shrinks with each that ends
# with a slot. They balance when half of the waits end with one.
_GROWTH = 1.03
_SHRINKAGE = 0.97
_MAX_CORRECTION = 8.0

# Route, and whether the request can't be on time any more.
FlowClass = tuple[str, bool]


class WaitForecasts:
    """Corrects forecast waits by how the recent ones ended.

    Requests that probably wait in vain are then refused on arrival. One with
    nothing ahead of it is always let in, so that the correction shrinks again
    after the load.

    Examples
    --------
    >>> forecasts = WaitForecasts()
    >>> forecasts.correct(('orders', False), 0.25)
    0.25
    >>> for _ in range(50):
    ...     forecasts.observe(('orders', False), was_served=False)
    >>> forecasts.correct(('orders', False), 0.25) > 0.7
    True

    """

    def __init__(self) -> None:
        """Start without corrections."""
        self._corrections: dict[FlowClass, float] = {}

    def correct(self, flow_class: FlowClass, seconds: float) -> float:
        """Return the forecast for a wait of so many seconds by the queue."""
        return seconds * self._corrections.get(flow_class, 1.0)

    def observe(self, flow_class: FlowClass, *, was_served: bool) -> None:
        """Count the end of a wait."""
        factor = _SHRINKAGE if was_served else _GROWTH
        corrected = factor * self._corrections.get(flow_class, 1.0)
        self._corrections[flow_class] = min(max(corrected, 1), _MAX_CORRECTION)
