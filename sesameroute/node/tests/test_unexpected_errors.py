"""Tests of nodes that meet malformed documents and unexpected errors."""

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import is_ready, send, wait_for

_DEEP_DOCUMENT = b'{"a":' * 50_000


@pytest.fixture
def server(cluster):
    """Return a registered backend server."""
    running = BackendStandIn()
    cluster.register('server', running)
    yield running
    running.stop()


@pytest.mark.parametrize(
    'key',
    ['servers/deep', 'op/config', 'sesameroute/members/deep'],
)
def test_deep_document_does_not_end_the_watch(cluster, server, key):
    """A document nested too deeply ended the thread that reads the store."""
    cluster.add_node(1)
    assert wait_for(lambda: is_ready(1))
    cluster.store.put(key, _DEEP_DOCUMENT)
    cluster.configure(prefix='/b/')
    assert wait_for(lambda: send(1, '/b/x')[0] == 200)


def fail_once(owner, name, failures):
    """Let a method raise an unexpected error at its next call."""
    method = getattr(owner, name)

    def fail(*arguments, **options):
        if name not in failures:
            failures.append(name)
            raise KeyError('unexpected')
        return method(*arguments, **options)

    setattr(owner, name, fail)


def test_unexpected_errors_end_no_thread(cluster, server, caplog):
    """One unexpected error ended the thread that sends heartbeats."""
    node = cluster.add_node(1)
    assert wait_for(lambda: is_ready(1))
    failures = []
    fail_once(node.registry, 'expire', failures)
    fail_once(node.fleet, 'list_dial_addresses', failures)
    fail_once(node.peers.streams, 'list_streams', failures)
    assert wait_for(lambda: len(failures) == 3)
    cluster.add_node(2, seeds=[1])
    assert wait_for(lambda: len(node.fleet.list_live()) == 2)
    cluster.configure(prefix='/b/')
    assert wait_for(lambda: send(1, '/b/x')[0] == 200)
    cluster.nodes[2].kill()
    assert wait_for(lambda: len(node.fleet.list_live()) == 1)
    logged = {
        record.activity
        for record in caplog.records
        if record.msg == 'unexpected error'
    }
    assert logged == {'pool update', 'heartbeat', 'peer streams'}
