"""Names that are believed for a limited time."""

from collections.abc import Iterable

from sesameroute.ports import Clock

__all__ = ['ExpiringNames']

_MAX_NAMES = 512


class ExpiringNames:
    """A bounded set of names, each with its time of expiry.

    Relayed names carry the seconds left, which only shrink on the way, so
    that VMs which tell each other can't keep a name alive.

    Parameters
    ----------
    clock : Clock
        Source of time.
    longest : float
        Longest time in seconds for which a name is believed.

    Examples
    --------
    >>> from sesameroute.ports import SystemClock
    >>> names = ExpiringNames(SystemClock(), longest=10)
    >>> names.merge([('tally-1', 5.0), ('tally-2', -1.0)])
    >>> names.list_names()
    ('tally-1',)

    """

    def __init__(self, clock: Clock, longest: float) -> None:
        """Store the clock and the bound."""
        self.clock = clock
        self.longest = longest
        self._ends: dict[str, float] = {}

    def merge(self, pairs: Iterable[tuple[str, float]]) -> None:
        """Add names with the seconds left; the latest expiry counts."""
        now = self.clock.read_monotonic()
        ends = {name: end for name, end in self._ends.items() if end > now}
        for name, seconds in pairs:
            end = now + min(seconds, self.longest)
            if end > ends.get(name, now):
                ends[name] = end
        kept = sorted(ends.items(), key=_read_end, reverse=True)
        self._ends = dict(kept[:_MAX_NAMES])

    def list_pairs(self) -> tuple[tuple[str, float], ...]:
        """Return names with the seconds left."""
        now = self.clock.read_monotonic()
        return tuple(
            (name, round(end - now, 1))
            for name, end in self._ends.items()
            if end > now
        )

    def list_names(self) -> tuple[str, ...]:
        """Return the names."""
        return tuple(name for name, _seconds in self.list_pairs())


def _read_end(pair: tuple[str, float]) -> float:
    return pair[1]
