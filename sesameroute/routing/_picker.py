"""Choice among the backend servers that have a slot for this VM."""

import random

from sesameroute.ports import Request
from sesameroute.routing._book import SlotBook
from sesameroute.statement import Upstream

__all__ = ['Picker']


class Picker:
    """Picks the backend server for a request, the nearest with room.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    rng : random.Random
        Breaks ties.

    """

    def __init__(
        self,
        book: SlotBook,
        rng: random.Random,
    ) -> None:
        """Store the arguments."""
        self.book = book
        self.rng = rng

    def pick(
        self,
        request: Request,
        exclude: tuple[str, ...],
    ) -> Upstream | None:
        """Return a backend server with a free slot, None if there is none."""
        geography = self.book.read_geography()
        if geography is None:
            return None
        barred = self.book.list_barred().union(exclude)
        for tier in geography.list_tiers(request.kind.service):
            best = self._pick_in_tier(
                [one for one in tier if one.name not in barred],
            )
            if best is not None:
                return best
        return None

    def _pick_in_tier(self, tier: list[Upstream]) -> Upstream | None:
        open_ones = [one for one in tier if self.book.count_free(one.name) > 0]
        if not open_ones:
            return None
        return max(
            open_ones,
            key=lambda one: (
                self.book.count_free(one.name) + self.rng.random() / 2
            ),
        )
