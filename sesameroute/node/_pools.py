"""The pools of a node and the running requests by granting node."""

import random
import threading
from collections import Counter
from collections.abc import Iterator, Mapping

from sesameroute.node._fleet import Fleet
from sesameroute.placement import (
    Grant,
    LimitShares,
    PlacementTerms,
    Pool,
    PoolIdentity,
)
from sesameroute.ports import Clock
from sesameroute.registry import Backend, Registry
from sesameroute.routes import ActiveConfiguration

__all__ = ['PoolTable', 'RunningGrants']

# Part of a cold backend server's permitted request rate that the leader uses,
# and the part for each node that can't reach the leader.
_LEADER_COLD_FRACTION = 0.8
_FALLBACK_COLD_FRACTION = 0.05
# Time after its start in which a node learns of the other nodes.
_SETTLE_SECONDS = 2.0
# Rate while no configuration is known, in requests per second.
_DEFAULT_COLD_RATE_PER_SECOND = 5.0
# Parts of the limit that a backend server names which the leader of its own
# region uses, and the leaders of all other regions together. While two nodes
# lead a region, as at a change of leader, the sum may double.
_OWN_LIMIT_FRACTION = 0.55
_REMOTE_LIMIT_FRACTION = 0.15


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

    Attributes
    ----------
    terms_ : PlacementTerms
        What the settings ask of new pools.

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
        self.terms_ = PlacementTerms()
        self._started_at = clock.read_monotonic()
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
                    PoolIdentity(service, own_state.region, own_state.address),
                    self.registry.announcements,
                    self.terms_,
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

    def set_start_rates(self, pool: Pool, *, is_leader: bool) -> None:
        """Set the rates of requests to cold servers and to limited ones.

        The rate of a cold server is shared by the leader and the nodes that
        can't reach it: together they must not exceed it. After a restart of
        many nodes, each may lead by its own view, so none takes the leader's
        part at first.
        """
        if self.registry.announcements.has_any:
            self.share_named_limits(pool)
        current_configuration = self.active_configuration.configuration
        terms = (
            current_configuration.services.get(pool.identity.service)
            if current_configuration
            else None
        )
        rate = terms.cold_rate if terms else _DEFAULT_COLD_RATE_PER_SECOND
        pool.limit_cold_starts(
            rate,
            _LEADER_COLD_FRACTION
            if is_leader and self._is_settled()
            else _FALLBACK_COLD_FRACTION,
        )

    def share_named_limits(self, pool: Pool) -> None:
        """Set the parts that a pool may use of the limits servers name.

        Only a node that leads by its own view uses any: the number of nodes
        that can't reach their leader has no bound.
        """
        own_state = self.fleet.own_state
        leader = self.fleet.find_leader(pool.identity.service, own_state.region)
        if leader != own_state.address:
            pool.states.limit_shares = LimitShares(0, 0)
            return
        others = len(self.list_regions() - {own_state.region})
        pool.states.limit_shares = LimitShares(
            _OWN_LIMIT_FRACTION, _REMOTE_LIMIT_FRACTION / max(others, 1)
        )

    def list_backends(self) -> list[Backend]:
        """Return all ready backend servers, those of its own region first.

        They are in random order otherwise.
        """
        backends = [entry.backend for entry in self.registry.list_ready()]
        random.shuffle(backends)
        own_region = self.fleet.own_state.region
        return sorted(
            backends,
            key=lambda backend: self.regions.get(backend.zone) != own_region,
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

    def _is_settled(self) -> bool:
        age = self.clock.read_monotonic() - self._started_at
        return age >= _SETTLE_SECONDS


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

    def count_all(self) -> int:
        """Return the number of all requests."""
        with self._lock:
            return self._running.total()

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
