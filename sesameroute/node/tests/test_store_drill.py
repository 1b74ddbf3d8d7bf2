"""Tests of nodes whose store comes back from a copy some seconds old."""

import time

import pytest

from sesameroute.node.tests.backends import BackendStandIn, count_since
from sesameroute.node.tests.callers import Callers
from sesameroute.node.tests.cluster import NETWORK_PREFIX, send, wait_for
from sesameroute.node.tests.drills import count_reads, lose_writes

# The bounds as they are stated, in seconds.
_CONTACT_SECONDS = 3.0
_APPLY_SECONDS = 2.0
_DRAIN_SECONDS = 2.0
_EVACUATE_SECONDS = 5.0
# What still exists is written again within this time.
_REWRITE_SECONDS = 2.0
_ZONES = ('north-a', 'north-b', 'north-a', 'north-b')


@pytest.fixture
def servers(cluster):
    """Return registered backend servers in two zones."""
    running = [BackendStandIn() for _ in _ZONES]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each, _ZONES[number])
    yield running
    for each in running:
        each.stop()


@pytest.mark.parametrize(
    ('nodes', 'lost', 'drills'),
    [(1, 60, 1), (3, 1, 1), (3, 60, 1), (3, 500, 2), (7, 60, 1)],
)
def test_what_is_written_after_a_restore_is_in_force(
    cluster, servers, added, nodes, lost, drills
):
    """Nodes compared revisions of the restored store with those before."""
    numbers = range(1, nodes + 1)
    cluster.start_nodes(*numbers)
    callers = Callers(numbers)
    reads = count_reads(cluster.store)
    for _ in range(drills):
        lose_writes(cluster, lost)
        time.sleep(_CONTACT_SECONDS)
    cluster.configure(prefix='/b/', service='s')
    cluster.register('server-0', servers[0], state='draining')
    cluster.store.remove('servers/server-1')
    cluster.register('added', added)
    time.sleep(max(_APPLY_SECONDS, _DRAIN_SECONDS))
    callers.stop()
    since = time.monotonic()
    statuses = [
        send(number, '/b/x', key=str(key))[0]
        for number in numbers
        for key in range(24)
    ]
    assert set(statuses) == {200}
    assert {send(number, '/a/x')[0] for number in numbers} == {404}
    assert count_since(servers[0], since) == 0
    assert count_since(servers[1], since) == 0
    assert count_since(added, since) > 0
    # One full read for each restore and node that watches the store.
    assert count_reads(cluster.store) - reads <= drills * nodes


@pytest.mark.parametrize('restarted', ['none', 'before', 'at-once', 'later'])
def test_nothing_goes_back_by_a_restore(cluster, servers, added, restarted):
    """The old copy undid a configuration, a drain and evacuations.

    Neither does a node that knows nothing else bring them back.
    """
    numbers = (1, 2, 3)
    cluster.store.put('op/evacuate/south-a', b'{}')

    def write():
        cluster.configure(prefix='/b/')
        cluster.register('server-0', servers[0], state='draining')
        cluster.store.put('op/evacuate/north-b', b'{}')
        cluster.store.remove('op/evacuate/south-a')
        cluster.register('added', added)

    def restart():
        cluster.nodes[3].kill()
        cluster.add_node(3, seeds=numbers)

    cluster.start_nodes(*numbers)
    if restarted == 'before':
        restart()
    returned_at = lose_writes(cluster, 60, write)
    if restarted == 'at-once':
        restart()
    cluster.register('added', added)
    time.sleep(1)
    if restarted == 'later':
        restart()
    time.sleep(max(returned_at + _CONTACT_SECONDS - time.monotonic(), 0))
    since = time.monotonic()
    while time.monotonic() < since + _EVACUATE_SECONDS:
        for number in numbers:
            assert send(number, '/b/x', key=str(time.monotonic()))[0] == 200
    assert {send(number, '/a/x')[0] for number in numbers} == {404}
    assert [count_since(each, since) for each in (servers[0], servers[1])] == [
        0,
        0,
    ]
    assert count_since(servers[3], since) == 0
    assert count_since(servers[2], since) > 0
    assert count_since(added, since) > 0
    evacuated = {node.registry.evacuated for node in cluster.nodes.values()}
    assert evacuated == {frozenset({'north-b'})}


