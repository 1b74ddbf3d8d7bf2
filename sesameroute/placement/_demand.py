"""Estimates how many slots the arriving requests need."""

import math

__all__ = ['Demand', 'DemandForecast']

# Time constant of the exponential average.
_WINDOW_SECONDS = 1.5
# Time constants of the averages whose difference is the trend.
_RECENT_SECONDS = 1.0
_EARLIER_SECONDS = 3.0
# Part of the trend that is counted on to last.
_TREND_DAMPING = 0.7
# The forecast differs from the recent demand by this factor at most.
_MAX_FORECAST_RATIO = 1.6
# Just after the start, a few requests don't make a demand.
_MIN_OBSERVED_FRACTION = 0.3


class Demand:
    """Exponentially weighted average of the work that arrives.

    Seconds of run time that arrive per second equal the number of slots that
    are busy on average.

    Parameters
    ----------
    window : float
        Time constant of the average in seconds.

    Examples
    --------
    >>> demand = Demand()
    >>> for moment in range(1000):
    ...     demand.add(0.05, moment / 100)
    >>> 4.5 < demand.estimate_slots(10) < 5.5
    True

    """

    def __init__(self, window: float = _WINDOW_SECONDS) -> None:
        """Start without demand."""
        self.window = window
        self._sum = 0
        self._updated_at = -math.inf

    def add(self, seconds: float, now: float) -> None:
        """Add one request's expected run time in seconds."""
        self._decay(now)
        self._sum += seconds

    def estimate_slots(self, now: float) -> float:
        """Return the average number of slots that the requests need."""
        self._decay(now)
        return self._sum / self.window

    def _decay(self, now: float) -> None:
        age = max(now - self._updated_at, 0)
        self._sum *= math.exp(-age / self.window)
        self._updated_at = now


class DemandForecast:
    """Forecasts the slots that the requests will need in some seconds.

    Answers demand that rises and falls in waves of half a minute: an average
    lags behind them by its window, and shares of the requests can only
    follow it slowly.

    Parameters
    ----------
    ahead : float
        Seconds from now to the time of the forecast.

    Examples
    --------
    >>> forecast = DemandForecast(ahead=2)
    >>> for moment in range(400):
    ...     forecast.add(0.0005 * moment, moment / 100)
    >>> 17 < forecast.estimate_slots(4) < 31
    True

    """

    def __init__(self, ahead: float) -> None:
        """Start without demand."""
        self.ahead = ahead
        self._recent = Demand(_RECENT_SECONDS)
        self._earlier = Demand(_EARLIER_SECONDS)
        self._started_at = math.inf

    def add(self, seconds: float, now: float) -> None:
        """Add one request's expected run time in seconds."""
        self._started_at = min(self._started_at, now)
        self._recent.add(seconds, now)
        self._earlier.add(seconds, now)

    def estimate_slots(self, now: float) -> float:
        """Return the slots that the requests probably need later."""
        recent = self._estimate(self._recent, now)
        earlier = self._estimate(self._earlier, now)
        trend = (recent - earlier) / (_EARLIER_SECONDS - _RECENT_SECONDS)
        span = _RECENT_SECONDS + self.ahead
        forecast = recent + _TREND_DAMPING * trend * span
        return min(
            max(forecast, recent / _MAX_FORECAST_RATIO),
            recent * _MAX_FORECAST_RATIO,
        )

    def _estimate(self, demand: Demand, now: float) -> float:
        """Return an average that does not count the time before the start."""
        age = max(now - self._started_at, 0)
        observed_fraction = 1 - math.exp(-age / demand.window)
        return demand.estimate_slots(now) / max(
            observed_fraction, _MIN_OBSERVED_FRACTION
        )
