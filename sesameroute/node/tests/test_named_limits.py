"""Tests of nodes with backend servers that name a limit of requests."""

import time

import pytest

from sesameroute.forward.tests.servers import LONG_BODY_BYTES
from sesameroute.node.tests.callers import Callers
from sesameroute.ports import DeferredReply

_LIMIT_PER_SECOND = 4.0
# The bound as it is stated: in each window, one and a half times the limit
# and a few more.
_WINDOW_SECONDS = 4.0
_MAX_RATIO = 1.5
_SLACK_REQUESTS = 5
# From this time after a server first named its limit, the bound holds.
_GRACE_SECONDS = 3.0


def name_limit(server, limit=_LIMIT_PER_SECOND):
    """Let a server name a limit in its answers; return since when."""
    server.headers = f'Server-Limit: {limit}\r\n'
    return time.monotonic()


def find_busiest_window(server, since):
    """Return the most requests that a server got in one window."""
    times = [each.time for each in server.arrivals if each.time >= since]
    return max(
        (
            sum(first <= each < first + _WINDOW_SECONDS for each in times)
            for first in times
        ),
        default=0,
    )


def compute_allowance(limit=_LIMIT_PER_SECOND):
    """Return how many requests a server may get in one window."""
    return _MAX_RATIO * limit * _WINDOW_SECONDS + _SLACK_REQUESTS


def find_leader(cluster, number):
    """Return the number of the node that leads, as another one sees it."""
    leader = cluster.nodes[number].fleet.find_leader('s', 'north')
    return int(leader.rpartition('.')[2])


@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        ('safe', 'whole'),
        ('unsafe', 'whole'),
        ('download', 'x' * LONG_BODY_BYTES),
    ],
)
def test_server_that_names_a_limit_gets_no_more(cluster, servers, kind, body):
    """Nodes sent on as if no limit had been named."""
    cluster.configure(kind=kind)
    for each in servers:
        each.body = body
    cluster.start_nodes(1, 2, 3)
    callers = Callers((1, 2, 3))
    time.sleep(1)
    named_at = name_limit(servers[0])
    time.sleep(_GRACE_SECONDS + _WINDOW_SECONDS + 1)
    callers.stop()
    since = named_at + _GRACE_SECONDS
    assert 0 < find_busiest_window(servers[0], since) <= compute_allowance()
    assert find_busiest_window(servers[1], since) > compute_allowance()


def test_named_limit_holds_while_leaders_change(cluster, servers):
    """A new leader did not know the limits that servers had named."""
    cluster.start_nodes(1, 2, 3, 4)
    callers = Callers((1, 2, 3, 4))
    time.sleep(1)
    named_at = name_limit(servers[0])
    time.sleep(_GRACE_SECONDS)
    lost = find_leader(cluster, 1)
    cluster.nodes[lost].kill()
    time.sleep(2)
    cluster.add_node(lost, seeds=(1, 2, 3, 4))
    time.sleep(2)
    cluster.add_node(5, seeds=(1, 2, 3, 4))
    callers.numbers.append(5)
    time.sleep(_WINDOW_SECONDS)
    callers.stop()
    since = named_at + _GRACE_SECONDS
    assert 0 < find_busiest_window(servers[0], since) <= compute_allowance()


def test_frozen_leader_is_replaced_within_named_limit(cluster, servers):
    """Nodes that can't reach their leader grant nothing beyond the limit."""
    cluster.start_nodes(1, 2, 3)
    leader = find_leader(cluster, 1)
    others = [number for number in (1, 2, 3) if number != leader]
    callers = Callers(others)
    time.sleep(1)
    named_at = name_limit(servers[0])
    time.sleep(_GRACE_SECONDS)
    allocator = cluster.nodes[leader].allocator
    allocator.handle = lambda _sender, _message: DeferredReply()
    time.sleep(_WINDOW_SECONDS + 1)
    callers.stop()
    since = named_at + _GRACE_SECONDS
    assert find_busiest_window(servers[0], since) <= compute_allowance()


def test_withdrawn_limit_ends(cluster, servers):
    """A server that names no limit any more gets its full share again."""
    cluster.start_nodes(1, 2)
    callers = Callers((1, 2))
    name_limit(servers[0])
    time.sleep(2)
    servers[0].headers = ''
    time.sleep(_WINDOW_SECONDS + 2)
    callers.stop()
    since = time.monotonic() - _WINDOW_SECONDS
    assert find_busiest_window(servers[0], since) > compute_allowance()


def test_requests_beyond_all_limits_are_refused_at_once(cluster, servers):
    """Requests beyond the limits of all servers do not wait in vain."""
    cluster.start_nodes(1, 2)
    for each in servers:
        name_limit(each)
    callers = Callers((1, 2))
    time.sleep(_GRACE_SECONDS)
    since = time.monotonic()
    time.sleep(2)
    callers.stop()
    late = [each for each in callers.answers if each.time >= since]
    assert {each.status for each in late} == {200, 503}
    refused = [each.seconds for each in late if each.status == 503]
    assert sorted(refused)[len(refused) * 9 // 10] < 0.1
