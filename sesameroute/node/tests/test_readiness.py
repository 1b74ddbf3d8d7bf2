"""Tests that a node says it is ready only while it answers callers."""

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    METRICS_PORT,
    call,
    is_ready,
    resolve,
    send,
    wait_for,
)

_CONTACT_SECONDS = 3


@pytest.fixture
def server(cluster):
    """Return the only backend server."""
    running = BackendStandIn()
    cluster.register('server', running)
    yield running
    running.stop()


def end_front(node):
    """Let the server for callers end while the rest of the node goes on."""
    node._node_servers.servers[0].stop()


def test_node_whose_front_has_ended_is_not_ready(cluster, server):
    """A node that refused every connection said that it was ready."""
    cluster.start_nodes(1, 2, 3)
    assert wait_for(lambda: is_ready(1))
    end_front(cluster.nodes[1])
    assert wait_for(lambda: not is_ready(1), _CONTACT_SECONDS)
    assert wait_for(lambda: len(resolve(2)) == 2, _CONTACT_SECONDS)


def test_idle_node_stays_ready(cluster, server):
    """A node that nobody asks has to stay ready."""
    cluster.start_nodes(1, 2)
    assert not wait_for(
        lambda: not (is_ready(1) and len(resolve(2)) == 2),
        _CONTACT_SECONDS + 1,
    )


def test_directory_goes_on_when_most_nodes_do_not_answer(cluster, server):
    """If most nodes fail the check, it may be the check that fails."""
    cluster.start_nodes(1, 2, 3)
    for number in (1, 2):
        end_front(cluster.nodes[number])
    assert wait_for(lambda: not is_ready(1) and not is_ready(2), 6)
    assert wait_for(lambda: len(resolve(3)) == 3, _CONTACT_SECONDS)


def test_metrics_tell_a_busy_front_from_one_without_callers(cluster, server):
    """No metric told an overloaded node from one that nobody asks."""
    cluster.add_node(1)
    assert wait_for(lambda: send(1)[0] == 200)
    page = call(1, METRICS_PORT, '/metrics')[2].decode()
    for name in ('is_accepting', 'connections_accepted'):
        assert f'sesame_front_{name} 0' not in page
        assert f'sesame_front_{name}' in page
    for name in ('connections_waiting', 'threads_busy'):
        assert f'sesame_front_{name}' in page
