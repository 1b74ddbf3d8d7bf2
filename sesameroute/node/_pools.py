"""The pools that a node keeps, and what runs by others' grants."""

import threading
from collections import Counter
from collections.abc import Iterator, Mapping

from sesameroute.node._fleet import Fleet
from sesameroute.placement import Grant, Pool, PoolTerms
from sesameroute.ports import Clock
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper

__all__ = ['PoolTable', 'RunningGrants']

_LEAD_SHARE = 0.8  # of a cold backend server's rate, for the leader
_STAND_IN_SHARE = 0.05  # of that rate, for a node that can't reach it
_USUAL_COLD_RATE = 5.0  # requests per second, without a configuration


class PoolTable:
    """One pool for each service that is asked for.

    Parameters
    ----------
    fleet : Fleet
        Knows this node.
    registry : Registry
        Backend servers.
    keeper : ConfigurationKeeper
        Terms of the services.
    regions : mapping of str to str
        Region of each zone.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        keeper: ConfigurationKeeper,
        regions: Mapping[str, str],
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.registry = registry
        self.keeper = keeper
        self.regions = dict(regions)
        self.clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}
        self._synced: dict[str, int] = {}

    def find(self, service: str) -> Pool:
        """Return a service's pool with the registry's newest entries."""
        changes = self.registry.changes_
        with self._lock:
            pool = self._pools.get(service)
            if pool is None:
                own = self.fleet.own
                pool = Pool(PoolTerms(service, own.region, own.address))
                self._pools[service] = pool
            is_synced = self._synced.get(service) == changes
            self._synced[service] = changes
        if not is_synced:
            pool.sync(
                self.registry.list_service(service),
                self.regions,
                self.clock.read_monotonic(),
            )
        return pool

    def set_cold(self, pool: Pool, *, is_lead: bool) -> None:
        """Set what a pool may start on cold backend servers.

        Those that can't reach the leader must stay within the bound
        together with it.
        """
        found = self.keeper.configuration
        terms = found.services.get(pool.terms.service) if found else None
        rate = terms.cold_rate if terms else _USUAL_COLD_RATE
        pool.set_cold(rate, _LEAD_SHARE if is_lead else _STAND_IN_SHARE)

    def replace_regions(self, regions: Mapping[str, str]) -> None:
        """Replace the region of each zone."""
        with self._lock:
            self.regions = dict(regions)
            self._synced.clear()

    def list_regions(self) -> set[str]:
        """Return all regions."""
        return set(self.regions.values())

    def __iter__(self) -> Iterator[Pool]:
        """Iterate over a copy."""
        return iter(tuple(self._pools.values()))


class RunningGrants:
    """Requests that run on this node, by backend server and holder."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._running: Counter[tuple[str, str, str]] = Counter()

    def add(self, service: str, grant: Grant) -> None:
        """Note that a request begins."""
        with self._lock:
            self._running[service, grant.backend, grant.holder] += 1

    def remove(self, service: str, grant: Grant) -> None:
        """Note that it has ended."""
        running = service, grant.backend, grant.holder
        with self._lock:
            self._running[running] -= 1
            if self._running[running] <= 0:
                self._running.pop(running)

    def count(self, service: str, without: str) -> dict[str, int]:
        """Return what runs by backend server, but by one holder's grants."""
        held: Counter[str] = Counter()
        with self._lock:
            for (name, backend, holder), number in self._running.items():
                if name == service and holder != without:
                    held[backend] += number
        return dict(held)
