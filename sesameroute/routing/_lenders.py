"""Whom to ask for slots, by distance and reported room."""

from collections.abc import Iterator

from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography

__all__ = ['list_lenders']

_NEWS_AGE = 2.0  # seconds after which an owner's reported room is no news


def list_lenders(
    book: SlotBook,
    service: str,
    region: str,
) -> Iterator[tuple[str, int]]:
    """Yield owners of slots in a region, the nearest first, and their room.

    Of owners in other regions only fresh reports are believed: no news
    counts as no room.
    """
    geography = book.read_geography()
    if geography is None:
        return
    live = frozenset(book.members.list_live())
    for owner in geography.list_lenders(service, region, live):
        yield owner, _estimate_room(book, geography, owner, service)


def _estimate_room(
    book: SlotBook,
    geography: Geography,
    owner: str,
    service: str,
) -> int:
    digest = book.members.find_digest(owner)
    near = geography.is_near_vm(owner)
    if digest is None or digest.age > _NEWS_AGE:
        return int(near)
    free, total = digest.headroom.get(service, (0, 0))
    if near:
        return max(1, free)
    return int(free - total * geography.statement.policy.reserve)
