"""Tests of requests that a cut node passes on, while other things fail."""

import contextlib
import itertools
import socket
import threading
import time
from functools import partial

import pytest

from sesameroute.forward.tests.harness import earn_retries
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.forward.tests.test_odd_statuses import (
    ODD_STATUSES,
    answer_with,
)
from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    call,
    send,
    wait_for,
)
from sesameroute.node.tests.partition import Cut, PartitionableWire
from sesameroute.placement import Reason, Refusal


@pytest.fixture
def servers(cluster):
    """Return registered backend servers."""
    running = [BackendStandIn() for _ in range(4)]
    for number, each in enumerate(running):
        zone = 'south-a' if number == 3 else 'north-a'
        cluster.register(f'server-{number}', each, zone)
    yield running
    for each in running:
        each.stop()


def cut_off(cluster, *numbers, path='/a/before'):
    """Cut nodes off and wait until they know it."""
    for number in numbers:
        cluster.wires[number].apply(Cut.RESET)
    for number in numbers:
        assert wait_for(partial(is_cut_off, cluster.nodes[number], path))


def is_cut_off(node, path):
    """Return whether a node knows that it is cut off, after a request."""
    number = int(node.settings.node.address.rpartition('.')[2])
    send(number, path)
    return node.allocator.reachability.is_cut_off_


def list_senders(servers, path):
    """Return the last part of the address of each node that sent a request."""
    return [
        int(arrival.node.rpartition('.')[2])
        for each in servers
        for arrival in each.arrivals
        if arrival.target == path
    ]


def send_in_background(number, path, results):
    """Send a request; its status and body are added to the results."""
    sending = threading.Thread(
        target=lambda: results.append(send(number, path))
    )
    sending.start()
    return sending


def sends_itself(servers, number):
    """Return whether a node serves a request without the help of others."""
    path = f'/a/own-{number}'
    is_served = send(number, path)[0] == 200
    return is_served and list_senders(servers, path)[-1] == number


