"""The borrower's side of slot leases between entry VMs."""

import itertools
from dataclasses import dataclass

from sesameroute.limits import DEMAND_LEASE_SECONDS, STANDBY_LEASE_SECONDS
from sesameroute.ports import Peers
from sesameroute.routing._lenders import list_lenders
from sesameroute.routing._messages import (
    GrantReply,
    GrantRequest,
    HeldSlotsQuery,
    HeldSlotsReply,
    Holding,
)
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology

__all__ = ['Borrower']

_RENEW_AFTER_SECONDS = 0.4  # after the last request to the owner
# Minimum time between two requests to one owner, in addition to the round trip.
_MIN_REQUEST_GAP_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """The last request to an owner; `number` is 0 if no reply is expected."""

    number: int
    sent_at: float
    standing: frozenset[str] = frozenset()

    def get_lease_seconds(self, upstream: str) -> float:
        """Return the length of the requested lease in seconds."""
        if upstream in self.standing:
            return STANDBY_LEASE_SECONDS
        return DEMAND_LEASE_SECONDS


class Borrower:
    """Leases slots from owners, renews leases and returns idle slots.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(
        self,
        table: SlotTable,
        peers: Peers,
    ) -> None:
        """Start without borrowed slots."""
        self.table = table
        self.peers = peers
        self.boot_time_ = table.clock.read_wall()
        self.pending_: dict[tuple[str, str], _PendingRequest] = {}
        self._numbers = itertools.count(1)

    def request_slots(self, service: str, wanted: int, region: str) -> None:
        """Request more slots from owners of slots in a region.

        Parameters
        ----------
        service : str
            Name of the service.
        wanted : int
            Number of slots needed.
        region : str
            Region of the backend servers.

        """
        topology = self.table.read_topology()
        if topology is None:
            return
        now = self.table.clock.read_monotonic()
        for owner, free in list_lenders(self.table, service, region):
            share = min(wanted, free)
            last_sent_at = self._find_pending(owner, service).sent_at
            round_trip = 2 * topology.measure_vm_delay(owner)
            if (
                share > 0
                and now - last_sent_at >= round_trip + _MIN_REQUEST_GAP_SECONDS
            ):
                self._send_request(topology, owner, service, share)
            wanted -= max(0, share)

    def renew(self, service: str, excess: dict[str, int]) -> None:
        """Renew leases before they expire and return idle slots.

        Parameters
        ----------
        service : str
            Name of the service.
        excess : dict of str to int
            Number of free slots in excess of the need, by region.

        """
        topology = self.table.read_topology()
        if topology is None:
            return
        now = self.table.clock.read_monotonic()
        for owner in reversed(self._list_current_lenders(topology, service)):
            returned = self._return_idle(topology, owner, service, excess)
            last_sent_at = self._find_pending(owner, service).sent_at
            if returned or now - last_sent_at >= _RENEW_AFTER_SECONDS:
                self._send_request(topology, owner, service, 0)

    def accept(self, owner: str, reply: GrantReply) -> None:
        """Store the slots granted in reply to the last request."""
        request = self._find_pending(owner, reply.service)
        if request.number != reply.number:
            return
        self.pending_[owner, reply.service] = _PendingRequest(
            0, request.sent_at
        )
        for holding in reply.granted:
            ledger = self.table.ledgers_.get(holding.upstream)
            if ledger is not None:
                expires = request.sent_at + request.get_lease_seconds(
                    holding.upstream
                )
                ledger.record_lease(owner, holding.slots, expires)

    def return_idle(self, owner: str, service: str) -> None:
        """Return all idle slots of an owner that recalled them."""
        topology = self.table.read_topology()
        if topology is None:
            return
        slot_total = sum(
            server.slots for server in topology.list_service_upstreams(service)
        )
        regions = topology.statement.places.regions
        all_idle = dict.fromkeys(regions, slot_total)
        if self._return_idle(topology, owner, service, all_idle):
            self._send_request(topology, owner, service, 0)

    def report_held(self, owner: str, query: HeldSlotsQuery) -> None:
        """Tell a restarted owner which of its slots this VM holds.

        Replies to earlier requests are ignored from then on, because the
        slots that they grant are not in this report.
        """
        topology = self.table.read_topology()
        if topology is None:
            return
        held: list[Holding] = []
        for service in topology.statement.services:
            last_sent_at = self._find_pending(owner, service).sent_at
            self.pending_[owner, service] = _PendingRequest(0, last_sent_at)
            held.extend(self._list_held(topology, owner, service))
        self.peers.send_one_way(owner, HeldSlotsReply(query.boot, tuple(held)))

    def _send_request(
        self,
        topology: Topology,
        owner: str,
        service: str,
        extra: int,
    ) -> None:
        now = self.table.clock.read_monotonic()
        request = GrantRequest(
            service,
            self.boot_time_,
            next(self._numbers),
            self._list_held(topology, owner, service),
            topology.list_standing(service).get(owner, ()),
            extra,
        )
        standing = frozenset(
            requested.upstream for requested in request.standing
        )
        self.pending_[owner, service] = _PendingRequest(
            request.number, now, standing
        )
        self.peers.send_one_way(owner, request)

    def _find_pending(self, owner: str, service: str) -> _PendingRequest:
        return self.pending_.get(
            (owner, service), _PendingRequest(0, -DEMAND_LEASE_SECONDS)
        )

    def _list_held(
        self,
        topology: Topology,
        owner: str,
        service: str,
    ) -> tuple[Holding, ...]:
        now = self.table.clock.read_monotonic()
        holdings = (
            Holding(
                server.name,
                self.table.ledgers_[server.name].count_held(owner, now),
            )
            for server in topology.list_service_upstreams(service)
        )
        return tuple(holding for holding in holdings if holding.slots)

    def _return_idle(
        self,
        topology: Topology,
        owner: str,
        service: str,
        excess: dict[str, int],
    ) -> bool:
        now = self.table.clock.read_monotonic()
        standing = topology.list_standing(service).get(owner, ())
        standing_names = {requested.upstream for requested in standing}
        returned = 0
        for upstream in topology.list_service_upstreams(service):
            if upstream.name not in standing_names:
                region = topology.find_region(upstream.domain)
                ledger = self.table.ledgers_[upstream.name]
                units = ledger.return_idle_units(
                    owner, now, excess.get(region, 0)
                )
                excess[region] = excess.get(region, 0) - units
                returned += units
        return returned > 0

    def _list_current_lenders(
        self, topology: Topology, service: str
    ) -> list[str]:
        owners = {
            owner
            for upstream in topology.list_service_upstreams(service)
            for owner in self.table.ledgers_[upstream.name].borrowed
        }
        owners.update(topology.list_standing(service))
        # Owners that are not live are skipped: their leases expire unrenewed.
        # Slots taken over from a stopped owner (OwnerFailover) stay usable.
        owners.intersection_update(self.table.members.list_live())
        return sorted(
            owners,
            key=lambda owner: (topology.measure_vm_delay(owner), owner),
        )
