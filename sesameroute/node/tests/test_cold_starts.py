"""The pools of nodes that restart together keep a cold server's rate."""

from types import SimpleNamespace

import pytest

from sesameroute.node._pools import PoolTable
from sesameroute.placement import Grant, Outcome, Release, SlotRequest
from sesameroute.registry import Backend, BackendState, Registry
from sesameroute.routes import ActiveConfiguration
from sesameroute.routing.tests.samples import ManualClock

REGIONS = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
COLD_RATE = 5  # requests per second, as while no configuration is known
MAX_STARTS = 1.5 * COLD_RATE + 5  # in one second, as permitted by the users
STEP_SECONDS = 0.05
END_SECONDS = 8


class RestartedNode:
    """A node that knows its peers only some time after its start."""

    def __init__(self, clock, number, region, joins_at):
        """Start the node; the first one of its region leads it."""
        self.clock = clock
        self.number = number
        self.joins_at = joins_at
        self.asked = 0
        registry = Registry()
        registry.put(
            Backend('a', 's', 'a', 80, 'north-a', 6, BackendState.READY, 0, 7),
            99,
        )
        own_state = SimpleNamespace(address=f'{region}-{number}', region=region)
        self.table = PoolTable(
            SimpleNamespace(own_state=own_state),
            registry,
            ActiveConfiguration(),
            REGIONS,
            clock,
        )

    def leads(self):
        """Return whether the node leads its region by its own view."""
        return self.number == 0 or self.clock.now < self.joins_at

    def count_starts(self):
        """Ask for a slot on the cold server; return how many were granted."""
        pool = self.table.find('s')
        self.table.set_start_rates(pool, is_leader=self.leads())
        self.asked += 1
        request = SlotRequest('s', 'r', str(self.asked % 9), 1, 1, 1, 1)
        placed = pool.place(request, 'n', print, self.clock.now)
        if not isinstance(placed, Grant):
            return 0
        pool.release(
            Release('s', placed.number, Outcome.ANSWERED, 0.01), self.clock.now
        )
        return 1


def count_busiest_second(nodes, clock):
    """Return the most starts in one second and those of the last one."""
    counts = []
    while clock.now < END_SECONDS:
        asking = [node for node in nodes if node.leads()]
        counts.append(sum(node.count_starts() for node in asking))
        clock.now += STEP_SECONDS
    window = int(1 / STEP_SECONDS)
    sums = [
        sum(counts[first : first + window])
        for first in range(len(counts) - window + 1)
    ]
    return max(sums), sums[-1]


@pytest.mark.parametrize('number_of_nodes', [7, 30, 78, 300])
@pytest.mark.parametrize('join_seconds', [0.1, 1.5])
def test_mass_restart_spares_cold_servers(number_of_nodes, join_seconds):
    """Each node took a part of the rate before it knew of the others."""
    clock = ManualClock()
    nodes = [
        RestartedNode(
            clock,
            number // 3,
            list(REGIONS.values())[number % 3],
            join_seconds * (number + 1) / number_of_nodes,
        )
        for number in range(number_of_nodes)
    ]
    busiest, last = count_busiest_second(nodes, clock)
    assert busiest <= MAX_STARTS
    assert last >= COLD_RATE / 2
