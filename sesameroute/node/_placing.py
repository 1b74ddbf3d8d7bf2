"""Asks the pool that leads a service in this region, or stands in for it."""

import logging
import threading
from collections.abc import Iterator
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.node._fleet import Fleet
from sesameroute.node._pools import PoolTable, RunningGrants
from sesameroute.placement import (
    Ask,
    Grant,
    Outcome,
    Pool,
    Reason,
    Refusal,
    Release,
    Report,
)
from sesameroute.ports import Clock, DeferredReply, Peers

__all__ = ['FleetPlacing']

_CALL_MARGIN = 0.1  # seconds beyond a pool's longest wait for its reply
_LONGEST_WAIT = 0.4  # seconds for a leader's reply before standing in

_logger = logging.getLogger(__name__)


class FleetPlacing:
    """Places requests; implements `forward.SlotAllocator`.

    Parameters
    ----------
    fleet : Fleet
        Says who leads.
    peers : Peers
        Streams to the other nodes.
    pools : PoolTable
        The pools that this node keeps.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        pools: PoolTable,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.fleet = fleet
        self.peers = peers
        self.pools = pools
        self.clock = clock
        self._running = RunningGrants()

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
            self._running.add(ask.service, placed)
        return placed

    def release(
        self,
        ask: Ask,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Take a slot back."""
        self._running.remove(ask.service, grant)
        release = Release(ask.service, grant.number, outcome, seconds)
        if grant.holder == self.fleet.own.address:
            now = self.clock.read_monotonic()
            self.pools.find(ask.service).release(release, now)
        else:
            self.peers.cast(grant.holder, release)

    def handle(self, sender: str, message: Any) -> Any:
        """Answer a message of a peer."""
        now = self.clock.read_monotonic()
        pool = self.pools.find(message.service)
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
        for pool in self.pools:
            pool.forget_node(node, now)

    def tick(self) -> bool:
        """Settle waiting requests; return whether some still wait."""
        now = self.clock.read_monotonic()
        busy = [pool for pool in self.pools if pool.has_waiting]
        for waiting in busy:
            waiting.tick(now)
        return any(each.has_waiting for each in busy)

    def refresh(self) -> None:
        """Renew the pools' backend servers and tell the other leaders."""
        now = self.clock.read_monotonic()
        for pool in self.pools:
            service = pool.terms.service
            self.pools.find(service).tick(now)
            pool.refresh(now)
            for leader, report in self._list_reports(pool, now):
                self.peers.cast(leader, report)

    def count_slots(self) -> Iterator[tuple[str, int, float]]:
        """Yield each service with its granted and its usable slots."""
        now = self.clock.read_monotonic()
        for pool in self.pools:
            report = pool.make_report(now)
            yield report.service, sum(report.held.values()), report.room

    def _list_reports(
        self,
        pool: Pool,
        now: float,
    ) -> Iterator[tuple[str, Report]]:
        """Yield what other nodes that lead the service need to know."""
        service = pool.terms.service
        own = self.fleet.own
        leader = self.fleet.find_leader(service, own.region)
        if leader != own.address:
            held = self._running.count(service, without=leader)
            if held:
                yield leader, Report(service, '', held, 0, 0)
            return
        report = pool.make_report(now)
        for region in self.pools.list_regions() - {own.region}:
            other = self.fleet.find_leader(service, region)
            if other != own.address:
                yield other, report

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
        pool = self.pools.find(ask.service)
        self.pools.set_cold(pool, is_lead=is_lead)
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
        self.pools.set_cold(pool, is_lead=True)
        reply = DeferredReply()
        placed = pool.place(ask, sender, reply.settle, now)
        return reply if placed is None else placed


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
