"""Tests of nodes whose copy of the store is older than that of others."""

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    NETWORK_PREFIX,
    is_ready,
    send,
    wait_for,
)


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
