"""Compares the stated peak load with the capacity of slots and links.

Each slot of a backend server takes one request at a time.
"""

from collections import Counter
from collections.abc import Iterator

from sesameroute.statement._finding import Finding, Severity
from sesameroute.statement._model import Kind, Statement
from sesameroute.statement._undrained import UndrainedCapacity

__all__ = ['find_overloads']

_MILLISECONDS = 1000  # in a second


def find_overloads(undrained: UndrainedCapacity) -> Iterator[Finding]:
    """Yield services and regions that the stated peak load would overload.

    Callers are assumed to be distributed evenly over the regions. Without
    a stated load, nothing is checked.
    """
    if not undrained.statement.policy.peak_rate:
        return
    yield from _find_overloaded_services(undrained)
    yield from _find_overloaded_links(undrained)
    yield from _find_critical_domains(undrained)


def _find_overloaded_services(
    undrained: UndrainedCapacity,
) -> Iterator[Finding]:
    statement = undrained.statement
    reserve = statement.policy.reserve
    for service in statement.services:
        slots = undrained.count_slots(service)
        needed = _estimate_needed_slots(statement, service)
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


def _find_critical_domains(undrained: UndrainedCapacity) -> Iterator[Finding]:
    """Yield services that the loss of one failure domain would overload.

    Services that are overloaded with all their failure domains are left
    out here.
    """
    statement = undrained.statement
    for service in statement.services:
        slots = undrained.count_slots(service)
        needed = _estimate_needed_slots(statement, service)
        slots_by_domain = Counter()
        for upstream in undrained.list_upstreams(service):
            slots_by_domain[upstream.domain] += upstream.slots
        for domain, lost_slots in slots_by_domain.items():
            if slots - lost_slots < needed <= slots:
                yield Finding(
                    f'service {service}',
                    f'without {domain} there are {slots - lost_slots} slots; '
                    f'{needed:.1f} are needed for the stated load',
                    Severity.WARNING,
                )


def _find_overloaded_links(undrained: UndrainedCapacity) -> Iterator[Finding]:
    """Yield regions whose links can't carry the answers from other regions.

    Requests that exceed the slots of a region are sent to other regions.
    """
    statement = undrained.statement
    for region in statement.places.regions:
        needed_byte_rate = sum(
            _estimate_cross_region_byte_rate(undrained, service, region)
            for service in statement.services
        )
        link_byte_rate = sum(
            link.bytes_per_second
            for link in statement.links
            if link.target == region
        )
        if needed_byte_rate > link_byte_rate:
            yield Finding(
                f'region {region}',
                f'answers of {needed_byte_rate:.0f} bytes a second come from '
                f'other regions; allowed: up to {link_byte_rate:.0f}, '
                'the caps of the links to it',
            )


def _estimate_needed_slots(statement: Statement, service: str) -> float:
    """Return the mean slots in use at the stated load, by Little's law."""
    return sum(
        _compute_request_rate(statement, kind) * kind.work_ms / _MILLISECONDS
        for kind in statement.kinds.values()
        if kind.service == service
    )


def _estimate_cross_region_byte_rate(
    undrained: UndrainedCapacity,
    service: str,
    region: str,
) -> float:
    """Return the bytes a second of answers from other regions.

    Counts the requests of the region's callers to the service that exceed
    the region's slots.
    """
    statement = undrained.statement
    region_count = len(statement.places.regions)
    needed = _estimate_needed_slots(statement, service) / region_count
    if not needed:
        return 0
    slots = undrained.count_slots(service, region)
    answer_byte_rate = sum(
        _compute_request_rate(statement, kind) * kind.answer_bytes
        for kind in statement.kinds.values()
        if kind.service == service
    )
    return max(1 - slots / needed, 0) * answer_byte_rate / region_count


def _compute_request_rate(statement: Statement, kind: Kind) -> float:
    """Return the requests a second of a kind at the stated peak."""
    total_share = sum(each.share for each in statement.kinds.values())
    return (
        statement.policy.peak_rate * kind.share / total_share
        if total_share
        else 0
    )
