"""What a pool knows of one backend server."""

import math
from dataclasses import dataclass, field

from sesameroute.placement._ask import Outcome
from sesameroute.placement._cold import ColdBudget
from sesameroute.placement._warmth import RecentKeys
from sesameroute.registry import Entry

__all__ = ['UpstreamState']

_REPORT_SECONDS = 1.5  # age at which another pool's report is dropped
_FIRST_SUSPENSION = 0.4  # seconds, doubled for each failure in a row
_MOST_STRIKES = 8
_LONGEST_SUSPENSION = 4.0  # seconds
_MISDIRECTED_SECONDS = 3.0  # until the registry has caught up
_WARMING_SECONDS = 4.0  # until the registry tells whether it is cold
_FAILURE_SMOOTHING = 0.15  # weight of the newest try
_FAILURE_HALF_LIFE = 2.0  # seconds
_SPEED_SMOOTHING = 0.2  # weight of the newest run
_USUAL_PACE = 1.5  # times the usual run time that is no trouble
_SLOWEST = 20.0  # times the usual run time
_DOWN = frozenset((Outcome.UNREACHED, Outcome.LOST))
_BAD = frozenset((Outcome.SHED, Outcome.FAILED, Outcome.TIMED_OUT)) | _DOWN


@dataclass(slots=True)
class UpstreamState:
    """Load, objects, health and pace of one backend server.

    Attributes
    ----------
    held : int
        Slots that this pool's grants use.
    reports : dict
        Slots that other pools' grants use, with the time of the report.
    pace : float
        Run times relative to what is usual; 1 is usual.
    failures : float
        Smoothed share of failed tries at `judged`.
    suspended_until : float
        Monotonic time until which it gets nothing.
    strikes : int
        Tries in a row that found it down.
    warming_until : float
        Monotonic time until which it counts as cold after it was down.

    """

    entry: Entry
    region: str
    recent: RecentKeys = field(default_factory=RecentKeys)
    cold: ColdBudget = field(default_factory=ColdBudget)
    held: int = 0
    reports: dict[str, tuple[int, float]] = field(default_factory=dict)
    pace: float = 1.0
    failures: float = 0
    judged: float = 0
    suspended_until: float = -math.inf
    strikes: int = 0
    warming_until: float = -math.inf

    @property
    def name(self) -> str:
        """Identifier of the backend server."""
        return self.entry.backend.name

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""
        return self.entry.backend.slots

    def count_busy(self, now: float) -> int:
        """Return the slots in use by all pools."""
        busy = self.held
        for count, reported in self.reports.values():
            if now - reported <= _REPORT_SECONDS:
                busy += count
        return busy

    def count_free(self, now: float) -> int:
        """Return the free slots; one at most after a failure."""
        if now < self.suspended_until:
            return 0
        if self.strikes:
            return 1 - self.held
        return self.slots - self.count_busy(now)

    def is_cold(self, now: float) -> bool:
        """Whether it has just started or was not reached lately."""
        cold_until = max(self.entry.cold_until, self.warming_until)
        return now < cold_until or self.strikes > 0

    def permits_start(self, rate: float, now: float) -> bool:
        """Whether one more request may start, at a rate if it is cold."""
        return not self.is_cold(now) or self.cold.has_token(rate, now)

    def rate_trouble(self, now: float) -> float:
        """Return a penalty for failures and slow runs; 0 is none."""
        age = max(now - self.judged, 0)
        failures = self.failures * 0.5 ** (age / _FAILURE_HALF_LIFE)
        return 2 * failures + max(self.pace - _USUAL_PACE, 0) / 2

    def renew(self, entry: Entry) -> None:
        """Take a newer entry; a new incarnation knows nothing."""
        if entry.backend.incarnation != self.entry.backend.incarnation:
            self.recent.clear()
            self.suspended_until = -math.inf
            self.strikes = 0
            self.failures = 0
            self.pace = 1.0
        self.entry = entry

    def judge(self, outcome: Outcome, now: float) -> None:
        """Learn from the end of a try."""
        if outcome is Outcome.CANCELLED:
            return
        age = max(now - self.judged, 0)
        faded = self.failures * 0.5 ** (age / _FAILURE_HALF_LIFE)
        is_bad = outcome in _BAD
        self.failures = faded + _FAILURE_SMOOTHING * (is_bad - faded)
        self.judged = now
        if outcome is Outcome.MISDIRECTED:
            self.suspended_until = now + _MISDIRECTED_SECONDS
        elif outcome is Outcome.UNREACHED:
            self._suspend(now)
        elif outcome is Outcome.ANSWERED and self.strikes:
            self.strikes = 0
            self.warming_until = now + _WARMING_SECONDS

    def observe_pace(self, ratio: float) -> None:
        """Learn from a run that took `ratio` times the usual time."""
        bounded = min(ratio, _SLOWEST)
        self.pace += _SPEED_SMOOTHING * (bounded - self.pace)

    def _suspend(self, now: float) -> None:
        pause = min(
            _FIRST_SUSPENSION * 2**self.strikes,
            _LONGEST_SUSPENSION,
        )
        if now >= self.suspended_until:
            self.strikes = min(self.strikes + 1, _MOST_STRIKES)
            self.suspended_until = now + pause
