"""Concurrency limit of a fake backend server, with a bounded queue."""

from threading import Condition

__all__ = ['SlotQueue']


class SlotQueue:
    """Limits the requests that run at once; others wait or are rejected.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at once.
    max_waiting : int
        Maximum number of requests that wait; others are rejected.

    Attributes
    ----------
    active, waiting : int
        Number of requests that run and that wait.

    Examples
    --------
    >>> queue = SlotQueue(slots=1, max_waiting=0)
    >>> queue.acquire(0), queue.acquire(0)
    (True, False)
    >>> queue.release()
    >>> queue.active
    0

    """

    def __init__(self, slots: int, max_waiting: int) -> None:
        """Store the parameters."""
        self.slots = slots
        self.max_waiting = max_waiting
        self.active = 0
        self.waiting = 0
        self._changed = Condition()

    def acquire(self, seconds: float) -> bool:
        """Wait for a slot for some seconds; return whether it was acquired."""
        with self._changed:
            if self.active >= self.slots and not self._wait(seconds):
                return False
            self.active += 1
            return True

    def release(self) -> None:
        """Release a slot."""
        with self._changed:
            self.active -= 1
            self._changed.notify()

    def _wait(self, seconds: float) -> bool:
        if self.waiting >= self.max_waiting:
            return False
        self.waiting += 1
        acquired = self._changed.wait_for(
            lambda: self.active < self.slots,
            max(seconds, 0),
        )
        self.waiting -= 1
        return acquired
