"""Nodes go on when another writer leaves odd entries in the store."""

import threading
from collections import Counter

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    METRICS_PORT,
    NETWORK_PREFIX,
    call,
    send,
    wait_for,
)
from sesameroute.platform.tests.odd_entries import (
    BACKEND,
    CONFIGURATION,
    DEEP,
    DIGITS,
    MEMBER,
    NO_TEXT,
    write_json,
)

NUMBERS = (1, 2)
LARGE = b'x' * 1_000_000
ODD_ITEMS = {
    'elsewhere/large': LARGE,
    'elsewhere/larger': LARGE,
    'op/evacuate/odd': NO_TEXT,
    'servers/a-born': write_json(BACKEND | {'born': 10**400}),
    'servers/a-bytes': NO_TEXT,
    'servers/a-cold': write_json(BACKEND | {'cold_left_ms': 1e300}),
    'servers/a-deep': DEEP,
    'servers/a-digits': write_json(BACKEND | {'born': DIGITS}),
    'servers/a-fields': b'{}',
    'servers/a-large': LARGE,
    'servers/a-port': write_json(BACKEND | {'address': '127.0.0.1:65536'}),
    'servers/a-ports': write_json(
        BACKEND | {'address': f'127.0.0.1:{"9" * 5000}'}
    ),
    'servers/a-slots': write_json(BACKEND | {'slots': 10**30}),
    'servers/a"quote\n': write_json(BACKEND),
    'sesameroute/members/deep': DEEP,
    'sesameroute/members/host': write_json(MEMBER | {'ip': 'a' * 70}),
    'sesameroute/members/type': write_json(MEMBER | {'ip': 7}),
}
ODD_CONFIGURATIONS = (
    DEEP,
    NO_TEXT,
    write_json(CONFIGURATION | {'version': 'f' * 10_000}),
)
MAX_REASON_CHARACTERS = 300


@pytest.fixture
def server():
    """Return a backend server that isn't registered yet."""
    running = BackendStandIn()
    yield running
    running.stop()


@pytest.fixture
def ended_threads(monkeypatch):
    """Return the list of threads that have ended by an error."""
    ended = []
    monkeypatch.setattr(
        threading, 'excepthook', lambda arguments: ended.append(arguments)
    )
    return ended


def leave_odd_entries(store):
    """Write the odd entries, as another writer does."""
    for key, content in ODD_ITEMS.items():
        store.put(key, content)
    for content in ODD_CONFIGURATIONS:
        store.put('op/config', content)


def serves(prefix):
    """Return whether all nodes serve a prefix."""
    return all(send(number, f'{prefix}x')[0] == 200 for number in NUMBERS)


def read_metrics(number):
    """Return the text of a node's metrics."""
    return call(number, METRICS_PORT, '/')[2].decode()


@pytest.mark.parametrize('way', ['watch', 'list', 'peer'])
def test_nodes_follow_the_store_after_odd_entries(
    cluster, server, ended_threads, caplog, way
):
    """Everything that is written with and after them is taken."""
    if way == 'list':
        leave_odd_entries(cluster.store)
        cluster.configure(prefix='/b/')
    cluster.start_nodes(*NUMBERS)
    if way == 'peer':
        cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.2')
    if way != 'list':
        leave_odd_entries(cluster.store)
        cluster.configure(prefix='/b/')
    cluster.register('good', server)
    assert wait_for(lambda: serves('/b/'))
    cluster.configure(prefix='/c/')
    assert wait_for(lambda: serves('/c/'))
    assert wait_for(
        lambda: all(
            len(node.peers.list_connected()) == len(NUMBERS) - 1
            for node in cluster.nodes.values()
        )
    )
    for number in NUMBERS:
        assert 'ignored_items_total{kind="backend"}' in read_metrics(number)
    assert not ended_threads
    ignored = [each for each in caplog.records if each.msg == 'item not valid']
    reasons = [record.why for record in ignored]
    assert max(map(len, reasons)) < MAX_REASON_CHARACTERS
    lines = Counter(record.key for record in ignored)
    for key, content in ODD_ITEMS.items():
        # An item that is too large reaches only the nodes that read the store.
        expected = {0} if key.startswith('op/') else {len(NUMBERS)}
        assert lines[key] in ({1, 2} if content is LARGE else expected)


def test_odd_configuration_is_not_held_after_a_restore(cluster, server, caplog):
    """One with a high version was held against all later ones."""
    cluster.register('good', server)
    cluster.start_nodes(*NUMBERS)
    assert wait_for(lambda: serves('/a/'))
    state = cluster.store.copy_state()
    cluster.store.put('op/config', write_json({'version': 'ffffffff'}))
    assert wait_for(
        lambda: (
            [each.msg for each in caplog.records].count('item not valid')
            == len(NUMBERS)
        )
    )
    cluster.store.restore(state)
    cluster.configure(prefix='/b/')
    assert wait_for(lambda: serves('/b/'))
    cluster.configure(prefix='/c/')
    assert wait_for(lambda: serves('/c/'))


def test_number_too_large_ends_no_peer_stream(cluster, server, ended_threads):
    """Grants for a server with such an entry ended the streams' threads."""
    good_server = BackendStandIn()
    cluster.register('good', good_server)
    cluster.register('odd', server, incarnation=10**400)
    cluster.start_nodes(*NUMBERS)
    assert wait_for(lambda: serves('/a/'))
    streams = [
        each.peers.streams.list_streams() for each in (cluster.nodes.values())
    ]
    answers = [
        send(number, key=str(key))[0] for key in range(30) for number in NUMBERS
    ]
    assert answers == [200] * len(answers)
    assert not server.arrivals
    cluster.register('odd', server, incarnation=8)
    assert wait_for(lambda: serves('/a/') and server.arrivals)
    assert not ended_threads
    assert streams == [
        each.peers.streams.list_streams() for each in cluster.nodes.values()
    ]
    good_server.stop()
