"""Tests of nodes of earlier landings that are replaced in two regions."""

import itertools
import time
from collections import Counter, namedtuple
from functools import partial

import pytest

from sesameroute.node.tests.backends import BackendStandIn, count_since
from sesameroute.node.tests.builds import LANDINGS, find_leader, start_builds
from sesameroute.node.tests.callers import (
    DIRECTORY_SECONDS,
    Callers,
    EagerCallers,
    following_directory,
)
from sesameroute.node.tests.cluster import is_ready, wait_for
from sesameroute.node.tests.drills import lose_writes

_REGIONS = ('north', 'south')
# The bound as it is stated, in seconds.
_APPLY_SECONDS = 2.0
_START_SECONDS = 10
# Part of the requests that is served at the least, as in other tests.
_MIN_SERVED = 0.9
_SERVERS = 5  # in each region

Change = namedtuple('Change', ('former_prefix', 'is_lost'))

_CHANGES = {
    'homes': Change('/a/', is_lost=False),
    'homes the store lost': Change('/a/', is_lost=True),
    'route the store lost': Change('/b/', is_lost=True),
}


class Regions:
    """A node of each build and servers in each of two regions.

    Attributes
    ----------
    zones : dict of int to str
        Zones of the nodes by their numbers.
    olds, news : list of int
        Numbers of the nodes of the earlier and the present build, one of each
        region.
    servers : dict of str to list of BackendStandIn
        Backend servers by region.
    callers : dict of str to Callers
        Callers by region, which ask the directory.
    eager : list of EagerCallers
        Callers of each node that is started.

    """

    def __init__(self, cluster, *, is_earlier_leading):
        """Start the servers."""
        self.cluster = cluster
        self.zones = {}
        self.olds = []
        self.news = []
        for region in _REGIONS:
            leading, other = find_pair(self.zones)
            zone = f'{region}-a'
            self.zones.update({leading: zone, other: zone})
            self.olds.append(leading if is_earlier_leading else other)
            self.news.append(other if is_earlier_leading else leading)
        self.callers = {}
        self.eager = []
        self.servers = {
            region: [BackendStandIn() for _ in range(_SERVERS)]
            for region in _REGIONS
        }
        for region, servers in self.servers.items():
            for number, server in enumerate(servers):
                cluster.register(f'{region}-{number}', server, f'{region}-a')

    def start_callers(self):
        """Start the callers of each region."""
        by_region = {}
        for number, zone in self.zones.items():
            by_region.setdefault(zone.partition('-')[0], []).append(number)
        self.callers = {each: Callers(by_region[each]) for each in _REGIONS}

    def replace(self, earlier):
        """Replace the nodes of the earlier build one after the other.

        Some callers use a node from before it listens.
        """
        for number in self.olds:
            assert earlier.stop(number) == 0
            self.eager.append(EagerCallers([number], '/a/x'))
            self.cluster.add_node(number, self.zones[number], tuple(self.zones))
            assert wait_for(partial(is_ready, number), _START_SECONDS)
            time.sleep(2 * DIRECTORY_SECONDS)

    def stop(self):
        """Stop the callers and servers; the cluster stops the nodes."""
        servers = itertools.chain.from_iterable(self.servers.values())
        for each in (*self.callers.values(), *self.eager, *servers):
            each.stop()


def find_pair(taken):
    """Return two numbers; the first one leads what a region has to lead."""
    free = (one for one in itertools.count(1) if one not in taken)
    candidates = itertools.permutations(itertools.islice(free, 9), 2)
    return next(filter(_is_first_leading, candidates))


def _is_first_leading(pair):
    leading = {find_leader(pair, topic) for topic in ('store-watch', 's')}
    return leading == {pair[0]}


@pytest.fixture
def start_regions(cluster):
    """Return a function that starts two regions, stopped after the test."""
    running = []

    def start(**leading):
        running.append(Regions(cluster, **leading))
        return running[-1]

    yield start
    for each in running:
        each.stop()


@pytest.mark.parametrize('landing', LANDINGS)
@pytest.mark.parametrize('change', _CHANGES)
@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_replaced_nodes_follow_the_homes(
    cluster, earlier, start_regions, is_earlier_leading, change
):
    """Nodes of two builds disagreed on the routes and on their homes."""
    former_prefix, is_lost = _CHANGES[change]
    regions = start_regions(is_earlier_leading=is_earlier_leading)
    cluster.configure(prefix=former_prefix, allowed_regions=['south'])
    start_builds(cluster, earlier, regions.olds, regions.news, regions.zones)

    def write():
        cluster.configure(allowed_regions=['north'])
        time.sleep(_APPLY_SECONDS)

    if is_lost:
        lose_writes(cluster, 60, write)
    else:
        write()
    since = time.monotonic()
    regions.start_callers()
    callers = regions.callers
    with (
        following_directory(callers['north'], 'north'),
        following_directory(callers['south'], 'south'),
    ):
        regions.replace(earlier)
        used = {one for each in callers.values() for one in each.numbers}
    regions.stop()
    statuses = Counter(
        answer.status for each in callers.values() for answer in each.answers
    )
    for eager in regions.eager:
        statuses.update(eager.statuses)
        assert eager.statuses[200]
    assert used == regions.zones.keys()
    assert statuses.keys() <= {200, 503, 504}, statuses
    assert statuses[200] >= _MIN_SERVED * statuses.total()
    outside = [count_since(one, since) for one in regions.servers['south']]
    assert outside == [0] * _SERVERS
