"""Asks the pool that leads a service in this region, or stands in for it."""

import logging
import threading
from collections import Counter
from collections.abc import Mapping
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.node._fleet import Fleet
from sesameroute.placement import (
    Ask,
    Grant,
    Outcome,
    Pool,
    PoolTerms,
    Reason,
    Refusal,
    Release,
    Report,
)
from sesameroute.ports import Clock, DeferredReply, Peers
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper

__all__ = ['FleetPlacing']

_CALL_MARGIN = 0.1  # seconds beyond a pool's longest wait for its reply
_LONGEST_WAIT = 0.4  # seconds for a leader's reply before standing in
_LEAD_SHARE = 0.8  # of a cold backend server's rate, for the leader
_STAND_IN_SHARE = 0.05  # of that rate, for a node that can't reach it
_USUAL_COLD_RATE = 5.0  # requests per second, without a configuration

_logger = logging.getLogger(__name__)


class FleetPlacing:
    """Places requests; implements `forward.Placing`.

    Parameters
    ----------
    fleet : Fleet
        Says who leads.
    peers : Peers
        Streams to the other nodes.
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
        peers: Peers,
        registry: Registry,
        keeper: ConfigurationKeeper,
        regions: Mapping[str, str],
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.peers = peers
        self.registry = registry
        self.keeper = keeper
        self.regions = dict(regions)
        self.clock = clock
        self._lock = threading.Lock()
        self._pools: dict[str, Pool] = {}
        self._synced: dict[str, int] = {}
        self._running: Counter[tuple[str, str, str]] = Counter()

    def place(self, ask: Ask) -> Grant | Refusal:
        """Return a grant or why there is none; waits if need be."""
        own = self.fleet.own
        leader = self.fleet.find_leader(ask.service, own.region)
        placed = None
        if leader != own.address:
            placed = self._ask_leader(leader, ask)
        if placed is None:
            is_lead = leader == own.address
            placed = self._place_here(ask, is_lead=is_lead)
        if isinstance(placed, Grant):
            self._running[ask.service, placed.backend, placed.holder] += 1
        return placed

    def release(
        self,
        ask: Ask,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Take a slot back."""
        running = ask.service, grant.backend, grant.holder
        self._running[running] -= 1
        if self._running[running] <= 0:
            self._running.pop(running, None)
        release = Release(ask.service, grant.number, outcome, seconds)
        if grant.holder == self.fleet.own.address:
            now = self.clock.read_monotonic()
            self._find_pool(ask.service).release(release, now)
        else:
            self.peers.cast(grant.holder, release)

    def handle(self, sender: str, message: Any) -> Any:
        """Answer a message of a peer."""
        now = self.clock.read_monotonic()
        pool = self._find_pool(message.service)
        if isinstance(message, Release):
            pool.release(message, now)
        elif isinstance(message, Report):
            pool.take_report(sender, message, now)
        else:
            return self._grant_peer(sender, message, pool, now)
        return None

    def forget_node(self, node: str) -> None:
        """Take back what a lost node held."""
        now = self.clock.read_monotonic()
        for pool in tuple(self._pools.values()):
            pool.forget_node(node, now)

    def tick(self) -> bool:
        """Settle waiting requests; return whether some still wait."""
        now = self.clock.read_monotonic()
        pools = [
            pool for pool in tuple(self._pools.values()) if pool.has_waiting
        ]
        for pool in pools:
            pool.tick(now)
        return any(pool.has_waiting for pool in pools)

    def refresh(self) -> None:
        """Renew the pools' backend servers and tell the other leaders."""
        now = self.clock.read_monotonic()
        for service in tuple(self._pools):
            pool = self._find_pool(service)
            pool.tick(now)
            pool.refresh(now)
            self._report_pool(service, pool.make_report(now))
            self._report_running(service)

    def _ask_leader(self, leader: str, ask: Ask) -> Grant | Refusal | None:
        limit = min(max(ask.on_time, 0) + _CALL_MARGIN, _LONGEST_WAIT)
        if ask.is_returning:
            limit = max(ask.time_left, _CALL_MARGIN)
        try:
            return self.peers.call(leader, ask, limit)
        except PeerError as error:
            _logger.info(
                'pool leader not reached',
                extra={
                    'service': ask.service,
                    'leader': leader,
                    'why': error.code,
                },
            )
        return None

    def _place_here(self, ask: Ask, *, is_lead: bool) -> Grant | Refusal:
        pool = self._find_pool(ask.service)
        pool.cold_share = _LEAD_SHARE if is_lead else _STAND_IN_SHARE
        settled = _Settled()
        now = self.clock.read_monotonic()
        placed = pool.place(ask, self.fleet.own.address, settled.settle, now)
        if placed is not None:
            return placed
        return settled.wait(max(ask.time_left, 0) + _CALL_MARGIN)

    def _grant_peer(
        self,
        sender: str,
        ask: Ask,
        pool: Pool,
        now: float,
    ) -> Grant | Refusal | DeferredReply:
        pool.cold_share = _LEAD_SHARE
        reply = DeferredReply()
        placed = pool.place(ask, sender, reply.settle, now)
        return reply if placed is None else placed

    def _find_pool(self, service: str) -> Pool:
        """Return a service's pool with the registry's newest entries."""
        changes = self.registry.changes_
        with self._lock:
            pool = self._pools.get(service)
            if pool is None:
                pool = Pool(self._build_terms(service))
                self._pools[service] = pool
            is_synced = self._synced.get(service) == changes
            self._synced[service] = changes
        if not is_synced:
            pool.set_cold_rate(self._find_cold_rate(service))
            pool.sync(
                self.registry.list_service(service),
                self.regions,
                self.clock.read_monotonic(),
            )
        return pool

    def _build_terms(self, service: str) -> PoolTerms:
        own = self.fleet.own
        rate = self._find_cold_rate(service)
        return PoolTerms(service, own.region, own.address, rate)

    def _find_cold_rate(self, service: str) -> float:
        found = self.keeper.configuration
        terms = found.services.get(service) if found else None
        return terms.cold_rate if terms else _USUAL_COLD_RATE

    def _report_pool(self, service: str, report: Report) -> None:
        """Tell the leaders of the other regions what this pool holds."""
        own = self.fleet.own
        leads = self.fleet.find_leader(service, own.region) == own.address
        if not leads:
            return
        for region in sorted(set(self.regions.values()) - {own.region}):
            leader = self.fleet.find_leader(service, region)
            if leader != own.address:
                self.peers.cast(leader, report)

    def _report_running(self, service: str) -> None:
        """Tell the leader what runs here by grants of others."""
        leader = self.fleet.find_leader(service, self.fleet.own.region)
        held: Counter[str] = Counter()
        for (name, backend, holder), count in tuple(self._running.items()):
            if name == service and holder != leader:
                held[backend] += count
        if held and leader != self.fleet.own.address:
            self.peers.cast(leader, Report(service, '', dict(held), 0, 0))


class _Settled:
    """A result that another thread gives."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self._result: Grant | Refusal | None = None

    def settle(self, result: Grant | Refusal) -> None:
        """Give the result."""
        self._result = result
        self._event.set()

    def wait(self, seconds: float) -> Grant | Refusal:
        """Return the result; a refusal if there is none in time."""
        self._event.wait(seconds)
        return self._result or Refusal(Reason.TOO_LATE, 0)
