"""Tests of nodes of earlier landings beside those of the present build.

Both run side by side while nodes are replaced one after the other.
"""

import time
from collections import Counter
from functools import partial

import pytest

from sesameroute.node.tests.backends import BackendStandIn, count_since
from sesameroute.node.tests.builds import (
    LANDINGS,
    count_backends,
    split_by_leader,
    start_builds,
    try_resolve,
)
from sesameroute.node.tests.callers import (
    DIRECTORY_SECONDS,
    Callers,
    EagerCallers,
    following_directory,
)
from sesameroute.node.tests.cluster import (
    NETWORK_PREFIX,
    is_ready,
    send,
    wait_for,
)
from sesameroute.node.tests.drills import lose_writes
from sesameroute.node.tests.partition import Cut

_NUMBERS = (1, 2, 3, 4)
# The bounds as they are stated, in seconds.
_CONTACT_SECONDS = 3.0
_APPLY_SECONDS = 2.0
_DRAIN_SECONDS = 2.0
_FORGET_SECONDS = _CONTACT_SECONDS + 3.0
_START_SECONDS = 10
_SERVERS = 5
_KEYS = 24


@pytest.fixture
def servers(cluster):
    """Return registered backend servers."""
    running = [BackendStandIn() for _ in range(_SERVERS)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


@pytest.fixture
def start_callers():
    """Return a function that starts callers, stopped after the test."""
    running = []

    def start():
        running.append(Callers(_NUMBERS))
        return running[-1]

    yield start
    for each in running:
        each.stop()


def list_senders(servers, path):
    """Return the number of each node that sent a request to a server."""
    return [
        int(arrival.node.rpartition('.')[2])
        for each in servers
        for arrival in each.arrivals
        if arrival.target == path
    ]


def change_entries(cluster, servers, added, prefix='/b/'):
    """Change the route and the states of servers; wait for the bounds."""
    cluster.configure(prefix=prefix)
    cluster.register('server-0', servers[0], state='draining')
    cluster.store.remove('servers/server-1')
    cluster.register('added', added)
    time.sleep(max(_APPLY_SECONDS, _DRAIN_SECONDS))


def check_entries(numbers, servers, added, prefix='/b/'):
    """Check that nodes act on the changed entries."""
    since = time.monotonic()
    statuses = {
        number: [
            send(number, f'{prefix}x', key=str(key))[0] for key in range(_KEYS)
        ]
        for number in numbers
    }
    assert statuses == dict.fromkeys(numbers, [200] * _KEYS)
    dropped = {number: send(number, '/a/x')[0] for number in numbers}
    assert dropped == dict.fromkeys(numbers, 404)
    unused = [count_since(each, since) for each in servers[:2]]
    assert unused == [0, 0]
    assert count_since(added, since) > 0


@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_directories_list_nodes_of_both_builds(
    cluster, earlier, servers, is_earlier_leading
):
    """A lost node of either build is forgotten by those of both."""
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    lost = time.monotonic()
    earlier.kill(olds[0])
    cluster.nodes.pop(news[0]).kill()
    left = {olds[1], news[1]}
    assert wait_for(
        lambda: all(len(try_resolve(one)) == 2 for one in left),
        lost + _FORGET_SECONDS - time.monotonic(),
    )
    assert {send(number)[0] for number in left} == {200}


@pytest.mark.parametrize('is_earlier_leading', [True, False])
@pytest.mark.parametrize('era', [None, 3])
def test_changed_entries_are_followed_by_both_builds(
    cluster, earlier, servers, added, start_callers, is_earlier_leading, era
):
    """The builds disagreed on the revisions of a store that names an era."""
    cluster.store.era = era
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    start_callers()
    change_entries(cluster, servers, added)
    check_entries(_NUMBERS, servers, added)


@pytest.mark.parametrize('is_earlier_cut', [True, False])
@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_half_without_store_follows_the_other(
    cluster,
    earlier,
    servers,
    added,
    start_callers,
    is_earlier_leading,
    is_earlier_cut,
):
    """Nodes that the store rejects hear of changes from the other build."""
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    start_callers()
    cluster.store.rejected_clients.update(
        f'{NETWORK_PREFIX}.{one}' for one in (olds if is_earlier_cut else news)
    )
    cluster.configure(prefix='/c/')
    time.sleep(_CONTACT_SECONDS)
    statuses = {number: send(number, '/c/x')[0] for number in _NUMBERS}
    assert statuses == dict.fromkeys(_NUMBERS, 200)
    change_entries(cluster, servers, added)
    check_entries(_NUMBERS, servers, added)


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
@pytest.mark.parametrize('is_earlier_cut', [True, False])
def test_half_without_servers_passes_requests_to_the_other(
    cluster, earlier, servers, is_earlier_cut, kind
):
    """Each build takes the requests that nodes of the other pass on."""
    cluster.configure(kind=kind)
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading=is_earlier_cut)
    start_builds(cluster, earlier, olds, news)
    cut, others = (olds, news) if is_earlier_cut else (news, olds)
    for number in cut:
        if is_earlier_cut:
            earlier.cut_off(number)
        else:
            cluster.wires[number].apply(Cut.RESET)
    settled_at = time.monotonic() + _CONTACT_SECONDS
    while time.monotonic() < settled_at:
        send(cut[0], '/a/early')
        send(cut[1], '/a/early')
    paths = {
        f'/a/{number}-{key}': send(number, f'/a/{number}-{key}', str(key))[0]
        for number in cut
        for key in range(_KEYS)
    }
    assert paths == dict.fromkeys(paths, 200)
    senders = [list_senders(servers, path) for path in paths]
    assert {len(each) for each in senders} == {1}
    assert {each[0] for each in senders} <= set(others)


