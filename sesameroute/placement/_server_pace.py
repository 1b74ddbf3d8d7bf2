"""How fast a server works at this moment, as it says in its answers.

Answers servers that share their machines: one in seven takes 2.5 times as
long, for moments shorter than a second, then another one. What a server said
loses its weight with its age, and what can't be true is left out.
"""

import math
from dataclasses import dataclass

from sesameroute.placement._messages import ServerLoad

__all__ = ['ServerPace', 'read_pace']

# Ratios outside of this range are not believed.
_MIN_PACE = 0.2
_MAX_PACE = 10.0
# A pace holds for about this time.
_VALID_SECONDS = 0.6


@dataclass(slots=True)
class ServerPace:
    """The last pace that one server has reported.

    Examples
    --------
    >>> pace = ServerPace()
    >>> pace.observe(ServerLoad(1, 0, 3, pace=2.5), now=10)
    >>> [round(pace.estimate(now), 2) for now in (10, 10.3, 11)]
    [2.5, 1.75, 1.0]

    """

    _reported: float = 1.0
    _reported_at: float = -math.inf

    def observe(self, load: ServerLoad | None, now: float) -> None:
        """Take the pace of a load report, if there is one."""
        reported = read_pace(load)
        if reported:
            self._reported = reported
            self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the expected ratio of the run time to the usual one."""
        age = max(now - self._reported_at, 0)
        weight = max(1 - age / _VALID_SECONDS, 0)
        return 1 + weight * (self._reported - 1)

    @property
    def is_reported(self) -> bool:
        """Whether the server says how fast it works."""
        return math.isfinite(self._reported_at)

    def clear(self) -> None:
        """Forget what an earlier incarnation has said."""
        self._reported_at = -math.inf


def read_pace(load: ServerLoad | None) -> float:
    """Return the pace of a load report; 0 if it has none to be believed.

    Examples
    --------
    >>> [read_pace(ServerLoad(1, 0, 3, pace)) for pace in (2.5, 0, 1e9)]
    [2.5, 0, 0]
    >>> read_pace(ServerLoad(1, 0, 3, math.nan)), read_pace(None)
    (0, 0)

    """
    if load is None or not _MIN_PACE <= load.pace <= _MAX_PACE:
        return 0
    return load.pace
