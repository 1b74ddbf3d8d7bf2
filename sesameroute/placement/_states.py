"""The backend servers of a pool's service, by region."""

from collections import Counter
from collections.abc import Iterable, Mapping

from sesameroute.placement._ask import Ask, Report
from sesameroute.placement._choice import Field
from sesameroute.placement._upstream import UpstreamState
from sesameroute.placement._warmth import DepthModel
from sesameroute.registry import Entry

__all__ = ['UpstreamStates']

_BETTER_PART = 4  # one in so many tells what trouble is usual
_FOREIGN_COLD_SHARE = 0.05  # of a cold backend server's rate, elsewhere


class UpstreamStates:
    """Backend servers as the registry lists them.

    Parameters
    ----------
    region : str
        The pool's own region.

    Attributes
    ----------
    model : DepthModel
        Up to which depth they know their objects.
    cold_share : float
        Part of a cold backend server's rate that may be used at home.
    cold_rate : float
        Requests per second that a cold backend server bears.

    """

    def __init__(self, region: str) -> None:
        """Start empty."""
        self.region = region
        self.model = DepthModel()
        self.cold_share = 0.8
        self.cold_rate = 1.0
        self._usual_trouble: dict[str, float] = {}
        self._states: dict[str, UpstreamState] = {}

    def sync(
        self,
        entries: Iterable[Entry],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Take the registry's entries; what is not listed is dropped."""
        known = self._states
        self._states = {}
        for entry in entries:
            backend = entry.backend
            state = known.get(backend.name)
            if state is None:
                region = regions.get(backend.zone, '')
                state = UpstreamState(entry, region, judged=now)
            state.renew(entry)
            self._states[backend.name] = state

    def open_field(
        self,
        ask: Ask,
        region: str,
        now: float,
        among: Iterable[UpstreamState] | None = None,
    ) -> Field:
        """Return the backend servers that a request may go to."""
        states = [
            state
            for state in among or self._states.values()
            if state.region == region and state.name not in ask.excluded
        ]
        is_own = region == self.region
        share = self.cold_share if is_own else _FOREIGN_COLD_SHARE
        rate = share * self.cold_rate
        usual = self._usual_trouble.get(region, 0)
        return Field(states, ask, self.model, now, rate, usual)

    def compare_trouble(self, now: float) -> None:
        """Find the trouble that even a region's better servers have.

        When all of them shed or are slow, none of them is worth avoiding.
        """
        found: dict[str, list[float]] = {}
        for state in self._states.values():
            trouble = state.rate_trouble(now)
            found.setdefault(state.region, []).append(trouble)
        self._usual_trouble = {
            region: sorted(troubles)[len(troubles) // _BETTER_PART]
            for region, troubles in found.items()
            if len(troubles) >= _BETTER_PART
        }

    def take_report(self, sender: str, report: Report, now: float) -> None:
        """Note the slots that another pool's grants use."""
        for name, state in self._states.items():
            count = report.held.get(name, 0)
            if count or sender in state.reports:
                state.reports[sender] = (count, now)

    def count_rooms(self) -> dict[str, float]:
        """Return the slots of each region."""
        rooms: Counter[str] = Counter()
        for state in self._states.values():
            rooms[state.region] += state.slots
        return dict(rooms)

    def measure_room(self, now: float) -> float:
        """Return the slots of the own region that are in usual order."""
        return sum(
            state.slots
            for state in self._states.values()
            if state.region == self.region
            and not state.is_cold(now)
            and state.entry.is_listed()
        )

    def __iter__(self) -> Iterable[UpstreamState]:
        """Iterate over a copy."""
        return iter(tuple(self._states.values()))
