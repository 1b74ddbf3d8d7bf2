"""The stated load against slots and links."""

from collections import Counter
from collections.abc import Iterator

from sesameroute.statement._finding import Finding, Severity
from sesameroute.statement._model import Kind, Statement
from sesameroute.statement._room import Room

__all__ = ['find_overloads']

_MILLISECONDS = 1000  # in a second


def find_overloads(room: Room) -> Iterator[Finding]:
    """Yield where the stated peak load exceeds slots or links.

    Callers are taken to be spread evenly over the regions. Nothing is
    found when no load is stated.
    """
    if not room.statement.policy.peak_rate:
        return
    yield from _find_short_services(room)
    yield from _find_short_links(room)
    yield from _find_vital_domains(room)


def _find_short_services(room: Room) -> Iterator[Finding]:
    statement = room.statement
    reserve = statement.policy.reserve
    for service in statement.services:
        slots = room.count_slots(service)
        needed = _count_needed_slots(statement, service)
        if needed > slots:
            yield Finding(
                f'service {service}',
                f'{slots} slots are not drained; allowed: {needed:.1f} or '
                'more for the stated load',
            )
        elif needed > slots * (1 - reserve):
            yield Finding(
                f'service {service}',
                f'{needed:.1f} of {slots} slots are needed for the stated '
                f'load, which cuts into the reserve of {reserve:g}',
                Severity.WARNING,
            )


def _find_vital_domains(room: Room) -> Iterator[Finding]:
    """Yield services that the loss of one failure domain would overload."""
    statement = room.statement
    for service in statement.services:
        slots = room.count_slots(service)
        needed = _count_needed_slots(statement, service)
        losses = Counter()
        for upstream in room.list_upstreams(service):
            losses[upstream.domain] += upstream.slots
        for domain, lost in losses.items():
            if slots - lost < needed <= slots:
                yield Finding(
                    f'service {service}',
                    f'without {domain} there are {slots - lost} slots; '
                    f'{needed:.1f} are needed for the stated load',
                    Severity.WARNING,
                )


def _find_short_links(room: Room) -> Iterator[Finding]:
    """Yield regions whose spilled work exceeds the links to them."""
    statement = room.statement
    for region in statement.places.regions:
        needed = sum(
            _count_spilled_bytes(room, service, region)
            for service in statement.services
        )
        carried = sum(
            link.bytes_per_second
            for link in statement.links
            if link.target == region
        )
        if needed > carried:
            yield Finding(
                f'region {region}',
                f'answers of {needed:.0f} bytes a second come from other '
                f'regions; allowed: up to {carried:.0f}, the caps of the '
                'links to it',
            )


def _count_needed_slots(statement: Statement, service: str) -> float:
    """Return the slots in use at the stated load, by Little's law."""
    return sum(
        _count_rate(statement, kind) * kind.work_ms / _MILLISECONDS
        for kind in statement.kinds.values()
        if kind.service == service
    )


def _count_spilled_bytes(
    room: Room,
    service: str,
    region: str,
) -> float:
    """Return the bytes a second that a region's callers get from others."""
    statement = room.statement
    regions = len(statement.places.regions)
    needed = _count_needed_slots(statement, service) / regions
    if not needed:
        return 0
    slots = room.count_slots(service, region)
    answered = sum(
        _count_rate(statement, kind) * kind.answer_bytes
        for kind in statement.kinds.values()
        if kind.service == service
    )
    return max(1 - slots / needed, 0) * answered / regions


def _count_rate(statement: Statement, kind: Kind) -> float:
    """Return the stated requests a second of a kind."""
    shares = sum(each.share for each in statement.kinds.values())
    return statement.policy.peak_rate * kind.share / shares if shares else 0
