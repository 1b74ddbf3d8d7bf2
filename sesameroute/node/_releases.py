"""Releases slots, and holds back outcomes that may be this node's fault."""

from sesameroute.node._pools import PoolTable
from sesameroute.placement import (
    NO_ANSWER,
    Grant,
    ObservedAnswer,
    Outcome,
    Release,
    SlotRequest,
)
from sesameroute.ports import Clock, Peers
from sesameroute.reachability import Reachability

__all__ = ['ReleaseSender']

# Failures that a node without links sees at every backend server.
_LINK_FAILURES = frozenset((Outcome.UNREACHED, Outcome.LOST, Outcome.TIMED_OUT))
_ANSWERS = frozenset((Outcome.ANSWERED, Outcome.FAILED, Outcome.SHED))


class ReleaseSender:
    """Releases slots at the pools that granted them.

    Parameters
    ----------
    pools : PoolTable
        The pools of this node.
    peers : Peers
        Connections to the other nodes.
    reachability : Reachability
        Tells whether backend servers are at fault for failed tries.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        pools: PoolTable,
        peers: Peers,
        reachability: Reachability,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.pools = pools
        self.peers = peers
        self.reachability = reachability
        self.clock = clock

    def release(
        self,
        slot_request: SlotRequest,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
        observed: ObservedAnswer = NO_ANSWER,
    ) -> None:
        """Release a slot; a failure counts only if the server is at fault."""
        service = slot_request.service

        def settle(is_server_at_fault: bool) -> None:
            reported = outcome if is_server_at_fault else Outcome.CANCELLED
            release = Release(
                service,
                grant.number,
                reported,
                seconds,
                observed.byte_count,
                observed.load,
            )
            self._send(grant, release)

        if outcome in _LINK_FAILURES:
            self.reachability.hold(settle)
            return
        if outcome in _ANSWERS:
            self.reachability.observe_answer()
        settle(is_server_at_fault=True)

    def withdraw(self, slot_request: SlotRequest, leader: str) -> None:
        """Withdraw a slot request from the leader's pool and this node's.

        A leader of an older build knows no tickets, and keeps it to its end.
        """
        release = Release(
            slot_request.service,
            0,
            Outcome.CANCELLED,
            0,
            ticket=slot_request.ticket,
        )
        now = self.clock.read_monotonic()
        for pool in self.pools:
            if pool.identity.service == release.service:
                pool.release(release, now)
        if leader != self.pools.fleet.own_state.address:
            self.peers.send_one_way(leader, release)

    def _send(self, grant: Grant, release: Release) -> None:
        if grant.holder == self.pools.fleet.own_state.address:
            now = self.clock.read_monotonic()
            self.pools.find(release.service).release(release, now)
        else:
            self.peers.send_one_way(grant.holder, release)
