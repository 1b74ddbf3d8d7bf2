"""State of one backend server, as a pool observes it."""

import math
from dataclasses import dataclass, field

from sesameroute.placement._demand import Demand
from sesameroute.placement._messages import Outcome
from sesameroute.placement._object_cache import RecentKeys
from sesameroute.placement._pause import Pause
from sesameroute.placement._server_pace import ServerPace
from sesameroute.placement._start_budget import StartBudget, StartLimit
from sesameroute.registry import RegistryEntry

__all__ = ['UpstreamState']

# Older reports of other nodes are ignored.
_MAX_REPORT_AGE_SECONDS = 1.5
# Suspension of an unreachable server, doubled for each failure in a row up to
# a maximum.
_INITIAL_SUSPENSION_SECONDS = 0.4
# Longer failure streaks are counted as this length.
_MAX_FAILURE_STREAK = 8
_MAX_SUSPENSION_SECONDS = 4.0
# Suspension after a misdirected request, until the registry is up to date.
_MISDIRECTED_SUSPENSION_SECONDS = 3.0
# A server that is reachable again counts as cold until the registry can tell.
_WARMING_SECONDS = 4.0
# Weight of the newest try in the failure rate.
_FAILURE_SMOOTHING = 0.15
_FAILURE_HALF_LIFE_SECONDS = 2.0
# Weight of the newest run in the slowdown.
_SLOWDOWN_SMOOTHING = 0.2
# A slowdown up to this ratio has no penalty.
_MAX_NORMAL_SLOWDOWN = 1.5
# A larger slowdown is counted as this ratio.
_MAX_SLOWDOWN = 20.0
# Time constant of the average of the work that a server has done.
_SHARE_WINDOW_SECONDS = 8.0
_CONNECTION_FAILURES = frozenset((Outcome.UNREACHED, Outcome.LOST))
_FAILURES = (
    frozenset((Outcome.SHED, Outcome.FAILED, Outcome.TIMED_OUT))
    | _CONNECTION_FAILURES
)


def _build_empty_budget() -> StartBudget:
    """Return an empty budget, since many pools may begin at the same time."""
    return StartBudget(initial_tokens=0)


def _build_work_average() -> Demand:
    """Return the average of the work of one server, in slots."""
    return Demand(_SHARE_WINDOW_SECONDS)


