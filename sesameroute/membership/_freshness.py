"""Detects that this process was paused, so that its state is stale."""

from sesameroute.ports import Clock

__all__ = ['PauseDetector']

MIN_PAUSE_SECONDS = 2.0


class PauseDetector:
    """Tells whether the process was paused and has not caught up yet.

    One thread calls `tick` at short intervals; a long gap between two calls
    means that the process was paused, for instance with its VM. After a gap
    all state from before may be out of date, and so may messages that were
    waiting in socket buffers: only the answer to a request sent after the
    gap ends the stale state.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Start in the fresh state."""
        self.clock = clock
        self.pauses = 0
        self._last_tick = clock.read_monotonic()
        self._pause_detected_at: float | None = None

    @property
    def is_stale(self) -> bool:
        """Whether no request sent after the last pause was answered yet."""
        # Check the gap first: the pause may fall into the reading of the clock.
        return self._has_gap() or self._pause_detected_at is not None

    @property
    def pause_detected_at(self) -> float | None:
        """Monotonic time in seconds of the detection; None when fresh."""
        return self._pause_detected_at

    def tick(self) -> bool:
        """Record that the process runs; return whether it was paused."""
        now = self.clock.read_monotonic()
        has_gap = now - self._last_tick > MIN_PAUSE_SECONDS
        if has_gap:
            self.pauses += 1
            self._pause_detected_at = now
        # Set last: else another thread could see neither the gap nor the
        # detection time, and take the state for fresh.
        self._last_tick = now
        return has_gap

    def confirm(self, asked_at: float) -> None:
        """Record that a request sent at `asked_at` was answered.

        Parameters
        ----------
        asked_at : float
            Monotonic time in seconds.

        """
        if (
            self._pause_detected_at is not None
            and asked_at >= self._pause_detected_at
        ):
            self._pause_detected_at = None

    def _has_gap(self) -> bool:
        return self.clock.read_monotonic() - self._last_tick > MIN_PAUSE_SECONDS
