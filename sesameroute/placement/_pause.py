"""The pause that a backend server has asked for, and the tries after it."""

import math
from dataclasses import dataclass

__all__ = ['Pause']

# After the pause, a server gets one request at a time until one is answered,
# or for so long.
_RESUMING_SECONDS = 5.0


@dataclass(slots=True)
class Pause:
    """When a pool sends nothing to a backend server, and little after it.

    Attributes
    ----------
    until : float
        Monotonic time in seconds until which the server wants no requests.
    resuming_until : float
        Monotonic time in seconds until which it gets one at a time.
    grants_before : int
        The pool's grants before the current try after the pause.

    """

    until: float = -math.inf
    resuming_until: float = -math.inf
    grants_before: int = 0

    def is_on(self, now: float) -> bool:
        """Whether the server wants no requests."""
        return now < self.until

    def extend(self, until: float, grants: int) -> bool:
        """Pause until then; return whether that is longer than before."""
        if until <= self.until:
            return False
        self.until = until
        self.resuming_until = until + _RESUMING_SECONDS
        self.grants_before = grants
        return True

    def limit_free(self, free: int, grants: int, now: float) -> int:
        """Return how many of the free slots to use."""
        if now < self.resuming_until:
            return min(free, 1 + self.grants_before - grants)
        return free

    def observe_end(self, grants: int, now: float, *, is_answer: bool) -> None:
        """Permit another try after one has ended, or all after an answer."""
        if self.is_on(now) or grants == self.grants_before:
            return
        self.grants_before = grants
        if is_answer:
            self.resuming_until = -math.inf

    def clear(self) -> None:
        """End the pause: another incarnation has not asked for it."""
        self.until = -math.inf
        self.resuming_until = -math.inf
