"""Sums of free and used slots over backend servers."""

from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._view import Headroom

__all__ = [
    'count_lendable',
    'count_region_slots',
    'count_used',
    'report_headroom',
]


def count_region_slots(
    table: SlotTable,
    service: str,
    region: str,
) -> tuple[int, int]:
    """Return the free slots of a service in a region and those in use."""
    topology = table.read_topology()
    if topology is None:
        return 0, 0
    ineligible = table.list_ineligible(service)
    free, used = 0, 0
    for upstream in topology.list_region_upstreams(service, region):
        used += table.ledgers_[upstream.name].used
        if upstream.name not in ineligible:
            free += max(0, table.count_free(upstream))
    return free, used


def count_used(table: SlotTable, service: str) -> int:
    """Return the number of slots of a service that this VM uses."""
    topology = table.read_topology()
    if topology is None:
        return 0
    return sum(
        table.ledgers_[upstream.name].used
        for upstream in topology.list_service_upstreams(service)
    )


def count_lendable(table: SlotTable, service: str) -> tuple[int, int]:
    """Return the free and total slots of a service that may be lent."""
    topology = table.read_topology()
    if topology is None:
        return 0, 0
    ineligible = table.list_ineligible(service)
    now = table.clock.read_monotonic()
    free, total = 0, 0
    for upstream in topology.list_service_upstreams(service):
        ledger = table.ledgers_[upstream.name]
        if ledger.owned and upstream.name not in ineligible:
            free += max(0, table.count_free(upstream))
            total += max(0, ledger.count_usable(now))
    return free, total


def report_headroom(table: SlotTable) -> Headroom:
    """Return free and total slots by service, of owned upstreams."""
    topology = table.read_topology()
    if topology is None:
        return {}
    return {
        service: count_lendable(table, service)
        for service in topology.statement.services
    }
