"""Units of one resource: owned, borrowed, lent and in use.

Every unit has one owner by the statement. Owners lend units for a term and
take them back after a longer one, so that no unit is used twice, whatever
is lost or cut: a borrower counts the term by its own clock from the moment
at which it *asked*; the owner counts from when it granted, adds the longest
time for which started work may linger, and allows for the drift of clocks.
"""

from dataclasses import dataclass, field

__all__ = ['CLOCK_DRIFT', 'Lease', 'Ledger']

# Largest relative difference between the rates of two VMs' clocks.
CLOCK_DRIFT = 0.02


@dataclass(slots=True)
class Lease:
    """Units lent for a time.

    Attributes
    ----------
    partner : str
        The VM on the other side.
    units : int
        Units that are still lent.
    expires : float
        Monotonic time of this VM in seconds. For a borrower, the end of new
        use; for an owner, when it may use the units again.
    incarnation : str
        Incarnation of the partner.

    """

    partner: str
    units: int
    expires: float
    incarnation: str = ''


@dataclass(slots=True)
class Ledger:
    """Counts the units of one resource at one VM.

    Attributes
    ----------
    own : int
        Units that this VM owns by the statement.
    settled : float
        Time before which leases of an earlier incarnation of this VM may be
        in force: until then `kept` of the own units are usable.
    kept : int
        Own units that are never lent.
    used : int
        Units in use here.

    """

    own: int
    settled: float = 0
    kept: int = 0
    used: int = 0
    borrowed: dict[str, Lease] = field(default_factory=dict)
    lent: dict[str, Lease] = field(default_factory=dict)

    def count_usable(self, now: float, until: float = 0) -> int:
        """Return the units that are usable now and up to a later time."""
        end = max(now, until)
        own = self.own if now >= self.settled else self.kept
        borrowed = sum(
            lease.units
            for lease in self.borrowed.values()
            if lease.expires > end
        )
        return own + borrowed - self._count_lent(now)

    def count_free(self, now: float) -> int:
        """Return the units that may be taken now."""
        return self.count_usable(now) - self.used

    def take(self, now: float) -> bool:
        """Take one unit; return whether there was one."""
        if self.count_free(now) <= 0:
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        """End the use of one unit."""
        self.used -= 1

    def count_lendable(self, now: float, until: float) -> int:
        """Return the units that may be lent up to a later time."""
        if now < self.settled:
            return 0
        free = self.count_usable(now, until) - self.used
        return max(0, min(free, self.count_usable(now, until) - self.kept))

    def _count_lent(self, now: float) -> int:
        ended = [key for key, one in self.lent.items() if one.expires <= now]
        for number in ended:
            self.lent.pop(number)
        return sum(lease.units for lease in self.lent.values())
