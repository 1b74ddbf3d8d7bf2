"""The pools of all nodes together keep the limits that servers name."""

from types import SimpleNamespace

import pytest

from sesameroute.node._pools import PoolTable
from sesameroute.placement import Grant, Outcome, Release, SlotRequest
from sesameroute.registry import (
    Announcement,
    Backend,
    BackendState,
    Registry,
)
from sesameroute.routes import ActiveConfiguration

REGIONS = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
STEP_SECONDS = 0.02
END_SECONDS = 14
WINDOW_SECONDS = 4


class Node:
    """The pool of a node, asked for a slot as often as the test likes."""

    def __init__(self, address, region, leader, limit):
        """Build the pool; `leader` is the node that leads by its view."""
        registry = Registry()
        for name, zone in (('a', 'north-a'), ('b', 'south-a')):
            registry.put(
                Backend(name, 's', name, 80, zone, 6, BackendState.READY, 0, 7),
                0,
            )
        registry.announcements.record(Announcement('a', 7, 0, limit))
        fleet = SimpleNamespace(
            own_state=SimpleNamespace(address=address, region=region),
            find_leader=lambda _service, _region: leader,
        )
        self.clock = SimpleNamespace(read_monotonic=float)
        self.table = PoolTable(
            fleet, registry, ActiveConfiguration(), REGIONS, self.clock
        )
        self.numbers = 0

    def count_grants(self, now):
        """Ask for some slots; return how many were on the limited server."""
        pool = self.table.find('s')
        count = 0
        for _ in range(4):
            self.numbers += 1
            self.table.set_start_rates(pool, is_leader=True)
            request = SlotRequest(
                's', 'r', str(self.numbers % 9), 1, 1, 1, 1, homes=('north',)
            )
            placed = pool.place(request, 'n', print, now)
            if isinstance(placed, Grant):
                count += placed.backend == 'a'
                pool.release(
                    Release('s', placed.number, Outcome.ANSWERED, 0.01), now
                )
        return count


@pytest.mark.parametrize('limit', [0, 0.3, 2.5, 6.4, 50])
@pytest.mark.parametrize('leaders', [1, 2])
def test_pools_of_all_nodes_keep_the_limit(limit, leaders):
    """Also with two leaders of a region, and nodes that reach neither."""
    nodes = [
        Node(f'north-{number}', 'north', f'north-{number}', limit)
        for number in range(leaders)
    ]
    nodes += [
        Node(region, region, region, limit) for region in ('south', 'west')
    ]
    nodes += [Node(f'lost-{one}', 'north', 'other', limit) for one in range(9)]
    steps = int(END_SECONDS / STEP_SECONDS)
    counts = [
        sum(node.count_grants(step * STEP_SECONDS) for node in nodes)
        for step in range(steps)
    ]
    window = int(WINDOW_SECONDS / STEP_SECONDS)
    busiest = max(
        sum(counts[first : first + window]) for first in range(steps - window)
    )
    assert busiest <= 1.5 * limit * WINDOW_SECONDS + 5
    assert sum(counts)
