"""Gets slots from the leader of a service's pool, or from a local pool."""

import logging
import threading
from collections.abc import Callable, Iterator
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.node._fleet import Fleet
from sesameroute.node._pools import PoolTable, RunningGrants
from sesameroute.node._relay_peers import RelayPeers
from sesameroute.node._releases import ReleaseSender
from sesameroute.placement import (
    NO_ANSWER,
    Grant,
    ObservedAnswer,
    Outcome,
    PlacementQuery,
    Pool,
    PoolReport,
    Reason,
    Refusal,
    Release,
    SlotRequest,
)
from sesameroute.ports import Clock, DeferredReply, Peers
from sesameroute.reachability import Reachability

__all__ = ['FleetSlotAllocator']

# Time that a reply may take beyond the longest wait in the leader's pool.
_CALL_MARGIN_SECONDS = 0.1
# Without the leader's reply after this time, the local pool grants the slot.
_MAX_LEADER_WAIT_SECONDS = 0.4

TryObserver = Callable[[str, Outcome], None]

_logger = logging.getLogger(__name__)


class FleetSlotAllocator:
    """Grants slots on the fleet's backend servers.

    Implements `forward.SlotAllocator`. One node per region and service leads
    the pool that grants the slots; other nodes use their own pool only if the
    leader can't be reached.

    Parameters
    ----------
    fleet : Fleet
        Elects the leaders.
    peers : Peers
        Connections to the other nodes.
    pools : PoolTable
        The pools of this node.
    clock : Clock
        Source of time.

    Attributes
    ----------
    observer_ : callable
        Called with the service and the outcome of each try that has ended.
    list_left_ : callable
        Returns the slot requests whose callers have left.
    reachability : Reachability
        Tells whether backend servers are at fault for failed tries.

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
        self.observer_: TryObserver = _discard_outcome
        self.list_left_: Callable[[], list[SlotRequest]] = list
        self.reachability = Reachability(clock, RelayPeers(fleet).has_any)
        self._running = RunningGrants()
        self._releases = ReleaseSender(pools, peers, self.reachability, clock)

    def place(self, slot_request: SlotRequest) -> Grant | Refusal:
        """Return a grant, or a refusal with its reason.

        Blocks while the request waits for a free slot.
        """
        own_state = self.fleet.own_state
        leader = self.fleet.find_leader(slot_request.service, own_state.region)
        decision = None
        if leader != own_state.address:
            decision = self._call_leader(leader, slot_request)
        if decision is None:
            is_leader = leader == own_state.address
            decision = self._place_locally(slot_request, is_leader=is_leader)
        if isinstance(decision, Grant):
            self._running.add(slot_request.service, decision)
        return decision

    def release(
        self,
        slot_request: SlotRequest,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
        observed: ObservedAnswer = NO_ANSWER,
    ) -> None:
        """Release a slot at the pool that granted it.

        After a failure that may be this node's own, the pool learns of it
        only once the backend server is known to be at fault.
        """
        self._running.remove(slot_request.service, grant)
        self.observer_(slot_request.service, outcome)
        self._releases.release(slot_request, grant, outcome, seconds, observed)

    def handle(self, sender: str, message: Any) -> Any:
        """Handle a message from a peer about slots; return the reply if any."""
        now = self.clock.read_monotonic()
        if isinstance(message, PlacementQuery):
            pool = self.pools.find(message.slot_request.service)
            return pool.rehearser.rehearse(message.slot_request, now)
        pool = self.pools.find(message.service)
        if isinstance(message, Release):
            pool.release(message, now)
        elif isinstance(message, PoolReport):
            pool.take_report(sender, message, now)
        else:
            return self._place_for_peer(sender, message, pool, now)
        return None

    def release_node(self, node: str) -> None:
        """Release the slots that a lost node held."""
        now = self.clock.read_monotonic()
        for pool in self.pools:
            pool.release_node(node, now)

    def process_waiting(self) -> bool:
        """Grant or refuse waiting requests; return whether some still wait.

        Those whose callers have left are withdrawn.
        """
        now = self.clock.read_monotonic()
        for left in self.list_left_():
            leader = self.fleet.find_leader(
                left.service, self.fleet.own_state.region
            )
            self._releases.withdraw(left, leader)
        busy_pools = [pool for pool in self.pools if pool.has_waiting]
        for busy_pool in busy_pools:
            busy_pool.tick(now)
        return any(each.has_waiting for each in busy_pools)

    def refresh(self) -> None:
        """Update the pools from the registry and send reports to leaders."""
        now = self.clock.read_monotonic()
        self.reachability.observe_running(self._running.count_all())
        for pool in self.pools:
            service = pool.identity.service
            self.pools.find(service).tick(now)
            self.pools.share_named_limits(pool)
            pool.refresh(now)
            for leader, report in self._list_reports(pool, now):
                self.peers.send_one_way(leader, report)

    def count_slots(self) -> Iterator[tuple[str, int, float]]:
        """Yield each service with its number of granted and of usable slots."""
        now = self.clock.read_monotonic()
        for pool in self.pools:
            report = pool.make_report(now)
            yield report.service, sum(report.held.values()), report.room

    def _list_reports(
        self,
        pool: Pool,
        now: float,
    ) -> Iterator[tuple[str, PoolReport]]:
        """Yield the nodes that lead the service elsewhere, with their reports.

        A node that does not lead reports to its leader the slots that its
        requests hold by other grants.
        """
        service = pool.identity.service
        own_state = self.fleet.own_state
        leader = self.fleet.find_leader(service, own_state.region)
        if leader != own_state.address:
            held = self._running.count(service, excluded_holder=leader)
            if held:
                yield leader, PoolReport(service, '', held, 0, 0)
            return
        report = pool.make_report(now)
        for region in self.pools.list_regions() - {own_state.region}:
            other = self.fleet.find_leader(service, region)
            if other != own_state.address:
                yield other, report

    def _call_leader(
        self, leader: str, slot_request: SlotRequest
    ) -> Grant | Refusal | None:
        limit = min(
            max(slot_request.on_time, 0) + _CALL_MARGIN_SECONDS,
            _MAX_LEADER_WAIT_SECONDS,
        )
        if slot_request.is_returning:
            limit = max(slot_request.time_left, _CALL_MARGIN_SECONDS)
        try:
            return self.peers.call(leader, slot_request, limit)
        except PeerError as error:
            # The leader may have queued it, or granted a slot by now.
            self._releases.withdraw(slot_request, leader)
            _logger.info(
                'pool leader not reached',
                extra={
                    'service': slot_request.service,
                    'leader': leader,
                    'why': error.code,
                },
            )
        return None

    def _place_locally(
        self, slot_request: SlotRequest, *, is_leader: bool
    ) -> Grant | Refusal:
        pool = self.pools.find(slot_request.service)
        self.pools.set_start_rates(pool, is_leader=is_leader)
        pending = _PendingResult()
        now = self.clock.read_monotonic()
        decision = pool.place(
            slot_request, self.fleet.own_state.address, pending.resolve, now
        )
        if decision is not None:
            return decision
        return pending.wait(
            max(slot_request.time_left, 0) + _CALL_MARGIN_SECONDS
        )

    def _place_for_peer(
        self,
        sender: str,
        slot_request: SlotRequest,
        pool: Pool,
        now: float,
    ) -> Grant | Refusal | DeferredReply:
        self.pools.set_start_rates(pool, is_leader=True)
        reply = DeferredReply()
        decision = pool.place(slot_request, sender, reply.set_reply, now)
        return reply if decision is None else decision


class _PendingResult:
    """A placement result that another thread sets."""

    def __init__(self) -> None:
        self._event = threading.Event()
        self._result: Grant | Refusal | None = None

    def resolve(self, result: Grant | Refusal) -> None:
        """Set the result and wake the waiting thread."""
        self._result = result
        self._event.set()

    def wait(self, seconds: float) -> Grant | Refusal:
        """Return the result, or a refusal if there is none in time."""
        self._event.wait(seconds)
        return self._result or Refusal(Reason.TOO_LATE, 0)


def _discard_outcome(_service: str, _outcome: Outcome) -> None:
    """Discard the outcome; the default observer."""
