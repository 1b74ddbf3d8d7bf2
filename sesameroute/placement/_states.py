"""State of the backend servers of a pool's service in all regions."""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sesameroute.placement._candidates import Candidates
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._messages import PoolReport, SlotRequest
from sesameroute.placement._object_cache import CacheDepthModel
from sesameroute.placement._region_norms import RegionNorms
from sesameroute.placement._upstream import UpstreamState
from sesameroute.registry import Announcements, RegistryEntry

__all__ = ['UpstreamStates']

# Fraction of the rate of a cold backend server in another region that may be
# used.
_REMOTE_COLD_SHARE = 0.05
# Lowest limit that is used, in requests per second. Only an answer can tell
# that a limit has been withdrawn.
_MIN_LIMIT_PER_SECOND = 0.5


# Servers that are first seen later than this after the first one have joined.
_SETTLE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LimitShares:
    """Parts that a pool may use of the limits that servers name.

    Attributes
    ----------
    own, remote : float
        Part for servers in the pool's own region, and in other regions.

    """

    own: float
    remote: float


class UpstreamStates:
    """State of the backend servers that the registry lists.

    Parameters
    ----------
    region : str
        The pool's own region.
    announcements : Announcements
        Limits that the backend servers name.
    estimates : Estimates
        Typical run times.

    Attributes
    ----------
    norms : RegionNorms
        What is normal for the servers of each region.
    limit_shares : LimitShares
        Parts of these limits that this pool may use.
    model : CacheDepthModel
        Cache depths at which objects are probably still cached.
    cold_share : float
        Fraction of `cold_rate` that this pool may use in its own region.
    cold_rate : float
        Requests per second that a cold backend server can start.

    """

    def __init__(
        self,
        region: str,
        announcements: Announcements,
        estimates: Estimates,
    ) -> None:
        """Start without backend servers."""
        self.region = region
        self.estimates = estimates
        self.norms = RegionNorms()
        self.announcements = announcements
        self.limit_shares = LimitShares(1, 1)
        self._applied_limits: tuple[int, LimitShares] | None = None
        self.model = CacheDepthModel()
        self.cold_share = 0.8
        self.cold_rate = 1.0
        self._states: dict[str, UpstreamState] = {}
        self._has_paused = False
        self._settled_at = math.inf

    def update_backends(
        self,
        entries: Iterable[RegistryEntry],
        regions: Mapping[str, str],
        now: float,
    ) -> bool:
        """Update from the registry; drop servers without an entry.

        Returns
        -------
        bool
            Whether a server was dropped.

        """
        previous = self._states
        self._states = {}
        for entry in entries:
            backend = entry.backend
            region = regions.get(backend.zone, '')
            state = previous.get(backend.name)
            if state is None:
                state = UpstreamState(entry, region, last_outcome_at=now)
                if now >= self._settled_at:
                    state.joined_at = now
            state.region = region
            state.update_entry(entry)
            self._states[backend.name] = state
        if self._states:
            self._settled_at = min(self._settled_at, now + _SETTLE_SECONDS)
        self._applied_limits = None
        return bool(previous.keys() - self._states.keys())

    def list_candidates(
        self,
        slot_request: SlotRequest,
        region: str,
        now: float,
        among: Iterable[UpstreamState] | None = None,
    ) -> Candidates:
        """Return the backend servers that may get a request.

        Parameters
        ----------
        slot_request : SlotRequest
            The request.
        region : str
            Region in which it should run.
        now : float
            Monotonic time in seconds.
        among : iterable of UpstreamState, optional
            Consider only these; by default all.

        """
        self._apply_limits()
        states = [
            state
            for state in among or self._states.values()
            if state.region == region
            and state.name not in slot_request.excluded
        ]
        resumes_at = min((each.pause.until for each in states), default=now)
        states = [state for state in states if not state.pause.is_on(now)]
        is_own = region == self.region
        share = self.cold_share if is_own else _REMOTE_COLD_SHARE
        rate = share * self.cold_rate
        return Candidates(
            states,
            slot_request,
            self.model,
            now,
            rate,
            self.norms.find_baseline(region),
            self.norms.find_bounds(region, now),
            self.estimates.find_hit(
                slot_request.flow, slot_request.objective
            ).seconds,
            self.estimates.find_miss(
                slot_request.flow, slot_request.objective
            ).seconds,
            resumes_at,
        )

    def take_pauses(self) -> bool:
        """Return whether a server has paused since the last call."""
        self._apply_limits()
        has_paused = self._has_paused
        self._has_paused = False
        return has_paused

    def take_report(self, sender: str, report: PoolReport, now: float) -> None:
        """Record the slots in use by the grants of another node."""
        for name, state in self._states.items():
            count = report.held.get(name, 0)
            if count or sender in state.reports:
                state.reports[sender] = (count, now)

    def count_slots_by_region(self) -> dict[str, float]:
        """Return the number of slots of each region."""
        slots_by_region: Counter[str] = Counter()
        for state in self._states.values():
            slots_by_region[state.region] += state.slots
        return dict(slots_by_region)

    def count_usable_slots(self, now: float) -> float:
        """Return the available slots on servers without a named limit."""
        self._apply_limits()
        return sum(
            state.slots
            for state in self._list_available(now)
            if not state.start_limit.is_set
        )

    def count_available_slots(self, now: float) -> float:
        """Return the slots on listed servers of its region that aren't cold."""
        return sum(state.slots for state in self._list_available(now))

    def __contains__(self, state: UpstreamState) -> bool:
        """Whether requests may go to this server, not to a successor."""
        return self._states.get(state.name) is state

    def __iter__(self) -> Iterable[UpstreamState]:
        """Iterate over a copy."""
        return iter(tuple(self._states.values()))

    def _list_available(self, now: float) -> list[UpstreamState]:
        return [
            state
            for state in self._states.values()
            if state.region == self.region
            and not (state.is_cold(now) or state.pause.is_on(now))
            and state.entry.is_listed()
        ]

    def _apply_limits(self) -> None:
        """Set rates and pauses of the servers if any or shares have changed."""
        current = self.announcements.change_count_, self.limit_shares
        if current == self._applied_limits:
            return
        self._applied_limits = current
        for state in self._states.values():
            backend = state.entry.backend
            limit = self.announcements.find_limit(
                backend.name, backend.incarnation
            )
            pause_end = self.announcements.find_pause_end(
                backend.name, backend.incarnation
            )
            self._has_paused |= state.pause.extend(
                pause_end, state.total_grants
            )
            share = self.limit_shares.remote
            if state.region == self.region:
                share = self.limit_shares.own
            state.start_limit.apply_rate(
                math.inf
                if limit is None
                else share * max(limit, _MIN_LIMIT_PER_SECOND)
            )
