"""Tells VMs of losses that they were not connected to hear of."""

from typing import Final

from sesameroute.quarantine._messages import LossReport, PastLosses
from sesameroute.quarantine._quarantine import Quarantine

__all__ = ['LossExchange']

# Losses in one message; those of requests closest to quarantine come first.
_MAX_LOSSES: Final = 32


class LossExchange:
    """Repeats the losses of suspected requests to peers.

    Each loss is reported once to the peers that are connected then. A VM
    that starts later, or was cut off, hears of it here.

    Parameters
    ----------
    quarantine : Quarantine
        Counts the losses.

    """

    def __init__(self, quarantine: Quarantine) -> None:
        """Store the quarantine."""
        self.quarantine = quarantine
        self._turn = 0

    def share_with(self, vm: str) -> None:
        """Send the losses of the suspected requests to a peer."""
        losses = self.quarantine.list_losses(_MAX_LOSSES)
        if losses:
            self.quarantine.peers.send_one_way(vm, PastLosses(losses))

    def share_with_next(self) -> None:
        """Send the losses to one of the peers, a different one each time."""
        quarantine = self.quarantine
        others = [
            vm
            for vm in sorted(quarantine.peers.list_connected())
            if vm != quarantine.vm
        ]
        if others:
            self._turn += 1
            self.share_with(others[self._turn % len(others)])

    def receive(self, message: PastLosses, sender: str) -> None:
        """Count the losses that were unknown here."""
        for past in message.losses:
            self.quarantine.handle_loss_report(
                LossReport(past.fingerprint, past.upstream),
                sender,
                past.reporter,
                past.seconds_ago,
            )
