"""Nodes whose store goes away and comes back from a copy, for tests."""

import json
import time

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.callers import EagerCallers
from sesameroute.node.tests.cluster import is_ready, wait_for

_MARKER = 'servers/marker'
_MAX_SEEDS = 3
_ZONES = {
    1: ('north-a', 'north-b'),
    2: ('north-a', 'north-b', 'south-a', 'south-b'),
    3: ('north-a', 'north-b', 'south-a', 'south-b', 'east-a', 'east-b'),
}


class Drill:
    """Nodes in all zones, a server in each, and a store that loses writes.

    Attributes
    ----------
    nodes : dict of int to str
        Zones of the nodes by their numbers.
    servers : dict of str to BackendStandIn
        Backend servers by zone.

    """

    def __init__(self, cluster, nodes, regions):
        """Start the servers and the nodes."""
        self.cluster = cluster
        zones = _ZONES[regions]
        cluster.zones = zones
        self.nodes = {
            number + 1: zones[number % len(zones)] for number in range(nodes)
        }
        self.servers = {zone: BackendStandIn() for zone in zones}
        for zone, server in self.servers.items():
            cluster.register(f'in-{zone}', server, zone)
        for number in self.nodes:
            self.start(number)
        assert wait_for(lambda: all(map(is_ready, self.nodes)))
        assert wait_for(
            lambda: all(
                len(node.peers.list_connected()) == nodes - 1
                for node in cluster.nodes.values()
            )
        )

    def start(self, number):
        """Start a node."""
        seeds = tuple(self.nodes)[:_MAX_SEEDS]
        self.cluster.add_node(number, self.nodes[number], seeds)

    def restart(self, numbers, path):
        """Let nodes crash and start them again; return their callers."""
        for number in numbers:
            self.cluster.nodes[number].kill()
        callers = EagerCallers(numbers, path)
        for number in numbers:
            self.start(number)
        return callers

    def select(self, restarted):
        """Return the numbers of the nodes to restart."""
        last = max(self.nodes)
        return {
            'one': [last],
            'zone': [
                number
                for number, zone in self.nodes.items()
                if zone == self.nodes[last]
            ],
            'region': [
                number
                for number, zone in self.nodes.items()
                if zone[:-1] == self.nodes[last][:-1]
            ],
            'all but one': list(self.nodes)[1:],
        }[restarted]

    def stop(self):
        """Stop the servers; the cluster stops the nodes."""
        for each in self.servers.values():
            each.stop()


def lose_writes(cluster, count, write=bool, away_seconds=1.0, while_away=bool):
    """Let the store lose its last writes; return when it is back.

    All nodes that are not isolated know the last write before.

    Parameters
    ----------
    cluster : Cluster
        Runs the nodes and the store.
    count : int
        Number of revisions that are lost, apart from those of `write`.
    write : callable, optional
        Writes more that is lost.
    away_seconds : float, optional
        How long the store answers nothing before it is back.
    while_away : callable, optional
        Called while the store is away.

    """
    store = cluster.store
    copy = store.copy_state()
    write()
    for number in range(count):
        store.put(_MARKER, build_marker(number))
    isolated = cluster.partition.isolated
    reached = [
        node
        for node in cluster.nodes.values()
        if node.fleet.own_state.address not in isolated
    ]
    assert wait_for(lambda: all(map(has_marker, reached)))
    store.go_away()
    ends = time.monotonic() + away_seconds
    while_away()
    time.sleep(max(ends - time.monotonic(), 0))
    store.restore(copy)
    return time.monotonic()


def build_marker(number):
    """Return the entry of a server of another service, unlike others."""
    entry = {
        'service': 'other',
        'address': f'127.0.0.1:{20000 + number}',
        'zone': 'north-a',
        'version': 'v1',
        'slots': 1,
        'state': 'ready',
        'cold_left_ms': 0,
        'sequence': number,
        'born': int(time.time() * 1000),
    }
    return json.dumps(entry).encode()


def has_marker(node):
    """Return whether a node knows the server that is lost with the writes."""
    return node.registry.find('marker') is not None


def count_reads(store):
    """Return how many calls have read a first page of all items."""
    return sum(
        'kv-range' in call and 'after=&' in f'{call}&' for call in store.calls
    )
