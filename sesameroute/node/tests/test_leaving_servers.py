"""Tests of nodes with backend servers that say themselves that they leave.

The entry of such a server stays unchanged.
"""

import time
from collections import namedtuple
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest

from sesameroute.node.tests.callers import Callers
from sesameroute.node.tests.cluster import (
    METRICS_PORT,
    call,
    is_ready,
    send,
    wait_for,
)
from sesameroute.node.tests.partition import Cut

# The bound as it is stated: no request that is sent later than this after a
# node has passed on the first such answer.
_DRAIN_SECONDS = 2.0
_OBSERVED_SECONDS = 1.5
_LEAVING = 'Server-Leaving: 1\r\n'
_NOT_RUN = 'Sesameroute-Not-Run: 1\r\n'
_NAME, _INCARNATION = 'server-0', 7
# Part of the requests that is served at the least, as in other tests.
_MIN_SERVED = 0.9

Word = namedtuple('Word', ('status', 'headers'))

_WORDS = {
    'success': Word(200, _LEAVING),
    'refusal': Word(503, _LEAVING + _NOT_RUN),
    'failure': Word(500, _LEAVING),
}


@pytest.fixture
def callers_of():
    """Return a function that starts callers; they stop with the test."""
    started = []

    def start(numbers):
        started.append(Callers(numbers))
        return started[-1]

    yield start
    for each in started:
        each.stop()


def leave(server, word='success'):
    """Let a server say that it leaves; return since when."""
    server.status, server.headers = _WORDS[word]
    return time.monotonic()


def list_late(server, said_at):
    """Return the requests that came later than allowed after the word."""
    answered = [each for each in server.answer_times if each >= said_at]
    assert answered
    late_from = answered[0] + _DRAIN_SECONDS
    return [each for each in server.arrivals if each.time > late_from]


def is_known(node, incarnation=_INCARNATION):
    """Return whether a node sends the first server nothing more."""
    return node.registry.announcements.is_leaving(_NAME, incarnation)


def are_informed(cluster):
    """Return whether all nodes know it within the stated time."""
    return wait_for(
        lambda: all(map(is_known, cluster.nodes.values())), _DRAIN_SECONDS
    )


def find_address(cluster, number):
    """Return the address of a node."""
    node = cluster.nodes[number]
    return node.settings.node.address


def compute_served(callers, since):
    """Return the part of the requests that was served since a time."""
    statuses = [each.status for each in callers.answers if each.time >= since]
    return statuses.count(200) / len(statuses)


@pytest.mark.parametrize('is_store_away', [False, True])
@pytest.mark.parametrize('numbers', [(1,), (1, 2, 3)])
@pytest.mark.parametrize(
    ('word', 'kind', 'work_seconds'),
    [
        ('success', 'safe', 0.01),
        ('success', 'unsafe', 0.15),
        ('refusal', 'safe', 0.15),
        ('refusal', 'unsafe', 0.01),
        ('failure', 'safe', 0.01),
        ('failure', 'unsafe', 0.01),
        ('success', 'download', 0.01),
    ],
)
def test_leaving_server_gets_no_request(
    cluster,
    servers,
    callers_of,
    word,
    kind,
    work_seconds,
    numbers,
    is_store_away,
):
    """Nodes sent on as if the server had said nothing."""
    for each in servers:
        each.work_seconds = work_seconds
    cluster.configure(kind=kind)
    cluster.start_nodes(*numbers)
    callers = callers_of(numbers)
    time.sleep(1)
    if is_store_away:
        cluster.store.go_away()
    said_at = leave(servers[0], word)
    time.sleep(_DRAIN_SECONDS + _OBSERVED_SECONDS)
    callers.stop()
    assert not list_late(servers[0], said_at)
    assert are_informed(cluster)
    if word != 'failure':
        assert compute_served(callers, said_at) >= _MIN_SERVED


def test_leaving_server_gets_no_request_while_leaders_change(
    cluster, servers, callers_of
):
    """New leaders and nodes that start later know it from their peers."""
    numbers = (1, 2, 3, 4)
    cluster.start_nodes(*numbers)
    callers = callers_of(numbers)
    time.sleep(1)
    cluster.store.go_away()
    said_at = leave(servers[0])
    time.sleep(_DRAIN_SECONDS)
    leader = cluster.nodes[1].fleet.find_leader('s', 'north')
    lost = int(leader.rpartition('.')[2])
    cluster.nodes[lost].kill()
    time.sleep(1)
    for number in (lost, 5):
        cluster.add_node(number, seeds=numbers)
        assert wait_for(partial(is_ready, number))
    callers.numbers.append(5)
    assert are_informed(cluster)
    time.sleep(_OBSERVED_SECONDS)
    callers.stop()
    assert not list_late(servers[0], said_at)


@pytest.mark.parametrize('is_store_away', [False, True])
def test_relayed_answer_says_that_the_server_leaves(
    cluster, servers, callers_of, is_store_away
):
    """A node sent to the server itself as soon as it could again."""
    cluster.start_nodes(1, 2)
    cluster.wires[1].apply(Cut.RESET)
    reachability = cluster.nodes[1].allocator.reachability
    assert wait_for(lambda: send(1)[0] and reachability.is_cut_off_)
    if is_store_away:
        cluster.store.go_away()
    callers = callers_of((1,))
    time.sleep(0.5)
    said_at = leave(servers[0])
    assert wait_for(lambda: servers[0].answer_times[-1] >= said_at)
    assert are_informed(cluster)
    cluster.wires[1].heal()
    assert wait_for(lambda: not reachability.is_cut_off_)
    time.sleep(_DRAIN_SECONDS + _OBSERVED_SECONDS)
    callers.stop()
    assert not list_late(servers[0], said_at)
    senders = {each.node for each in servers[1].arrivals[-9:]}
    assert senders == {find_address(cluster, 1)}


