"""Counts of the owned, borrowed, lent and used units of one resource.

The statement assigns each unit to one owner, which leases units to other
VMs. The owner waits longer than the borrower before it considers a lease
expired, so that no unit is used twice, whatever messages are lost and
during a network partition: the borrower measures the lease by its own clock
from when it *sent its request*. The owner measures from when it granted the
lease, adds the longest time for which work that has started may continue,
and allows for clock drift.
"""

from dataclasses import dataclass, field

__all__ = [
    'CLOCK_DRIFT_RATIO',
    'DEMAND_LEASE_SECONDS',
    'Lease',
    'Ledger',
    'STANDBY_LEASE_SECONDS',
    'LeaseTerm',
]

# Largest relative difference between the clock rates of two VMs.
CLOCK_DRIFT_RATIO = 0.02

# Duration of a lease on demand.
DEMAND_LEASE_SECONDS = 0.8
# Duration of a standby lease, by which the main owner of a backend server's
# units also gets the units that its standby owns.
STANDBY_LEASE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class LeaseTerm:
    """Duration of a lease.

    Attributes
    ----------
    seconds : float
        Time in seconds, from when the borrower sent its request, in which it
        may start work.
    max_work_seconds : float
        Longest time in seconds for which work that has started continues.

    """

    seconds: float
    max_work_seconds: float

    @property
    def owner_seconds(self) -> float:
        """Seconds for which the owner considers the units as lent."""
        return (self.seconds + self.max_work_seconds) * (
            1 + 2 * CLOCK_DRIFT_RATIO
        )

    @property
    def required_seconds(self) -> float:
        """Seconds for which the lender itself must be entitled to the units."""
        return self.seconds * (1 + 2 * CLOCK_DRIFT_RATIO)


@dataclass(slots=True)
class Lease:
    """Units that are lent for a limited time.

    Attributes
    ----------
    units : int
        Units that are still lent.
    expires : float
        Time of this VM's monotonic clock in seconds. A borrower starts no
        new work from then on; an owner may use the units again.

    """

    units: int
    expires: float


@dataclass(slots=True)
class Ledger:
    """Accounts for the units of one resource at one VM.

    Attributes
    ----------
    owned : int
        Units that the statement assigns to this VM.
    usable_from : float
        Monotonic time in seconds until which leases granted before this VM
        was restarted may be in force. No unit is usable before.
    used : int
        Units in use at this VM.
    borrowed, lent : dict of str to Lease
        Leases by name of the lending or borrowing VM.

    """

    owned: int = 0
    usable_from: float = 0
    used: int = 0
    borrowed: dict[str, Lease] = field(default_factory=dict)
    lent: dict[str, Lease] = field(default_factory=dict)

    def count_usable(self, now: float, until: float = 0) -> int:
        """Return the units that are usable from now until a later time."""
        end = max(now, until)
        if now < self.usable_from:
            return 0
        usable = self.owned
        for lease in self.borrowed.values():
            if lease.expires > end:
                usable += lease.units
        return usable - self._count_lent(now)

    def count_free(self, now: float) -> int:
        """Return the units that are usable and not in use now."""
        return self.count_usable(now) - self.used

    def acquire(self, now: float) -> bool:
        """Take a unit into use; return whether one was free."""
        if self.count_free(now) <= 0:
            return False
        self.used += 1
        return True

    def release_unit(self) -> None:
        """Stop using one unit."""
        self.used -= 1

    def renew(
        self, borrower: str, held: int, now: float, term: LeaseTerm
    ) -> bool:
        """Renew a borrower's lease; take back units that it returned.

        Parameters
        ----------
        borrower : str
            Name of the borrowing VM.
        held : int
            Units that it reports as held or still in use.

        Returns
        -------
        bool
            Whether the lease was renewed. If not, its expiry is unchanged.

        """
        existing = self.lent.get(borrower)
        if existing is None:
            return held == 0
        existing.units = min(existing.units, held)
        if self.count_usable(now, now + term.required_seconds) < self.used:
            return False
        existing.expires = max(existing.expires, now + term.owner_seconds)
        return True

    def lend(
        self, borrower: str, units: int, now: float, term: LeaseTerm
    ) -> int:
        """Lend up to `units` more; return the total lent to the borrower."""
        free = self.count_usable(now, now + term.required_seconds) - self.used
        lent_now = max(0, min(units, free))
        existing = self.lent.setdefault(borrower, Lease(0, now))
        if lent_now:
            existing.units += lent_now
            existing.expires = max(existing.expires, now + term.owner_seconds)
        return existing.units

    def count_lent_to(self, borrower: str) -> int:
        """Return the units that this VM lends to a borrower."""
        lease = self.lent.get(borrower)
        return lease.units if lease else 0

    def count_held(self, owner: str, now: float) -> int:
        """Return the units of an owner that are held or still in use."""
        lease = self.borrowed.get(owner)
        if lease is None:
            return 0
        if lease.expires > now:
            return lease.units
        lingering = max(0, self.used - self.count_usable(now))
        return min(lease.units, lingering)

    def record_lease(self, owner: str, units: int, expires: float) -> None:
        """Record a lease that an owner granted."""
        self.borrowed[owner] = Lease(units, expires)

    def return_idle_units(self, owner: str, now: float, max_units: int) -> int:
        """Return unused units to an owner; return how many.

        Parameters
        ----------
        max_units : int
            Maximum number of units to return while the lease is in force.
            After it has expired, all units that are not in use are returned.

        """
        lease = self.borrowed.get(owner)
        if lease is None:
            return 0
        held = self.count_held(owner, now)
        if lease.expires > now:
            held -= max(0, min(held, max_units, self.count_free(now)))
        dropped = lease.units - held
        lease.units = held
        if not held:
            self.borrowed.pop(owner)
        return dropped

    def _count_lent(self, now: float) -> int:
        expired = [key for key, one in self.lent.items() if one.expires <= now]
        for borrower in expired:
            self.lent.pop(borrower)
        return sum(lease.units for lease in self.lent.values())
