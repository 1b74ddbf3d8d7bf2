"""The slots of all backend servers as one entry VM counts them."""

from collections.abc import Callable

from sesameroute.limits import Ledger
from sesameroute.ports import Clock
from sesameroute.routing._geography import Geography
from sesameroute.routing._view import Headroom
from sesameroute.statement import Statement

__all__ = ['SlotBook']

_MILLISECONDS = 1000  # in a second


class SlotBook:
    """Ledgers by backend server, kept in step with the statement.

    Parameters
    ----------
    statement : callable
        Returns the statement in force, None before the first one.
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        statement: Callable[[], Statement | None],
        vm: str,
        clock: Clock,
    ) -> None:
        """Store the arguments; no slot is taken."""
        self.statement = statement
        self.vm = vm
        self.clock = clock
        self.ledgers_: dict[str, Ledger] = {}
        self._geography: Geography | None = None

    def read_geography(self) -> Geography | None:
        """Return the statement in force as seen from this VM."""
        statement = self.statement()
        if statement is None or self.vm not in statement.vms:
            return None
        known = self._geography
        if known is None or known.statement is not statement:
            known = Geography(statement, self.vm)
            self._geography = known
            self._update_ledgers(known)
        return known

    def read_queue_seconds(self) -> float:
        """Return the longest wait for a slot in seconds."""
        geography = self.read_geography()
        if geography is None:
            return 0
        return geography.statement.policy.queue_ms / _MILLISECONDS

    def count_free(self, upstream: str) -> int:
        """Return the slots of a backend server that may be taken now."""
        now = self.clock.read_monotonic()
        return self.ledgers_[upstream].count_free(now)

    def take(self, upstream: str) -> bool:
        """Take a slot; return whether there was one."""
        return self.ledgers_[upstream].take(self.clock.read_monotonic())

    def give_back(self, upstream: str) -> None:
        """End the use of a slot."""
        self.ledgers_[upstream].give_back()

    def report_headroom(self) -> Headroom:
        """Return free and total own slots by service."""
        geography = self.read_geography()
        totals: dict[str, tuple[int, int]] = {}
        if geography is None:
            return totals
        for upstream in geography.statement.upstreams.values():
            free, total = totals.get(upstream.service, (0, 0))
            totals[upstream.service] = (
                free + max(0, self.count_free(upstream.name)),
                total + self.ledgers_[upstream.name].own,
            )
        return totals

    def _update_ledgers(self, geography: Geography) -> None:
        for name in geography.statement.upstreams:
            ledger = self.ledgers_.setdefault(name, Ledger(0))
            ledger.own = geography.split(name).get(self.vm, 0)