@pytest.mark.parametrize('landing', LANDINGS)
@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_rolling_replacement_loses_no_request(
    cluster, earlier, servers, start_callers, is_earlier_leading
):
    """Planned stops of an earlier landing, replaced by the present build."""
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    callers = start_callers()
    with following_directory(callers):
        for number in olds:
            assert earlier.stop(number) == 0
            cluster.add_node(number, seeds=_NUMBERS)
            assert wait_for(partial(is_ready, number), _START_SECONDS)
            time.sleep(2 * DIRECTORY_SECONDS)
        used = set(callers.numbers)
    callers.stop()
    statuses = Counter(each.status for each in callers.answers)
    assert used == set(_NUMBERS)
    assert statuses.keys() == {200}


@pytest.mark.parametrize('landing', LANDINGS)
@pytest.mark.parametrize('is_earlier_checked', [True, False])
@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_restored_store_is_followed_by_both_builds(
    cluster,
    earlier,
    servers,
    added,
    start_callers,
    is_earlier_leading,
    is_earlier_checked,
):
    """Nodes compared revisions of the restored store with those before."""
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    start_callers()

    def write():
        cluster.configure(prefix='/c/')
        cluster.register('server-2', servers[2], state='draining')
        cluster.register('lost', servers[-1])
        assert wait_for(
            lambda: all(count_backends(one) == _SERVERS + 1 for one in _NUMBERS)
        )

    checked = olds if is_earlier_checked else news
    since = lose_writes(cluster, 60, write)
    while time.monotonic() < since + _CONTACT_SECONDS:
        key = str(time.monotonic())
        assert {send(number, '/c/x', key)[0] for number in checked} == {200}
    assert count_since(servers[2], since) == 0
    change_entries(cluster, servers, added)
    check_entries(checked, servers, added)


@pytest.mark.parametrize('landing', LANDINGS)
@pytest.mark.parametrize('prefix', ['/a/', '/b/'])
@pytest.mark.parametrize('is_earlier_leading', [True, False])
def test_started_nodes_learn_from_those_of_the_earlier_build(
    cluster, earlier, is_earlier_leading, prefix
):
    """Only nodes of the earlier landing knew what the store had lost."""
    home, outside = BackendStandIn(), BackendStandIn()
    cluster.register('home', home, 'north-a')
    cluster.register('outside', outside, 'south-a')
    cluster.configure(allowed_regions=['south'])
    olds, news = split_by_leader(_NUMBERS, is_earlier_leading)
    start_builds(cluster, earlier, olds, news)
    path = f'{prefix}x'

    def write():
        cluster.configure(prefix=prefix, allowed_regions=['north'])
        time.sleep(_APPLY_SECONDS)
        assert {send(one, path)[0] for one in _NUMBERS} == {200}

    lose_writes(
        cluster,
        60,
        write,
        while_away=lambda: [cluster.nodes[one].kill() for one in news],
    )
    since = time.monotonic()
    callers = EagerCallers(news, path)
    for number in news:
        cluster.add_node(number, seeds=_NUMBERS)
    assert wait_for(lambda: all(map(is_ready, news)), _CONTACT_SECONDS)
    time.sleep(_CONTACT_SECONDS)
    cluster.configure(prefix=prefix, allowed_regions=['north'])
    time.sleep(_APPLY_SECONDS)
    callers.stop()
    home.stop()
    outside.stop()
    assert set(callers.statuses) <= {200, 503}, callers.statuses
    assert callers.statuses[200] > callers.statuses[503]
    assert count_since(outside, since) == 0