def test_what_was_kept_ends_with_the_next_write(cluster, servers):
    """A node must not hold on to what the operator has written anew."""
    numbers = (1, 2, 3)
    cluster.start_nodes(*numbers)

    def write():
        cluster.configure(prefix='/b/')
        cluster.register('server-0', servers[0], state='draining')
        cluster.store.put('op/evacuate/north-b', b'{}')

    lose_writes(cluster, 60, write)
    cluster.store.put('op/evacuate/north-b', b'{}')
    cluster.configure(prefix='/c/')
    cluster.register('server-0', servers[0], incarnation=8)
    time.sleep(1)
    cluster.store.remove('op/evacuate/north-b')
    time.sleep(_CONTACT_SECONDS)
    since = time.monotonic()
    for key in range(96):
        assert send(1 + key % 3, '/c/x', key=str(key))[0] == 200
    assert all(count_since(each, since) for each in servers)


def test_servers_written_again_never_leave(cluster, servers, added):
    """Servers whose entries were lost are used until they are back."""
    cluster.start_nodes(1, 2, 3)
    returned_at = lose_writes(
        cluster, 60, lambda: cluster.register('added', added)
    )
    time.sleep(max(returned_at + _REWRITE_SECONDS - time.monotonic(), 0))
    assert all(
        node.registry.find('added').is_listed()
        for node in cluster.nodes.values()
    )
    cluster.register('added', added)
    ends = time.monotonic() + _CONTACT_SECONDS
    while time.monotonic() < ends:
        for node in cluster.nodes.values():
            entry = node.registry.find('added')
            assert entry is not None and entry.is_listed()
        time.sleep(0.02)


def test_servers_not_written_again_are_gone(cluster, servers, added):
    """A lost entry that no server writes again names no server."""
    cluster.start_nodes(1, 2, 3)
    returned_at = lose_writes(
        cluster, 60, lambda: cluster.register('added', added)
    )
    time.sleep(max(returned_at + _CONTACT_SECONDS - time.monotonic(), 0))
    since = time.monotonic()
    for key in range(96):
        assert send(1 + key % 3, key=str(key))[0] == 200
    assert count_since(added, since) == 0


def test_server_that_left_is_not_used_again(cluster, servers):
    """The old copy listed a server whose entry had been removed."""
    cluster.start_nodes(1, 2, 3)
    lose_writes(cluster, 60, lambda: cluster.store.remove('servers/server-0'))
    since = time.monotonic()
    ends = since + _CONTACT_SECONDS + _DRAIN_SECONDS
    key = 0
    while time.monotonic() < ends:
        key += 1
        assert send(1 + key % 3, key=str(key))[0] == 200
    assert count_since(servers[0], since) == 0
    cluster.register('server-0', servers[0], incarnation=8)
    assert wait_for(
        lambda: (
            send(1, key=str(time.monotonic()))
            and count_since(servers[0], since)
        )
    )


@pytest.mark.parametrize('has_peers', [True, False])
def test_cut_off_node_follows_a_restore(cluster, servers, has_peers):
    """A node of a zone that is cut off meanwhile has no other truth after."""
    cluster.start_nodes(1, 2, 3)
    cut = cluster.nodes[3]

    def write():
        cluster.store.put('op/evacuate/north-b', b'{}')
        assert wait_for(lambda: cut.registry.evacuated)
        if has_peers:
            cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.3')
        else:
            cluster.isolate(3)

    lose_writes(cluster, 1, write)
    cluster.store.put('op/evacuate/north-b', b'{}')
    cluster.configure(prefix='/b/')
    time.sleep(1)
    cluster.store.remove('op/evacuate/north-b')
    time.sleep(1)
    assert (send(3, '/b/x')[0] == 200) is has_peers
    cluster.store.rejected_clients.clear()
    cluster.rejoin()
    time.sleep(_CONTACT_SECONDS)
    assert send(3, '/b/x')[0] == 200
    time.sleep(_CONTACT_SECONDS)
    evacuated = {node.registry.evacuated for node in cluster.nodes.values()}
    assert evacuated == {frozenset()}


