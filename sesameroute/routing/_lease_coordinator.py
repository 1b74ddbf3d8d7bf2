"""Balances slots between entry VMs with leases."""

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from sesameroute.ports import Peers
from sesameroute.routing._borrower import Borrower
from sesameroute.routing._demand import Demand
from sesameroute.routing._headroom import count_region_slots
from sesameroute.routing._lease_recovery import LeaseRecovery
from sesameroute.routing._lender import Lender
from sesameroute.routing._messages import (
    GrantRecall,
    GrantReply,
    GrantRequest,
    HeldSlotsQuery,
    HeldSlotsReply,
)
from sesameroute.routing._owner_failover import OwnerFailover
from sesameroute.routing._slot_table import SlotTable

__all__ = ['LeaseCoordinator']

_INCARNATION_BITS = 64

PopUnmetCount = Callable[[str, str], int]


class LeaseCoordinator:
    """Borrows slots that this VM needs and lends slots that it does not.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    peers : Peers
        Streams to the other entry VMs.
    rng : random.Random
        Generates the random incarnation id of this VM.
    pop_unmet_count : callable
        Takes a service and a region; returns the number of requests that
        found no slot there since the last call.

    """

    def __init__(
        self,
        table: SlotTable,
        peers: Peers,
        rng: random.Random,
        pop_unmet_count: PopUnmetCount,
    ) -> None:
        """Start without leases in either direction."""
        self.table = table
        self.peers = peers
        self.pop_unmet_count = pop_unmet_count
        self.lender_ = Lender(table, f'{rng.getrandbits(_INCARNATION_BITS):x}')
        self.borrower_ = Borrower(table, peers)
        self.lease_recovery_ = LeaseRecovery(table, peers)
        self.owner_failover_ = OwnerFailover(table, peers)
        self.demands_: dict[tuple[str, str], Demand] = {}
        self.waiting_counts_: dict[str, int] = {}

    def balance(self, service: str, waiting: int) -> None:
        """Request missing slots and return those that are not needed.

        Parameters
        ----------
        service : str
            Name of the service.
        waiting : int
            Number of requests that wait for a slot on this VM.

        """
        topology = self.table.read_topology()
        if topology is None:
            return
        self.lease_recovery_.query_missing()
        self.owner_failover_.take_over(service)
        self.waiting_counts_[service] = waiting
        excess = {topology.region: self._balance_local(service, waiting)}
        for region in topology.list_remote_regions(service):
            wanted = waiting + self.pop_unmet_count(service, region)
            excess[region] = self._balance_remote(service, region, wanted)
        self.borrower_.renew(service, excess)
        if waiting:
            self._recall_idle(service)

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> str:
        """Handle a peer's message.

        Returns
        -------
        str
            The service that may have free slots now; empty if none.

        """
        return ''

    @handle.register
    def _handle_request(self, message: GrantRequest, sender: str) -> str:
        busy = self.waiting_counts_.get(message.service, 0) > 0
        reply = self.lender_.grant(sender, message, busy=busy)
        if reply is not None:
            self.peers.send_one_way(sender, reply)
        return message.service

    @handle.register
    def _handle_reply(self, message: GrantReply, sender: str) -> str:
        self.borrower_.accept(sender, message)
        return message.service

    @handle.register
    def _handle_recall(self, message: GrantRecall, sender: str) -> str:
        self.borrower_.return_idle(sender, message.service)
        return ''

    @handle.register
    def _handle_query(self, message: HeldSlotsQuery, sender: str) -> str:
        self.borrower_.report_held(sender, message)
        return ''

    @handle.register
    def _handle_query_reply(self, message: HeldSlotsReply, sender: str) -> str:
        self.lease_recovery_.record_reply(sender, message)
        return ''

    def _balance_local(self, service: str, waiting: int) -> int:
        """Request missing slots in this region; return the excess."""
        topology = self.table.read_topology()
        region = topology.region if topology else ''
        missing = self._count_missing(service, region, waiting)
        if missing > 0:
            self.borrower_.request_slots(service, missing, region)
        return -missing

    def _balance_remote(self, service: str, region: str, wanted: int) -> int:
        """Request missing slots in another region; return the excess."""
        missing = self._count_missing(service, region, wanted)
        if wanted and missing > 0:
            self.borrower_.request_slots(service, missing, region)
        return -missing

    def _count_missing(self, service: str, region: str, wanted: int) -> int:
        topology = self.table.read_topology()
        is_remote = topology is not None and region != topology.region
        free, used = count_region_slots(self.table, service, region)
        demand = self.demands_.setdefault((service, region), Demand(is_remote))
        demand.observe(used + wanted, self.table.clock.read_monotonic())
        return demand.count_free_needed(used) - free

    def _recall_idle(self, service: str) -> None:
        for borrower in sorted(self.lender_.list_borrowers(service)):
            self.peers.send_one_way(borrower, GrantRecall(service))
