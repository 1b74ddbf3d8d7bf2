"""Tests of nodes that start while others know more than the store."""

import contextlib
import threading
import time
from collections import namedtuple
from functools import partial

import pytest

from sesameroute.node.tests.backends import BackendStandIn, count_since
from sesameroute.node.tests.callers import EagerCallers
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    is_ready,
    resolve,
    wait_for,
)
from sesameroute.node.tests.drills import lose_writes

# The bounds as they are stated, in seconds.
_APPLY_SECONDS = 2.0
_READY_SECONDS = 3.0
# The operator writes again what the store has lost after this time.
_REWRITE_SECONDS = 2.5
_PAUSE_SECONDS = 0.5


def play(drill, write, case, path):
    """Lose what `write` writes while nodes restart; return their statuses.

    The operator writes it again some seconds later.
    """
    numbers = drill.select(case.restarted)
    is_early = case.when == 'before the return'
    with contextlib.ExitStack() as cleanup:
        running = []

        def restart():
            running.append(drill.restart(numbers, path))
            cleanup.callback(running[0].stop)

        lose_writes(
            drill.cluster,
            case.lost,
            write,
            while_away=restart if is_early else bool,
        )
        since = time.monotonic()
        restore_again(drill.cluster.store, case.restores - 1)
        if case.when == 'after the return':
            time.sleep(_PAUSE_SECONDS)
        if not is_early:
            restart()
        assert wait_for(lambda: all(map(is_ready, numbers)), _READY_SECONDS)
        time.sleep(max(since + _REWRITE_SECONDS - time.monotonic(), 0))
        write()
        time.sleep(_APPLY_SECONDS)
    return running[0].statuses


def restore_again(store, times):
    """Let the store begin further eras, with nothing lost."""
    for _ in range(times):
        time.sleep(_PAUSE_SECONDS)
        store.restore(store.copy_state())


Case = namedtuple(
    'Case', ('nodes', 'regions', 'restarted', 'when', 'lost', 'restores')
)
_IN_ONE_REGION = (Case(4, 1, 'one', 'after the return', 60, 1),)
_IN_REGIONS = (
    Case(4, 2, 'one', 'after the return', 1, 1),
    Case(4, 2, 'one', 'after the return', 60, 2),
    Case(4, 2, 'region', 'at the return', 60, 1),
    Case(4, 2, 'all but one', 'after the return', 60, 1),
    Case(4, 2, 'all but one', 'before the return', 60, 1),
    Case(7, 3, 'zone', 'after the return', 500, 1),
    Case(7, 3, 'all but one', 'at the return', 60, 1),
)


@pytest.mark.parametrize('case', [*_IN_ONE_REGION, *_IN_REGIONS], ids=str)
def test_started_node_refuses_no_route_that_others_know(
    cluster, start_drill, case
):
    """A node that started took the restored store's routes for current."""
    drill = start_drill(case.nodes, case.regions)
    statuses = play(
        drill, lambda: cluster.configure(prefix='/b/'), case, '/b/x'
    )
    assert set(statuses) <= {200, 503}, statuses
    assert statuses[200] > statuses[503]


@pytest.mark.parametrize('case', _IN_REGIONS, ids=str)
def test_started_node_sends_nothing_outside_the_homes_that_others_know(
    cluster, start_drill, case
):
    """A node that started took the restored store's homes for current."""
    drill = start_drill(case.nodes, case.regions)
    former, home = drill.nodes[max(drill.nodes)].partition('-')[0], 'north'
    if former == home:
        former = 'south'
    cluster.configure(allowed_regions=[former])
    changed = []

    def write():
        cluster.configure(allowed_regions=[home])
        time.sleep(_APPLY_SECONDS)
        changed.append(time.monotonic())

    statuses = play(drill, write, case, '/a/x')
    outside = {
        zone: count_since(server, changed[0])
        for zone, server in drill.servers.items()
        if not zone.startswith(home)
    }
    assert not any(outside.values()), outside
    assert set(statuses) <= {200, 503}, statuses
    assert statuses[200]


class DirectoryReaders:
    """Ask the directories of nodes for all regions without a pause.

    Attributes
    ----------
    foreign : list of tuple
        Asked node, region and answer, of the answers that name nodes of other
        regions.
    count : int
        Number of answers.

    """

    def __init__(self, drill):
        """Start to ask."""
        self.zones = {
            f'{NETWORK_PREFIX}.{number}:{FRONT_PORT}': zone
            for number, zone in drill.nodes.items()
        }
        self.foreign = []
        self.count = 0
        self._is_stopped = threading.Event()
        regions = {zone.partition('-')[0] for zone in drill.nodes.values()}
        self._threads = [
            threading.Thread(target=self._run, args=(number, region))
            for number in drill.nodes
            for region in regions
        ]
        for each in self._threads:
            each.start()

    def stop(self):
        """Stop asking."""
        self._is_stopped.set()
        for each in self._threads:
            each.join()

    def _run(self, number, region):
        while not self._is_stopped.wait(0.005):
            try:
                listed = resolve(number, region)
            except OSError:
                continue  # the node is being restarted
            self.count += bool(listed)
            if not all(self.zones[one].startswith(region) for one in listed):
                self.foreign.append((number, region, listed))


@pytest.mark.parametrize('is_planned', [True, False])
def test_directory_names_no_other_region_while_nodes_are_replaced(
    cluster, start_drill, is_planned
):
    """A node that had just started did not know the ones near the caller."""
    drill = start_drill(4, 2)
    assert wait_for(lambda: all(len(resolve(one)) == 2 for one in drill.nodes))
    readers = DirectoryReaders(drill)
    for number in drill.nodes:
        node = cluster.nodes[number]
        if is_planned:
            node.stop()
        else:
            node.kill()
        drill.start(number)
        assert wait_for(partial(is_ready, number))
    readers.stop()
    assert readers.count > 0
    assert not readers.foreign


def test_node_that_reads_the_store_late_asks_the_members_it_lists(cluster):
    """Its time to compare was over before it knew anything."""
    server = BackendStandIn()
    cluster.register('server', server)
    cluster.start_nodes(1, 2)
    members = {f'sesameroute/members/{NETWORK_PREFIX}.{one}' for one in (1, 2)}
    assert wait_for(lambda: members <= cluster.store.items.keys())
    started = 3
    callers = EagerCallers([started], '/b/x')
    lose_writes(
        cluster,
        60,
        lambda: cluster.configure(prefix='/b/'),
        away_seconds=2.0,
        while_away=lambda: cluster.add_node(started, seeds=(9,)),
    )
    assert wait_for(partial(is_ready, started), _READY_SECONDS)
    time.sleep(_APPLY_SECONDS)
    callers.stop()
    server.stop()
    assert set(callers.statuses) <= {200, 503}, callers.statuses
    assert callers.statuses[200]
