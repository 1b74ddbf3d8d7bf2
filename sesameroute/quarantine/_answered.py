"""Requests that backend servers answered lately."""

from collections import OrderedDict
from typing import Final

from sesameroute.ports import Clock

__all__ = ['AnsweredRequests']

_MEMORY_SECONDS: Final = 60.0
# A full table takes less than 1 MB; the oldest answer is forgotten first.
_MAX_FINGERPRINTS: Final = 4096


class AnsweredRequests:
    """Bounded set of requests that were answered lately; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without requests."""
        self.clock = clock
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Add a request that was answered just now."""
        self._answered_at[fingerprint] = self.clock.read_monotonic()
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MAX_FINGERPRINTS:
            self._answered_at.popitem(last=False)

    def __contains__(self, fingerprint: str) -> bool:
        """Return whether a request was answered lately."""
        answered_at = self._answered_at.get(fingerprint)
        if answered_at is None:
            return False
        return self.clock.read_monotonic() - answered_at < _MEMORY_SECONDS
