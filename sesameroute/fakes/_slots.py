"""Slots of a stand-in backend server, with a short queue before them."""

from threading import Condition

__all__ = ['SlotQueue']


class SlotQueue:
    """Counts work in progress and makes the rest wait or go.

    Parameters
    ----------
    slots : int
        Most requests that run at once.
    longest : int
        Most requests that wait; others are shed.

    Examples
    --------
    >>> queue = SlotQueue(slots=1, longest=0)
    >>> queue.enter(0), queue.enter(0)
    (True, False)
    >>> queue.leave()
    >>> queue.active
    0

    """

    def __init__(self, slots: int, longest: int) -> None:
        """Store the parameters."""
        self.slots = slots
        self.longest = longest
        self.active = 0
        self.waiting = 0
        self._changed = Condition()

    def enter(self, seconds: float) -> bool:
        """Take a slot within some seconds; return whether it was got."""
        with self._changed:
            if self.active >= self.slots and not self._wait(seconds):
                return False
            self.active += 1
            return True

    def leave(self) -> None:
        """Give a slot back."""
        with self._changed:
            self.active -= 1
            self._changed.notify()

    def _wait(self, seconds: float) -> bool:
        if self.waiting >= self.longest:
            return False
        self.waiting += 1
        got = self._changed.wait_for(
            lambda: self.active < self.slots,
            max(seconds, 0),
        )
        self.waiting -= 1
        return got
