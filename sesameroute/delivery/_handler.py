"""Handling of the messages that other entry VMs send to delivery."""

from functools import singledispatchmethod
from typing import Any

from sesameroute.delivery._key import RequestKey
from sesameroute.delivery._message import (
    FenceKeyRequest,
    Handover,
    HandoverReply,
    RecordKeyRequest,
    WitnessReply,
)
from sesameroute.delivery._witness import Witness
from sesameroute.quarantine import (
    ClearanceReport,
    EndReport,
    LossExchange,
    LossReport,
    PastLosses,
    Quarantine,
    TrialReply,
    TrialRequest,
)

__all__ = ['PeerHandler']


class PeerHandler:
    """Handles the peer messages of delivery.

    Parameters
    ----------
    witness : Witness
        Records the keys of other homes.
    quarantine : Quarantine
        Receives the connection losses seen by other entry VMs.

    """

    def __init__(self, witness: Witness, quarantine: Quarantine) -> None:
        """Store the parameters."""
        self.witness = witness
        self.quarantine = quarantine
        self.loss_exchange = LossExchange(quarantine)

    def handle(self, sender: str, message: Any) -> Any:
        """Return the reply to a message, None if there is none."""
        return self._handle(message, sender)

    @singledispatchmethod
    def _handle(self, message: Any, sender: str) -> Any:
        """Ignore messages that are meant for other components."""

    @_handle.register
    def _handle_record(
        self, message: RecordKeyRequest, sender: str
    ) -> WitnessReply:
        key = RequestKey.parse(message.key)
        return WitnessReply(self.witness.acknowledge(key))

    @_handle.register
    def _handle_fence(
        self, message: FenceKeyRequest, sender: str
    ) -> WitnessReply:
        return self.witness.fence(RequestKey.parse(message.key))

    @_handle.register
    def _handle_handover(self, message: Handover, sender: str) -> HandoverReply:
        kept = sum(
            self.witness.store_handover_entry(handover_entry)
            for handover_entry in message.words
        )
        return HandoverReply(kept)

    @_handle.register
    def _handle_loss(self, message: LossReport, sender: str) -> None:
        self.quarantine.evidence.handle_loss_report(message, sender)

    @_handle.register
    def _handle_past_losses(self, message: PastLosses, _sender: str) -> None:
        self.loss_exchange.receive(message)

    @_handle.register
    def _handle_end(self, message: EndReport, _sender: str) -> None:
        self.quarantine.evidence.settle_tries(message.server)

    @_handle.register
    def _handle_acquittal(self, message: ClearanceReport, sender: str) -> None:
        self.quarantine.evidence.handle_clearance(message, sender)

    @_handle.register
    def _handle_trial(self, message: TrialRequest, sender: str) -> TrialReply:
        return self.quarantine.grant_trial(message)
