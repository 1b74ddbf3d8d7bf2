"""Tells VMs of losses that they were not connected to hear of."""

from itertools import islice
from typing import Final

from sesameroute.gossip import Gossip
from sesameroute.quarantine._messages import PastLosses
from sesameroute.quarantine._quarantine import Quarantine

__all__ = ['LossExchange']

# Losses in one message; those of requests closest to quarantine come first.
_MAX_LOSSES: Final = 32


class LossExchange(Gossip):
    """Repeats the losses of suspected requests to peers.

    Parameters
    ----------
    quarantine : Quarantine
        Counts the losses.

    """

    def __init__(self, quarantine: Quarantine) -> None:
        """Store the quarantine."""
        super().__init__(quarantine.vm, quarantine.peers)
        self.quarantine = quarantine

    def build_message(self) -> PastLosses | None:
        """Return the losses of the suspected requests."""
        evidence = self.quarantine.evidence
        with evidence.lock_:
            losses = tuple(
                islice(evidence.suspects_.iterate_losses(), _MAX_LOSSES)
            )
        return PastLosses(losses) if losses else None

    def receive(self, message: PastLosses) -> None:
        """Count the losses that were unknown here."""
        for past in message.losses:
            self.quarantine.evidence.handle_past_loss(past)
