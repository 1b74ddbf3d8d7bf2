"""Free and used slots summed over backend servers."""

from sesameroute.routing._book import SlotBook
from sesameroute.routing._view import Headroom

__all__ = ['count_own', 'count_region', 'count_used', 'report_headroom']


def count_region(
    book: SlotBook,
    service: str,
    region: str,
) -> tuple[int, int]:
    """Return free slots of a service in a region and those used here."""
    geography = book.read_geography()
    if geography is None:
        return 0, 0
    barred = book.list_barred(service)
    free, used = 0, 0
    for upstream in geography.list_region(service, region):
        used += book.ledgers_[upstream.name].used
        if upstream.name not in barred:
            free += max(0, book.count_free(upstream))
    return free, used


def count_used(book: SlotBook, service: str) -> int:
    """Return the slots of a service in use by this VM."""
    geography = book.read_geography()
    if geography is None:
        return 0
    return sum(
        book.ledgers_[upstream.name].used
        for upstream in geography.list_service(service)
    )


def count_own(book: SlotBook, service: str) -> tuple[int, int]:
    """Return free and all slots of a service that this VM can lend."""
    geography = book.read_geography()
    if geography is None:
        return 0, 0
    barred = book.list_barred(service)
    now = book.clock.read_monotonic()
    free, total = 0, 0
    for upstream in geography.list_service(service):
        ledger = book.ledgers_[upstream.name]
        if ledger.own and upstream.name not in barred:
            free += max(0, book.count_free(upstream))
            total += max(0, ledger.count_usable(now))
    return free, total


def report_headroom(book: SlotBook) -> Headroom:
    """Return free and total slots by service of the own upstreams."""
    geography = book.read_geography()
    if geography is None:
        return {}
    return {
        service: count_own(book, service)
        for service in geography.statement.services
    }
