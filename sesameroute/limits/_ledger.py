"""Units of one resource: owned, borrowed, lent and in use.

Every unit has one owner by the statement. Owners lend units for a term and
take them back after a longer one, so that no unit is used twice, whatever
is lost or cut: a borrower counts the term by its own clock from the moment
at which it *asked*; the owner counts from when it granted, adds the longest
time for which started work may linger, and allows for the drift of clocks.
"""

from dataclasses import dataclass, field

__all__ = [
    'CLOCK_DRIFT',
    'LEASE_SECONDS',
    'Lease',
    'Ledger',
    'STANDING_SECONDS',
    'Term',
]

# Largest relative difference between the rates of two VMs' clocks.
CLOCK_DRIFT = 0.02

LEASE_SECONDS = 0.8  # time for which units are lent on demand
STANDING_SECONDS = 2.0  # time for which a home gets its standby's units


@dataclass(frozen=True, slots=True)
class Term:
    """How long units are lent.

    Attributes
    ----------
    seconds : float
        Time from the borrower's asking in which it may start work.
    linger : float
        Longest time for which started work goes on, in seconds.

    """

    seconds: float
    linger: float

    @property
    def hold(self) -> float:
        """Seconds for which the owner counts the units as lent."""
        return (self.seconds + self.linger) * (1 + 2 * CLOCK_DRIFT)

    @property
    def cover(self) -> float:
        """Seconds for which lent units must be the lender's to lend."""
        return self.seconds * (1 + 2 * CLOCK_DRIFT)


@dataclass(slots=True)
class Lease:
    """Units lent for a time.

    Attributes
    ----------
    units : int
        Units that are still lent.
    expires : float
        Monotonic time of this VM in seconds. For a borrower, the end of new
        use; for an owner, when it may use the units again.

    """

    units: int
    expires: float


@dataclass(slots=True)
class Ledger:
    """Counts the units of one resource at one VM.

    Attributes
    ----------
    own : int
        Units that this VM owns by the statement.
    settled : float
        Time before which leases given by an earlier incarnation of this VM
        may be in force: until then nothing is usable.
    used : int
        Units in use here.
    borrowed, lent : dict of str to Lease
        Leases by the VM on the other side.

    """

    own: int = 0
    settled: float = 0
    used: int = 0
    borrowed: dict[str, Lease] = field(default_factory=dict)
    lent: dict[str, Lease] = field(default_factory=dict)

    def count_usable(self, now: float, until: float = 0) -> int:
        """Return the units that are usable now and up to a later time."""
        end = max(now, until)
        if now < self.settled:
            return 0
        usable = self.own
        for lease in self.borrowed.values():
            if lease.expires > end:
                usable += lease.units
        return usable - self._count_lent(now)

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

    def grant(self, borrower: str, held: int, now: float, term: Term) -> bool:
        """Renew what a borrower holds; forget what it no longer holds.

        Parameters
        ----------
        borrower : str
            Name of the VM that asks.
        held : int
            Units that it says it holds or still has work on.

        Returns
        -------
        bool
            Whether the units were renewed; False leaves the lease with the
            time that it has.

        """
        known = self.lent.get(borrower)
        if known is None:
            return held == 0
        known.units = min(known.units, held)
        if self.count_usable(now, now + term.cover) < self.used:
            return False
        known.expires = max(known.expires, now + term.hold)
        return True

    def lend(self, borrower: str, units: int, now: float, term: Term) -> int:
        """Lend up to some more units; return all that the borrower has."""
        free = self.count_usable(now, now + term.cover) - self.used
        added = max(0, min(units, free))
        known = self.lent.setdefault(borrower, Lease(0, now))
        if added:
            known.units += added
            known.expires = max(known.expires, now + term.hold)
        return known.units

    def count_lent_to(self, borrower: str) -> int:
        """Return the units that a VM has from here."""
        lease = self.lent.get(borrower)
        return lease.units if lease else 0

    def count_held(self, owner: str, now: float) -> int:
        """Return the units of an owner that are held or have work on them."""
        lease = self.borrowed.get(owner)
        if lease is None:
            return 0
        if lease.expires > now:
            return lease.units
        lingering = max(0, self.used - self.count_usable(now))
        return min(lease.units, lingering)

    def accept(self, owner: str, units: int, expires: float) -> None:
        """Hold units that an owner granted."""
        self.borrowed[owner] = Lease(units, expires)

    def drop_idle(self, owner: str, now: float, most: int) -> int:
        """Let go of unused units of an owner; return how many.

        Parameters
        ----------
        most : int
            Most units to let go while the lease is in force; afterwards all
            that no work lingers on.

        """
        lease = self.borrowed.get(owner)
        if lease is None:
            return 0
        held = self.count_held(owner, now)
        if lease.expires > now:
            held -= max(0, min(held, most, self.count_free(now)))
        dropped = lease.units - held
        lease.units = held
        if not held:
            self.borrowed.pop(owner)
        return dropped

    def _count_lent(self, now: float) -> int:
        ended = [key for key, one in self.lent.items() if one.expires <= now]
        for borrower in ended:
            self.lent.pop(borrower)
        return sum(lease.units for lease in self.lent.values())
