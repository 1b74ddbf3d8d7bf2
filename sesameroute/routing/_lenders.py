"""Candidate lenders of slots, with their reported free slots."""

from collections.abc import Iterator

from sesameroute.routing._slot_table import SlotTable
from sesameroute.routing._topology import Topology

__all__ = ['list_lenders']

_MAX_DIGEST_AGE_SECONDS = 2.0  # older headroom reports are ignored


def list_lenders(
    table: SlotTable,
    service: str,
    region: str,
) -> Iterator[tuple[str, int]]:
    """Yield owners of slots in a region and their free slots, nearest first.

    An owner in another region without a fresh report counts as having no
    free slots; one in this region is always asked for at least one.
    """
    topology = table.read_topology()
    if topology is None:
        return
    live = frozenset(table.members.list_live())
    for owner in topology.list_lenders(service, region, live):
        yield owner, _estimate_free(table, topology, owner, service)


def _estimate_free(
    table: SlotTable,
    topology: Topology,
    owner: str,
    service: str,
) -> int:
    digest = table.members.find_digest(owner)
    is_local = topology.is_local_vm(owner)
    if digest is None or digest.age > _MAX_DIGEST_AGE_SECONDS:
        return int(is_local)
    free, total = digest.headroom.get(service, (0, 0))
    if is_local:
        return max(1, free)
    return int(free - total * topology.statement.policy.reserve)
