"""Recognises requests that come back after a failure.

Each attempt of a caller has an identifier of its own, but its time limit
has shrunk by what the earlier ones took.
"""

__all__ = ['ReturnDetector']

_SAME_PART = 0.9  # of the usual limit: less means that time has been spent
_FADE = 0.999  # per request, so that a shorter limit becomes the usual one


class ReturnDetector:
    """Knows the usual time limit of each flow.

    Examples
    --------
    >>> detector = ReturnDetector()
    >>> detector.find_lost('orders', 1.5)
    0
    >>> round(detector.find_lost('orders', 1.0), 2)
    0.5

    """

    def __init__(self) -> None:
        """Start without any flow."""
        self._usual: dict[str, float] = {}

    def find_lost(self, flow: str, seconds: float) -> float:
        """Return the time that earlier attempts took, 0 for a first one."""
        usual = max(self._usual.get(flow, 0) * _FADE, seconds)
        self._usual[flow] = usual
        if seconds >= _SAME_PART * usual:
            return 0
        return usual - seconds
