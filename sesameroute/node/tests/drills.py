"""A store that goes away and comes back from an older copy, for tests."""

import json
import time

from sesameroute.node.tests.cluster import wait_for

_MARKER = 'servers/marker'


def lose_writes(cluster, count, write=bool, away_seconds=1.0, while_away=bool):
    """Let the store lose its last writes; return when it is back.

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
    assert wait_for(lambda: all(map(has_marker, cluster.nodes.values())))
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