def test_nodes_are_listed_again_after_a_restore(cluster, servers):
    """Leases are lost with the writes, and their numbers given out again."""
    copy = cluster.store.copy_state()
    cluster.start_nodes(1, 2, 3)
    keys = {f'sesameroute/members/{NETWORK_PREFIX}.{one}' for one in (1, 2, 3)}
    assert wait_for(lambda: keys <= cluster.store.items.keys())
    cluster.store.restore(copy)
    cluster.store.open_lease(1000)
    assert wait_for(lambda: keys <= cluster.store.items.keys())
    leases = [cluster.store.items[key]['lease'] for key in keys]
    assert len(set(leases)) == len(keys)


def test_node_that_stops_follows_a_restore(cluster, servers):
    """A planned stop during a restore ends in order."""
    cluster.start_nodes(1, 2, 3)
    lose_writes(cluster, 60, away_seconds=0.2)
    cluster.nodes[3].stop()
    cluster.configure(prefix='/b/')
    time.sleep(_APPLY_SECONDS)
    assert {send(number, '/b/x')[0] for number in (1, 2)} == {200}


def test_nodes_that_all_restart_follow_a_restore(cluster, servers):
    """Nodes that know nothing of before take what the store has."""
    numbers = (1, 2, 3)
    cluster.start_nodes(*numbers)
    lose_writes(cluster, 60, lambda: cluster.configure(prefix='/b/'))
    for number in numbers:
        cluster.nodes[number].kill()
    cluster.start_nodes(*numbers)
    time.sleep(_CONTACT_SECONDS)
    cluster.configure(prefix='/c/')
    cluster.register('server-0', servers[0], state='draining')
    time.sleep(max(_APPLY_SECONDS, _DRAIN_SECONDS))
    since = time.monotonic()
    for key in range(48):
        assert send(1 + key % 3, '/c/x', key=str(key))[0] == 200
    assert count_since(servers[0], since) == 0


def test_restores_in_a_row_are_followed(cluster, servers):
    """The second restore comes before anything is written again."""
    numbers = (1, 2, 3)
    cluster.start_nodes(*numbers)
    lose_writes(cluster, 60, lambda: cluster.configure(prefix='/b/'))
    copy = cluster.store.copy_state()
    time.sleep(0.5)
    cluster.store.restore(copy)
    time.sleep(_CONTACT_SECONDS)
    assert {send(number, '/b/x')[0] for number in numbers} == {200}
    cluster.configure(prefix='/c/')
    time.sleep(_APPLY_SECONDS)
    assert {send(number, '/c/x')[0] for number in numbers} == {200}


@pytest.mark.parametrize('nodes', [3, 7])
def test_node_that_learns_from_peers_only_brings_nothing_back(
    cluster, servers, nodes
):
    """A node that starts cut off from the store after a restore.

    Peers told it what they hold before it had a copy of the store, and the
    copy that it then asked for came without.
    """
    numbers = tuple(range(1, nodes + 1))
    cluster.start_nodes(*numbers)

    def write():
        cluster.configure(prefix='/b/')
        cluster.register('server-0', servers[0], state='draining')
        cluster.store.put('op/evacuate/north-b', b'{}')

    lose_writes(cluster, 60, write)
    time.sleep(_CONTACT_SECONDS)
    started = numbers[-1]
    cluster.nodes[started].kill()
    cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.{started}')
    since = time.monotonic()
    node = cluster.add_node(started, seeds=numbers)
    assert wait_for(lambda: node.active_configuration.configuration)
    undone = []
    while time.monotonic() < since + 2 * _CONTACT_SECONDS:
        if send(started, '/a/x', key=str(time.monotonic()))[0] == 200:
            undone.append(round(time.monotonic() - since, 2))
        time.sleep(0.02)
    assert undone[:1] + undone[-1:] == []
    assert [count_since(each, since) for each in servers[:2]] == [0, 0]
    assert node.registry.evacuated == frozenset({'north-b'})


def test_server_not_written_again_is_gone_after_the_longest_pause(
    cluster, servers, added, monkeypatch
):
    """A single node had just begun its longest pause as the store was back."""
    monkeypatch.setattr(
        'sesameroute.mirror._watcher.random.uniform', lambda _low, high: high
    )
    cluster.start_nodes(1)
    returned_at = lose_writes(
        cluster,
        60,
        lambda: cluster.register('added', added),
        away_seconds=1.35,
    )
    time.sleep(max(returned_at + _CONTACT_SECONDS - time.monotonic(), 0))
    assert cluster.nodes[1].registry.find('added') is None
