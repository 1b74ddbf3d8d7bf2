"""Port through which the forwarder gets slots on backend servers."""

from typing import Protocol

from sesameroute.placement import (
    NO_ANSWER,
    Grant,
    ObservedAnswer,
    Outcome,
    Refusal,
    SlotRequest,
)

__all__ = ['SlotAllocator']


class SlotAllocator(Protocol):
    """Grants slots on backend servers to requests."""

    def place(self, slot_request: SlotRequest) -> Grant | Refusal:
        """Return a grant, or a refusal with its reason.

        Blocks while the request waits for a free slot.
        """

    def release(
        self,
        slot_request: SlotRequest,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
        observed: ObservedAnswer = NO_ANSWER,
    ) -> None:
        """Release the slot granted to a request; report how its try ended.

        Parameters
        ----------
        seconds : float
            How long the try took.
        observed : ObservedAnswer
            What the answer showed.

        """
