"""Tests of nodes whose copy of the store is older than that of others."""

import time
from functools import partial

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    NETWORK_PREFIX,
    is_ready,
    send,
    wait_for,
)

_TOPIC = 'store-watch'
# The bounds as they are stated, in seconds.
_CONTACT_SECONDS = 3.0
_APPLY_SECONDS = 2.0


@pytest.fixture
def servers(cluster):
    """Return two registered backend servers."""
    running = [BackendStandIn() for _ in range(2)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


@pytest.fixture
def rejected(cluster, servers):
    """Return the second of two nodes; the store rejects it."""
    cluster.start_nodes(1, 2)
    node = cluster.nodes[2]
    assert wait_for(lambda: is_ready(2) and len(node.registry) == 2)
    cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.2')
    return node


def test_node_learns_from_peers_what_it_missed_while_cut_off(cluster, rejected):
    """A server that had left was used again while the store was down."""
    peers = rejected.peers
    list_connected = peers.list_connected
    rejected._store.mirror.apply = lambda _update, _now: True
    peers.list_connected = tuple
    cluster.store.remove('servers/server-0')
    assert wait_for(lambda: len(cluster.nodes[1].registry) == 1)
    cluster.store.stop()
    del rejected._store.mirror.apply
    peers.list_connected = list_connected
    assert wait_for(lambda: len(rejected.registry) == 1)
    assert {send(2, key=str(key))[0] for key in range(8)} == {200}


def test_missed_update_is_replaced_by_a_copy(cluster, rejected):
    """The copy that a node asked for after a gap was never sent."""
    mirror = rejected._store.mirror
    mirror.apply = lambda _update, _now: True
    cluster.store.remove('servers/server-0')
    assert wait_for(lambda: len(cluster.nodes[1].registry) == 1)
    del mirror.apply
    cluster.configure(prefix='/b/')
    assert wait_for(lambda: send(2, '/b/x')[0] == 200)
    assert wait_for(lambda: len(rejected.registry) == 1)


def is_verified_since(mirror, since):
    """Return whether a copy was found to be up to date after a time."""
    return mirror.verified_at_ > since


def test_changes_arrive_in_time_without_the_first_watchers(cluster, servers):
    """The only node with a path to the store paused between two watches."""
    numbers = (1, 2, 3, 4)
    cluster.start_nodes(*numbers)
    reading = max(
        cluster.nodes.values(), key=lambda node: node.fleet.find_rank(_TOPIC)
    )
    address = reading.settings.node.address
    cluster.store.rejected_clients.update(
        f'{NETWORK_PREFIX}.{one}' for one in numbers
    )
    cluster.store.rejected_clients.remove(address)
    time.sleep(_CONTACT_SECONDS)
    mirror = reading._store.mirror
    for prefix in ('/b/', '/c/', '/d/'):
        assert wait_for(partial(is_verified_since, mirror, time.monotonic()))
        cluster.configure(prefix=prefix)
        time.sleep(_APPLY_SECONDS)
        statuses = [send(one, f'{prefix}x')[0] for one in numbers]
        assert statuses == [200] * len(numbers)