def test_caller_that_leaves_cancels_its_request(cluster):
    """The request of a caller that had left ran on behind the second node."""
    running = [ScriptedServer('silent') for _ in range(3)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    cluster.configure(timeout_ms=4000)
    cluster.start_nodes(1, 2)
    cut_off(cluster, 1)
    address = f'{NETWORK_PREFIX}.1', FRONT_PORT
    with contextlib.closing(socket.create_connection(address)) as caller:
        caller.sendall(b'GET /a/left HTTP/1.1\r\nHost: h\r\n\r\n')
        assert wait_for(
            lambda: any('/a/left' in ''.join(each.heads) for each in running)
        )
    assert wait_for(lambda: any(each.closed.is_set() for each in running), 1)


@pytest.mark.parametrize(
    ('kind', 'statuses', 'runs'),
    [('safe', {200}, 2), ('unsafe', {502, 504}, 1)],
)
def test_lost_peer_may_have_run_the_request(
    cluster, servers, kind, statuses, runs
):
    """What a lost peer had sent runs again only if it may."""
    cluster.configure(kind=kind, timeout_ms=1900)
    cluster.start_nodes(1, 2, 3)
    wire = PartitionableWire()
    forwarder = cluster.nodes[1]._node_servers.forwarder
    forwarder.relay_.sender.connections.wire = wire
    earn_retries(forwarder.guards.retries)
    cut_off(cluster, 1)
    for each in servers:
        each.work_seconds = 0.5
    results = []
    sending = send_in_background(1, '/a/lost', results)
    assert wait_for(lambda: list_senders(servers, '/a/lost'))
    wire.close()
    sending.join()
    assert results[0][0] in statuses
    assert len(list_senders(servers, '/a/lost')) == runs


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
@pytest.mark.parametrize('status', ODD_STATUSES)
def test_status_that_is_none_is_not_passed_on(cluster, status, kind):
    """The peer that asked the server says that it may have run."""
    server = ScriptedServer(answer_with(status))
    cluster.register('server', server)
    cluster.configure(kind=kind, max_attempts=1, timeout_ms=1900)
    cluster.start_nodes(1, 2)
    cut_off(cluster, 1)
    sent = {'Host': 'h', 'Sesameroute-Attempt-Id': 'mine'}
    answered, headers, body = call(1, FRONT_PORT, '/a/odd', sent)
    assert (answered, body) == (502, b'lost\n')
    assert 'server-seal' not in str(headers.items()).lower()
    paths = [head.split()[1] for head in server.heads]
    assert paths.count('/a/odd') == 1
    server.stop()


def test_refusal_of_a_peer_does_not_deny_an_earlier_run(cluster, servers):
    """A request that had run was told as not run by a second node."""
    cluster.configure(timeout_ms=1900, max_attempts=4)
    cluster.start_nodes(1, 2)
    cluster.nodes[2].allocator.place = lambda _request: Refusal(
        Reason.NO_ROOM, 0.1
    )
    for each in servers:
        each.work_seconds = 0.5
    results = []
    sending = send_in_background(1, '/a/ran', results)
    assert wait_for(lambda: list_senders(servers, '/a/ran'))
    cluster.wires[1].apply(Cut.HANG)
    sending.join()
    assert is_cut_off(cluster.nodes[1], '/a/later')
    assert list_senders(servers, '/a/ran') == [1]
    assert results[0][0] in {502, 504}
    assert send(1, '/a/not-run')[0] == 503


def test_stopping_peer_finishes_what_it_was_passed(cluster, servers):
    """A planned stop cut the requests of other nodes' callers."""
    cluster.configure(kind='unsafe', timeout_ms=1900)
    cluster.start_nodes(1, 2, 3)
    cut_off(cluster, 1)
    for each in servers:
        each.work_seconds = 1
    results = []
    sending = send_in_background(1, '/a/stop', results)
    assert wait_for(lambda: list_senders(servers, '/a/stop'))
    peer = list_senders(servers, '/a/stop')[0]
    stopping = threading.Thread(target=cluster.nodes[peer].stop)
    stopping.start()
    time.sleep(0.2)
    for each in servers:
        each.work_seconds = 0.01
    late = send(1, '/a/late')
    sending.join()
    stopping.join()
    assert [results[0][0], late[0]] == [200, 200]
    assert list_senders(servers, '/a/late') == [5 - peer]


def test_cut_node_passes_requests_to_permitted_regions_only(cluster, servers):
    """A request was passed on to a region that may not see it."""
    cluster.configure(allowed_regions=['south'])
    for number, zone in {1: 'north-a', 2: 'north-a', 3: 'south-a'}.items():
        cluster.add_node(number, zone, (1, 2, 3))
    assert wait_for(lambda: len(cluster.nodes[1].fleet.list_live()) == 3)
    cut_off(cluster, 1)
    assert wait_for(lambda: send(1, '/a/home')[0] == 200)
    assert set(list_senders(servers, '/a/home')) == {3}


def test_peer_with_older_configuration_declines(cluster, servers):
    """A request ran as only an older configuration allowed."""
    cluster.start_nodes(1, 2, 3)
    cluster.nodes[2].active_configuration.apply_if_newer = lambda _new: False
    cluster.configure(prefix='/b/')
    assert wait_for(lambda: send(1, '/b/x')[0] == send(3, '/b/x')[0] == 200)
    cut_off(cluster, 1, path='/b/before')
    paths = [f'/b/{number}' for number in range(10)]
    assert {send(1, path)[0] for path in paths} == {200}
    for path in paths:
        assert list_senders(servers, path) == [3]


def test_nodes_that_are_all_cut_off_refuse_and_recover(cluster, servers):
    """Nodes that had all been cut off did not send again by themselves."""
    cluster.configure(kind='unsafe')
    cluster.start_nodes(1, 2)
    cut_off(cluster, 1, 2)
    time.sleep(0.5)
    assert {send(1, '/a/none')[0], send(2, '/a/none')[0]} == {503}
    assert not list_senders(servers, '/a/none')
    for wire in cluster.wires.values():
        wire.heal()
    for number in (1, 2):
        assert wait_for(partial(sends_itself, servers, number))


def test_server_that_ends_while_a_node_is_cut_off(cluster, servers):
    """A server that has really ended is suspended also during a cut."""
    cluster.start_nodes(1, 2, 3)
    cut_off(cluster, 1)
    servers[0].stop()
    started_at = time.monotonic()
    statuses = []
    while time.monotonic() < started_at + 3:
        for number in (1, 2, 3):
            key = str(len(statuses) % 24)
            statuses.append(send(number, f'/a/{len(statuses)}', key)[0])
    assert statuses.count(200) > 0.95 * len(statuses)
    pools = [list(node.allocator.pools) for node in cluster.nodes.values()]
    streaks = {
        state.failure_streak
        for state in itertools.chain.from_iterable(
            pool.states for pool in itertools.chain(*pools)
        )
        if state.name == 'server-0'
    }
    assert max(streaks) > 0