@dataclass(slots=True)
class UpstreamState:
    """Load, cached objects and health of one backend server.

    Attributes
    ----------
    entry : RegistryEntry
        The registry's entry.
    region : str
        Region of the backend server.
    recent : RecentKeys
        Objects that are probably in its cache.
    cold_start_budget : StartBudget
        Limits the rate of requests while it is cold.
    start_limit : StartLimit
        Limits the requests that this pool starts on it, if it has named a
        limit.
    granted_slots : int
        Slots in use by this pool's grants.
    total_grants : int
        Grants of this pool so far.
    cold_grants : int
        Those of them for objects that it did not have cached.
    reports : dict of str to tuple of int and float
        By reporting node, the slots in use by its grants and the monotonic
        time of the report in seconds.
    slowdown : float
        Average ratio of its run times to the estimates; 1 is normal.
    failure_rate : float
        Smoothed fraction of failed tries at `last_outcome_at`.
    last_outcome_at : float
        Monotonic time in seconds at which the last try ended, or at which the
        pool first saw the backend server.
    suspended_until : float
        Monotonic time in seconds until which it gets no requests.
    failure_streak : int
        Failed connections in a row, at most one for each suspension.
    warming_until : float
        Monotonic time in seconds until which it counts as cold after it was
        unreachable.
    work : Demand
        Run time of this pool's requests over the last seconds.
    pace : ServerPace
        How fast it says that it works.
    pause : Pause
        The pause that it has asked for.
    joined_at : float
        Monotonic time in seconds at which it was added to the others.

    """

    entry: RegistryEntry
    region: str
    recent: RecentKeys = field(default_factory=RecentKeys)
    cold_start_budget: StartBudget = field(default_factory=_build_empty_budget)
    start_limit: StartLimit = field(default_factory=StartLimit)
    granted_slots: int = 0
    total_grants: int = 0
    cold_grants: int = 0
    reports: dict[str, tuple[int, float]] = field(default_factory=dict)
    slowdown: float = 1.0
    failure_rate: float = 0
    last_outcome_at: float = 0
    suspended_until: float = -math.inf
    failure_streak: int = 0
    warming_until: float = -math.inf
    work: Demand = field(default_factory=_build_work_average)
    pace: ServerPace = field(default_factory=ServerPace)
    pause: Pause = field(default_factory=Pause)
    joined_at: float = -math.inf

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.entry.backend.name

    @property
    def slots(self) -> int:
        """Maximum number of requests that it runs at once."""
        return self.entry.backend.slots

    def count_busy(self, now: float) -> int:
        """Return the number of slots in use by the grants of all pools."""
        busy = self.granted_slots
        for count, reported in self.reports.values():
            if now - reported <= _MAX_REPORT_AGE_SECONDS:
                busy += count
        return busy

    def count_free(self, now: float) -> int:
        """Return the number of free slots; at most one after a failure."""
        if self.is_suspended(now) or self.start_limit.is_reached(now):
            return 0
        if self.failure_streak:
            return 1 - self.granted_slots
        return self.pause.limit_free(
            self.slots - self.count_busy(now), self.total_grants, now
        )

    def is_cold(self, now: float) -> bool:
        """Whether it has just started or was unreachable recently."""
        cold_until = max(self.entry.cold_until, self.warming_until)
        return now < cold_until or self.failure_streak > 0

    def permits_start(self, rate: float, now: float) -> bool:
        """Whether another request may start; `rate` applies while cold."""
        return not self.is_cold(now) or self.cold_start_budget.has_token(
            rate, now
        )

    def compute_penalty(self, now: float) -> float:
        """Return the penalty for failures and slow runs; 0 is none."""
        age = max(now - self.last_outcome_at, 0)
        failure_rate = self.failure_rate * 0.5 ** (
            age / _FAILURE_HALF_LIFE_SECONDS
        )
        return (
            2 * failure_rate + max(self.slowdown - _MAX_NORMAL_SLOWDOWN, 0) / 2
        )

    def update_entry(self, entry: RegistryEntry) -> None:
        """Update the entry; a new incarnation starts with an empty cache."""
        if entry.backend.incarnation != self.entry.backend.incarnation:
            self.recent.clear()
            self.suspended_until = -math.inf
            self.failure_streak = 0
            self.failure_rate = 0
            self.slowdown = 1.0
            self.pace.clear()
            self.pause.clear()
        self.entry = entry

    def record_outcome(self, outcome: Outcome, now: float) -> bool:
        """Update the health after a try has ended.

        Returns
        -------
        bool
            Whether the backend server has been suspended.

        """
        self.pause.observe_end(
            self.total_grants, now, is_answer=outcome is Outcome.ANSWERED
        )
        if outcome is Outcome.CANCELLED:
            return False
        age = max(now - self.last_outcome_at, 0)
        decayed = self.failure_rate * 0.5 ** (age / _FAILURE_HALF_LIFE_SECONDS)
        is_failure = outcome in _FAILURES
        self.failure_rate = decayed + _FAILURE_SMOOTHING * (
            is_failure - decayed
        )
        self.last_outcome_at = now
        suspended_until = self.suspended_until
        if outcome is Outcome.MISDIRECTED:
            self.suspended_until = now + _MISDIRECTED_SUSPENSION_SECONDS
        elif outcome is Outcome.UNREACHED:
            self._suspend(now)
        elif outcome is Outcome.ANSWERED and self.failure_streak:
            self.failure_streak = 0
            self.warming_until = now + _WARMING_SECONDS
        return self.suspended_until > suspended_until

    def is_suspended(self, now: float) -> bool:
        """Whether it gets no requests after a failure, or as it asked."""
        return now < self.suspended_until or self.pause.is_on(now)

    def observe_slowdown(self, ratio: float) -> None:
        """Update the slowdown after a run of `ratio` times the estimate."""
        bounded = min(ratio, _MAX_SLOWDOWN)
        self.slowdown += _SLOWDOWN_SMOOTHING * (bounded - self.slowdown)

    def _suspend(self, now: float) -> None:
        pause = min(
            _INITIAL_SUSPENSION_SECONDS * 2**self.failure_streak,
            _MAX_SUSPENSION_SECONDS,
        )
        if now >= self.suspended_until:
            self.failure_streak = min(
                self.failure_streak + 1, _MAX_FAILURE_STREAK
            )
            self.suspended_until = now + pause
