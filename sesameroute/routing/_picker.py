"""Choice among the backend servers that have a slot for this VM."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sesameroute.limits import LinkBudgets
from sesameroute.ports import Request
from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography
from sesameroute.routing._shifts import Shifts
from sesameroute.statement import Upstream

__all__ = ['Pick', 'Picker']

_JITTER = 0.1  # of the free part of slots, so that equals take turns


@dataclass(frozen=True, slots=True)
class Pick:
    """A backend server and why it was picked."""

    upstream: Upstream
    reason: str


class Picker:
    """Picks the backend server for a request, the nearest with room.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    rng : random.Random
        Breaks ties and draws the requests that a shift moves.

    """

    def __init__(self, book: SlotBook, rng: random.Random) -> None:
        """Store the arguments."""
        self.book = book
        self.rng = rng
        self.wishes_: dict[tuple[str, str], int] = {}
        self._geography: Geography | None = None
        self._shifts: Shifts | None = None
        self._links: LinkBudgets | None = None

    def pick(
        self,
        request: Request,
        exclude: tuple[str, ...],
    ) -> Pick | None:
        """Return a backend server with a free slot, None if there is none."""
        geography = self.book.read_geography()
        if geography is None:
            return None
        shifts = self._read_shifts(geography)
        service = request.kind.service
        barred = self.book.list_barred(service).union(exclude)
        moved = self._pick_moved(geography, shifts, service, barred)
        if moved:
            return Pick(moved, 'shift')
        for tier in geography.list_near_tiers(service):
            best = self._pick_best(_leave_out(tier, barred))
            if best:
                return Pick(best, 'nearest free slot')
        spilled = self._pick_far(geography, service, barred)
        return Pick(spilled, 'spill') if spilled else None

    def count_move(self, upstream: Upstream) -> None:
        """Count a request that was sent to a backend server."""
        geography = self.book.read_geography()
        if geography and not geography.is_near(upstream.domain):
            self._read_shifts(geography).count_move(
                upstream.service,
                geography.find_region(upstream.domain),
                self.book.clock.read_monotonic(),
            )

    def pass_bytes(self, upstream: Upstream, size: int) -> float:
        """Admit bytes of an answer; return the seconds to wait."""
        geography = self.book.read_geography()
        if geography is None or geography.is_near(upstream.domain):
            return 0
        self._read_shifts(geography)
        return self._links.pass_bytes(
            geography.find_region(upstream.domain),
            size,
            self.book.clock.read_monotonic(),
        )

    def pop_wishes(self, service: str, region: str) -> int:
        """Return the requests that lacked a slot in a region to move to."""
        return self.wishes_.pop((service, region), 0)

    def _read_shifts(self, geography: Geography) -> Shifts:
        if self._geography is not geography or self._shifts is None:
            shifts = Shifts(geography, self.book.members, self.rng)
            if self._shifts is not None:
                shifts.keep_from(self._shifts)
            self._geography = geography
            self._shifts = shifts
            self._links = LinkBudgets(geography.statement, geography.vm)
        return self._shifts

    def _pick_moved(
        self,
        geography: Geography,
        shifts: Shifts,
        service: str,
        barred: frozenset[str],
    ) -> Upstream | None:
        local = geography.list_region(service, geography.region)
        dead = all(one.name in barred for one in local)
        wall = self.book.clock.read_wall()
        target = shifts.draw_target(service, wall, dead=dead)
        if not target or not self._may_move(service, target):
            return None
        listed = geography.list_region(service, target)
        best = self._pick_best(_leave_out(listed, barred))
        if best is None:
            key = (service, target)
            self.wishes_[key] = self.wishes_.get(key, 0) + 1
        return best

    def _pick_far(
        self,
        geography: Geography,
        service: str,
        barred: frozenset[str],
    ) -> Upstream | None:
        return self._pick_best(
            [
                one
                for region in geography.list_far_regions(service)
                if self._may_move(service, region)
                for one in geography.list_region(service, region)
                if one.name not in barred
            ],
        )

    def _may_move(self, service: str, region: str) -> bool:
        now = self.book.clock.read_monotonic()
        return self._links.has_room(region, now) and self._shifts.may_move(
            service,
            region,
            now,
        )

    def _pick_best(self, listed: Iterable[Upstream]) -> Upstream | None:
        now = self.book.clock.read_monotonic()
        best, best_score = None, -1
        for upstream in listed:
            free = self.book.count_free(upstream)
            if free <= 0:
                continue
            part = free / upstream.slots + self.rng.random() * _JITTER
            score = part / self.book.health_.rate(upstream, now)
            if score > best_score:
                best, best_score = upstream, score
        return best


def _leave_out(
    listed: Iterable[Upstream],
    barred: frozenset[str],
) -> list[Upstream]:
    return [one for one in listed if one.name not in barred]
