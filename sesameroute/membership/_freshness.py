"""Whether this process still knows the present."""

from sesameroute.ports import Clock

__all__ = ['Freshness']

PAUSE_SECONDS = 2.0


class Freshness:
    """Finds that the process was paused, and when it has caught up.

    A thread that calls `tick` often shows that the process runs. After a
    gap everything heard before may be old, and also what waited in buffers:
    only an answer to a question asked after the gap counts.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Store the clock; a process that starts is not stale."""
        self.clock = clock
        self.pauses = 0
        self._ticked = clock.read_monotonic()
        self._lost: float | None = None

    @property
    def is_stale(self) -> bool:
        """Whether nothing was heard since a pause."""
        # The gap first: reading the clock may last through a pause.
        return self._has_gap() or self._lost is not None

    @property
    def lost(self) -> float | None:
        """Monotonic time at which a pause was found; None when fresh."""
        return self._lost

    def tick(self) -> bool:
        """Note that the process runs; return whether it was paused."""
        now = self.clock.read_monotonic()
        has_gap = now - self._ticked > PAUSE_SECONDS
        if has_gap:
            self.pauses += 1
            self._lost = now
        # Last, so that no other thread sees neither the gap nor the loss.
        self._ticked = now
        return has_gap

    def confirm(self, asked: float) -> None:
        """Take an answer to a question asked at a monotonic time."""
        if self._lost is not None and asked >= self._lost:
            self._lost = None

    def _has_gap(self) -> bool:
        return self.clock.read_monotonic() - self._ticked > PAUSE_SECONDS
