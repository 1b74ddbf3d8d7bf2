"""Decides which requests a stopping process still starts."""

import math

__all__ = ['Shutdown']

# A request may take this multiple of its target latency.
_LATENCY_FACTOR = 3
# Time after the begin of the stop in which requests start that may outlast
# it: their callers wait for the answer as long as the process can.
_MAX_OPEN_SECONDS = 3.0


class Shutdown:
    """A planned stop, which ends all requests by a fixed time.

    Load pattern: callers with an old directory answer or a kept connection go
    on sending to a process that stops. Its last requests can't finish, and
    those that must not be repeated are lost. A request starts if its time
    limit ends before the stop does, or if it comes early and will likely be
    answered in time; others are refused at once, so that they run elsewhere.
    """

    def __init__(self) -> None:
        """Start without a stop in progress."""
        self._began_at = math.inf
        self._ends_at = math.inf

    def has_begun(self) -> bool:
        """Whether the process is stopping."""
        return math.isfinite(self._began_at)

    def begin(self, now: float, ends_at: float) -> None:
        """Begin the stop.

        Parameters
        ----------
        now, ends_at : float
            Monotonic times in seconds of the begin and the end.

        """
        self._ends_at = ends_at
        self._began_at = now

    def limit_deadline(self, deadline: float) -> float:
        """Return the deadline, or the end of the stop if that comes first."""
        return min(deadline, self._ends_at)

    def may_start(
        self, now: float, deadline: float, target_latency: float
    ) -> bool:
        """Whether to start a request.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        deadline : float
            Monotonic time in seconds at which the request times out.
        target_latency : float
            Target latency of its route in seconds.

        """
        if deadline < self._ends_at:
            return True
        is_open = now - self._began_at <= _MAX_OPEN_SECONDS
        return is_open and now + _LATENCY_FACTOR * target_latency < (
            self._ends_at
        )
