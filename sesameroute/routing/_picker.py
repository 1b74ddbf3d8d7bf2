"""Choice among the backend servers that have a free slot for this VM."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.limits import LinkBudgets
from sesameroute.ports import Request
from sesameroute.routing._shifts import Shifts
from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology
from sesameroute.statement import Upstream

__all__ = ['Pick', 'Picker']

# Largest random addition to the free fraction of slots; spreads requests over
# equally free backend servers.
_JITTER_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class Pick:
    """A backend server and the reason for the choice."""

    upstream: Upstream
    reason: str


class Picker:
    """Picks the nearest backend server with a free slot for a request.

    Parameters
    ----------
    table : SlotTable
        Slot counts of this VM.
    rng : random.Random
        Breaks ties and samples the requests that a shift moves.

    """

    def __init__(self, table: SlotTable, rng: random.Random) -> None:
        """Start without shifts or link budgets."""
        self.table = table
        self.rng = rng
        self.unmet_counts_: dict[tuple[str, str], int] = {}
        self._topology: Topology | None = None
        self._shifts: Shifts | None = None
        self._links: LinkBudgets | None = None

    def pick(
        self,
        request: Request,
        exclude: tuple[str, ...],
    ) -> Pick | None:
        """Return a backend server with a free slot, None if there is none."""
        topology = self.table.read_topology()
        if topology is None:
            return None
        shifts = self._read_shifts(topology)
        service = request.kind.service
        ineligible = self.table.list_ineligible(service).union(exclude)
        shifted = self._pick_shifted(topology, shifts, service, ineligible)
        if shifted:
            return Pick(shifted, 'shift')
        for tier in topology.list_local_tiers(service):
            best = self._pick_best(_filter_eligible(tier, ineligible))
            if best:
                return Pick(best, 'nearest free slot')
        remote = self._pick_remote(topology, service, ineligible)
        return Pick(remote, 'spill') if remote else None

    def record_move(self, upstream: Upstream) -> None:
        """Count a request sent to another region against the shift caps."""
        topology = self.table.read_topology()
        if topology and not topology.is_local(upstream.domain):
            self._read_shifts(topology).record_move(
                upstream.service,
                topology.find_region(upstream.domain),
                self.table.clock.read_monotonic(),
            )

    def charge_bytes(self, upstream: Upstream, size: int) -> float:
        """Charge bytes to the link budget; return the seconds to wait."""
        topology = self.table.read_topology()
        if topology is None or topology.is_local(upstream.domain):
            return 0
        self._read_shifts(topology)
        return self._links.charge_bytes(
            topology.find_region(upstream.domain),
            size,
            self.table.clock.read_monotonic(),
        )

    def pop_unmet_count(self, service: str, region: str) -> int:
        """Return and reset the count of shifted requests without a slot."""
        return self.unmet_counts_.pop((service, region), 0)

    def _read_shifts(self, topology: Topology) -> Shifts:
        if self._topology is not topology or self._shifts is None:
            shifts = Shifts(topology, self.table.members, self.rng)
            if self._shifts is not None:
                shifts.copy_progress(self._shifts)
            self._topology = topology
            self._shifts = shifts
            self._links = LinkBudgets(topology.statement, topology.vm)
        return self._shifts

    def _pick_shifted(
        self,
        topology: Topology,
        shifts: Shifts,
        service: str,
        ineligible: frozenset[str],
    ) -> Upstream | None:
        local_upstreams = topology.list_region_upstreams(
            service, topology.region
        )
        source_down = all(
            server.name in ineligible for server in local_upstreams
        )
        wall = self.table.clock.read_wall()
        target = shifts.sample_target(service, wall, source_down=source_down)
        if not target or not self._may_move(service, target):
            return None
        upstreams = topology.list_region_upstreams(service, target)
        best = self._pick_best(_filter_eligible(upstreams, ineligible))
        if best is None:
            key = (service, target)
            self.unmet_counts_[key] = self.unmet_counts_.get(key, 0) + 1
        return best

    def _pick_remote(
        self,
        topology: Topology,
        service: str,
        ineligible: frozenset[str],
    ) -> Upstream | None:
        return self._pick_best(
            [
                server
                for region in topology.list_remote_regions(service)
                if self._may_move(service, region)
                for server in topology.list_region_upstreams(service, region)
                if server.name not in ineligible
            ],
        )

    def _may_move(self, service: str, region: str) -> bool:
        now = self.table.clock.read_monotonic()
        return self._links.has_budget(region, now) and self._shifts.may_move(
            service,
            region,
            now,
        )

    def _pick_best(self, upstreams: Iterable[Upstream]) -> Upstream | None:
        now = self.table.clock.read_monotonic()
        best, best_score = None, -1
        for upstream in upstreams:
            free = self.table.count_free(upstream)
            if free <= 0:
                continue
            score_base = (
                free / upstream.slots + self.rng.random() * _JITTER_FRACTION
            )
            score = score_base / self.table.health_.compute_penalty(
                upstream, now
            )
            if score > best_score:
                best, best_score = upstream, score
        return best


def _filter_eligible(
    upstreams: Iterable[Upstream],
    ineligible: frozenset[str],
) -> list[Upstream]:
    return [server for server in upstreams if server.name not in ineligible]
