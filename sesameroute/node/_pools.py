"""The pools of a node and the running requests by granting node."""

import threading
from collections import Counter
from collections.abc import Iterator, Mapping

from sesameroute.node._fleet import Fleet
from sesameroute.placement import Grant, Pool, PoolIdentity
from sesameroute.ports import Clock
from sesameroute.registry import Registry
from sesameroute.routes import ActiveConfiguration

__all__ = ['PoolTable', 'RunningGrants']

# Part of a cold backend server's permitted request rate that the leader uses,
# and the part for each node that can't reach the leader.
_LEADER_COLD_FRACTION = 0.8
_FALLBACK_COLD_FRACTION = 0.05
# Rate while no configuration is known, in requests per second.
_DEFAULT_COLD_RATE_PER_SECOND = 5.0


class PoolTable:
    """One pool of slots per service, created when first used.

    Parameters
    ----------
    fleet : Fleet
        Knows this node's address and region.
    registry : Registry
        Known backend servers.
    active_configuration : ActiveConfiguration
        Holds the cold-start rates of the services.
    regions : mapping of str to str
        Region of each zone.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        fleet: Fleet,
        registry: Registry,
        active_configuration: ActiveConfiguration,
        regions: Mapping[str, str],
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.registry = registry
        self.active_configuration = active_configuration
        self.regions = dict(regions)
        self.clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}
        self._synced_changes: dict[str, int] = {}

    def find(self, service: str) -> Pool:
        """Return a service's pool, updated if the registry has changed."""
        changes = self.registry.change_count_
        with self._lock:
            pool = self._pools.get(service)
            if pool is None:
                own_state = self.fleet.own_state
                pool = Pool(
                    PoolIdentity(service, own_state.region, own_state.address)
                )
                self._pools[service] = pool
            is_synced = self._synced_changes.get(service) == changes
            self._synced_changes[service] = changes
        if not is_synced:
            pool.update_backends(
                self.registry.list_service(service),
                self.regions,
                self.clock.read_monotonic(),
            )
        return pool

    def set_cold_rate(self, pool: Pool, *, is_leader: bool) -> None:
        """Set the rate of requests that a pool may send to cold servers.

        The rate is shared by the leader and the nodes that can't reach it:
        together they must not exceed it.
        """
        current_configuration = self.active_configuration.configuration
        terms = (
            current_configuration.services.get(pool.identity.service)
            if current_configuration
            else None
        )
        rate = terms.cold_rate if terms else _DEFAULT_COLD_RATE_PER_SECOND
        pool.limit_cold_starts(
            rate,
            _LEADER_COLD_FRACTION if is_leader else _FALLBACK_COLD_FRACTION,
        )

    def replace_regions(self, regions: Mapping[str, str]) -> None:
        """Replace the map from zones to regions and update all pools."""
        with self._lock:
            self.regions = dict(regions)
            self._synced_changes.clear()

    def list_regions(self) -> set[str]:
        """Return the names of all regions."""
        return set(self.regions.values())

    def __iter__(self) -> Iterator[Pool]:
        """Iterate over a copy of the pools."""
        return iter(tuple(self._pools.values()))


class RunningGrants:
    """Counts this node's running requests by backend server and holder.

    The holder is the node whose pool granted the slot.
    """

    def __init__(self) -> None:
        """Start without any request."""
        self._lock = threading.Lock()
        self._running: Counter[tuple[str, str, str]] = Counter()

    def add(self, service: str, grant: Grant) -> None:
        """Count a request that starts."""
        with self._lock:
            self._running[service, grant.backend, grant.holder] += 1

    def remove(self, service: str, grant: Grant) -> None:
        """Remove a request that has ended."""
        grant_key = service, grant.backend, grant.holder
        with self._lock:
            self._running[grant_key] -= 1
            if self._running[grant_key] <= 0:
                self._running.pop(grant_key)

    def count(self, service: str, excluded_holder: str) -> dict[str, int]:
        """Return the number of a service's requests by backend server.

        Requests with a grant from the excluded holder do not count.
        """
        held: Counter[str] = Counter()
        with self._lock:
            for (name, backend, holder), number in self._running.items():
                if name == service and holder != excluded_holder:
                    held[backend] += number
        return dict(held)
