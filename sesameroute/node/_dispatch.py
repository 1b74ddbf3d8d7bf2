"""Routes messages from other nodes to their handlers."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from sesameroute.mirror import HeldItems, MirrorCopyRequest, MirrorUpdate
from sesameroute.node._allowances import FleetAllowances
from sesameroute.node._announcement_exchange import (
    AnnouncementExchange,
    AnnouncementReport,
)
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.node._store_connection import StoreConnection
from sesameroute.quarantine import (
    ClearanceReport,
    EndReport,
    LossExchange,
    LossReport,
    PastLosses,
    TrialRequest,
)
from sesameroute.tenants import (
    AllowanceAsk,
    AllowanceNeed,
    AllowanceQuery,
    AllowanceTransfer,
)

__all__ = ['MessageDispatch']


class MessageDispatch:
    """Routes each message from a peer to the handler of its type.

    Parameters
    ----------
    fleet : Fleet
        Handles the state messages of nodes.
    store : StoreConnection
        Handles updates of store items and queries for them.
    allocator : FleetSlotAllocator
        Handles all other messages, which concern slots.
    loss_exchange : LossExchange
        Handles reports about requests that crash backend servers.
    announcement_exchange : AnnouncementExchange
        Handles reports of what backend servers say of themselves.

    Attributes
    ----------
    allowances : FleetAllowances
        Handles the tokens of tenants.

    """

    def __init__(
        self,
        fleet: Fleet,
        store: StoreConnection,
        allocator: FleetSlotAllocator,
        loss_exchange: LossExchange,
        announcement_exchange: AnnouncementExchange,
    ) -> None:
        """Store the handlers by message type."""
        self.allocator = allocator
        self.allowances = FleetAllowances(
            fleet, fleet.peers, allocator.pools, allocator.clock
        )
        self.fleet = fleet
        self.sync = store.sync
        self._catch_up = store.catch_up
        self.gossips = (loss_exchange, announcement_exchange, store.sync)
        quarantine = loss_exchange.quarantine
        self._handlers: dict[type, Callable[[str, Any], Any]] = {
            NodeState: self._handle_state,
            AllowanceAsk: self.allowances.handle,
            AllowanceNeed: self.allowances.handle,
            AllowanceQuery: self.allowances.handle,
            AllowanceTransfer: self.allowances.handle,
            HeldItems: store.sync.receive_held,
            MirrorUpdate: store.sync.receive,
            MirrorCopyRequest: store.sync.answer,
            LossReport: lambda sender, report: (
                quarantine.evidence.handle_loss_report(report, sender)
            ),
            AnnouncementReport: lambda sender, report: (
                announcement_exchange.receive(report, sender)
            ),
            PastLosses: lambda _, message: loss_exchange.receive(message),
            TrialRequest: lambda _, message: quarantine.grant_trial(message),
            EndReport: lambda _, message: quarantine.evidence.settle_tries(
                message.server
            ),
            ClearanceReport: lambda sender, message: (
                quarantine.evidence.handle_clearance(message, sender)
            ),
        }

    def handle(self, sender: str, message: Any) -> Any:
        """Handle a message; return the reply, or None if it has none."""
        handler = self._handlers.get(type(message), self.allocator.handle)
        return handler(sender, message)

    def _handle_state(self, sender: str, state: NodeState) -> None:
        self.fleet.receive_state(state)
        self.sync.compare(sender, state)
        self._catch_up.receive(state)
        if state.wants_answer and self._catch_up.owes_answer(sender):
            for gossip in self.gossips:
                gossip.share_with(sender)
            # Last: it says that the other node has been told all.
            answer = self.fleet.build_state(self.sync.mirror.revision_)
            self.fleet.peers.send_one_way(
                sender, replace(answer, is_answer=True)
            )
