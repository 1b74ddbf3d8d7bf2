"""Recognises requests that a caller sends again after a failed attempt.

Each attempt of a caller has a new identifier, so identifiers do not show
it. But the time limit of a later attempt is shorter by the time that the
earlier attempts took.
"""

__all__ = ['CallerRetryDetector']

# A time limit below this part of the usual one means that earlier attempts
# have used time.
_FIRST_ATTEMPT_FRACTION = 0.9
# Decays the usual limit with each request, so that it follows callers that
# change to a shorter one.
_DECAY_PER_REQUEST = 0.999


class CallerRetryDetector:
    """Tracks the usual time limit of each route's requests.

    Examples
    --------
    >>> detector = CallerRetryDetector()
    >>> detector.compute_earlier_seconds('orders', 1.5)
    0
    >>> round(detector.compute_earlier_seconds('orders', 1.0), 2)
    0.5

    """

    def __init__(self) -> None:
        """Start without any usual limit."""
        self._usual_limits: dict[str, float] = {}

    def compute_earlier_seconds(self, route: str, seconds: float) -> float:
        """Return the seconds that earlier attempts took; 0 for a first attempt.

        Parameters
        ----------
        route : str
            Name of the request's route.
        seconds : float
            Time limit of the request.

        """
        usual_limit = max(
            self._usual_limits.get(route, 0) * _DECAY_PER_REQUEST, seconds
        )
        self._usual_limits[route] = usual_limit
        if seconds >= _FIRST_ATTEMPT_FRACTION * usual_limit:
            return 0
        return usual_limit - seconds