def test_server_that_starts_again_is_not_leaving(cluster, servers, callers_of):
    """The word was for one incarnation, not for the name or the address."""
    cluster.start_nodes(1, 2, 3)
    callers = callers_of((1, 2, 3))
    time.sleep(0.5)
    leave(servers[0])
    assert wait_for(lambda: all(map(is_known, cluster.nodes.values())))
    time.sleep(0.5)
    servers[0].arrivals.clear()
    servers[0].headers = ''
    cluster.register(_NAME, servers[0], incarnation=_INCARNATION + 1)
    assert wait_for(lambda: servers[0].arrivals)
    for node in cluster.nodes.values():
        usable = partial(node.registry.may_receive_requests, _NAME)
        assert wait_for(partial(usable, _INCARNATION + 1))
    said_at = leave(servers[0])
    time.sleep(_DRAIN_SECONDS + _OBSERVED_SECONDS)
    callers.stop()
    assert not list_late(servers[0], said_at)


def test_entry_that_lapses_does_not_withdraw_the_word(
    cluster, servers, callers_of
):
    """The entry of a server that leaves may be written again as it was."""
    node = cluster.add_node(1)
    assert wait_for(lambda: is_ready(1) and len(node.registry) == 3)
    callers = callers_of((1,))
    said_at = leave(servers[0])
    assert wait_for(partial(is_known, node))
    cluster.store.remove(f'servers/{_NAME}')
    assert wait_for(lambda: len(node.registry) == 2)
    time.sleep(_DRAIN_SECONDS)
    cluster.register(_NAME, servers[0])
    assert wait_for(lambda: len(node.registry) == 3)
    time.sleep(_OBSERVED_SECONDS)
    callers.stop()
    assert not list_late(servers[0], said_at)


def test_running_requests_end_at_a_leaving_server(cluster, servers):
    """Only new requests go elsewhere."""
    cluster.configure(kind='unsafe', timeout_ms=3000)
    cluster.start_nodes(1, 2)
    for each in servers:
        each.work_seconds = 1
    threads = ThreadPoolExecutor()
    running = [threads.submit(send, number) for number in (1, 2) * 3]
    assert wait_for(lambda: sum(len(each.arrivals) for each in servers) == 6)
    for each in servers:
        each.work_seconds = 0.01
    leave(servers[0])
    assert wait_for(
        lambda: (
            send(1, key=str(time.monotonic())) and is_known(cluster.nodes[1])
        )
    )
    assert not any(each.done() for each in running)
    assert {each.result() for each in running} == {(200, b'whole')}
    threads.shutdown()


def test_object_gets_its_next_home_at_once(cluster, servers):
    """The first request after the word runs at the next server already."""
    cluster.start_nodes(1, 2)
    assert send(1)[0] == 200
    home = next(each for each in servers if each.arrivals)
    leave(home)
    assert send(1)[0] == 200
    known_at = time.monotonic()
    for _ in range(6):
        assert send(1)[0] == 200
    assert not any(each.time > known_at for each in home.arrivals)
    others = [each for each in servers if each is not home]
    assert sum(len(each.arrivals) for each in others) == 6


def test_without_any_other_server_requests_are_refused_at_once(
    cluster, servers, callers_of
):
    """Requests that nothing can run do not wait until their deadline."""
    cluster.start_nodes(1, 2)
    callers = callers_of((1, 2))
    time.sleep(0.5)
    for each in servers:
        leave(each)
    time.sleep(_DRAIN_SECONDS)
    since = time.monotonic()
    time.sleep(1)
    callers.stop()
    late = [each for each in callers.answers if each.time >= since]
    assert {each.status for each in late} == {503}
    refused = sorted(each.seconds for each in late)
    assert refused[len(refused) * 9 // 10] < 0.1
    assert not any(
        arrival.time >= since for each in servers for arrival in each.arrivals
    )


def test_log_and_metrics_say_whose_word_it_is(cluster, servers, caplog):
    """Nothing told which of two sources said that a server leaves."""
    caplog.set_level('INFO')
    cluster.start_nodes(1, 2)
    leave(servers[0])
    for count in range(24):
        send(1, key=str(count))
    assert are_informed(cluster)
    first = find_address(cluster, 1)
    sources = [
        (each.backend, each.source)
        for each in caplog.records
        if each.msg == 'backend server leaving'
    ]
    assert sources == [(_NAME, '-'), (_NAME, first)]
    for number, source in ((1, '-'), (2, first)):
        assert 0 <= read_age(number, source) <= 2 * _DRAIN_SECONDS
    cluster.register(_NAME, servers[0], incarnation=_INCARNATION + 1)
    assert wait_for(lambda: read_age(1, '-') == read_age(2, first) == -1)


def read_age(number, source):
    """Return a node's gauge of the first server."""
    text = call(number, METRICS_PORT, '/')[2].decode()
    series = f'sesame_backend_leaving_seconds{{backend="{_NAME}",source='
    found = [
        line.rpartition(' ')[2]
        for line in text.splitlines()
        if line.startswith(f'{series}"{source}"}}')
    ]
    return float(found[0])
