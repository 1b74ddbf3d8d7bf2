"""A set of names with expiry times."""

from collections.abc import Iterable

from sesameroute.ports import Clock

__all__ = ['ExpiringNames']

_MAX_NAMES = 512


class ExpiringNames:
    """A bounded set of names, each with its time of expiry.

    VMs relay names to each other together with the seconds left. These only
    decrease on the way, so that two VMs can't keep a name alive by sending
    it back and forth.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_seconds : float
        Upper bound on the seconds left of a name.

    Examples
    --------
    >>> from sesameroute.ports import SystemClock
    >>> names = ExpiringNames(SystemClock(), max_seconds=10)
    >>> names.merge([('tally-1', 5.0), ('tally-2', -1.0)])
    >>> names.list_names()
    ('tally-1',)

    """

    def __init__(self, clock: Clock, max_seconds: float) -> None:
        """Create an empty set."""
        self.clock = clock
        self.max_seconds = max_seconds
        self._expiries: dict[str, float] = {}

    def merge(self, pairs: Iterable[tuple[str, float]]) -> None:
        """Add names with the seconds left; the later expiry counts.

        Drops expired names, and those that expire first beyond the bound
        on the size.
        """
        now = self.clock.read_monotonic()
        expiries = {
            name: expiry
            for name, expiry in self._expiries.items()
            if expiry > now
        }
        for name, seconds in pairs:
            expiry = now + min(seconds, self.max_seconds)
            if expiry > expiries.get(name, now):
                expiries[name] = expiry
        kept = sorted(expiries.items(), key=_get_expiry, reverse=True)
        self._expiries = dict(kept[:_MAX_NAMES])

    def list_remaining(self) -> tuple[tuple[str, float], ...]:
        """Return the names that have not expired, with the seconds left."""
        now = self.clock.read_monotonic()
        return tuple(
            (name, round(expiry - now, 1))
            for name, expiry in self._expiries.items()
            if expiry > now
        )

    def list_names(self) -> tuple[str, ...]:
        """Return the names that have not expired."""
        return tuple(name for name, _seconds in self.list_remaining())


def _get_expiry(pair: tuple[str, float]) -> float:
    return pair[1]
