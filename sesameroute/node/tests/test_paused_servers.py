"""Tests of nodes with backend servers that ask for a pause."""

import time

from sesameroute.node.tests.callers import Callers

_PAUSE_SECONDS = 3
_REFUSAL = f'Sesameroute-Not-Run: 1\r\nRetry-After: {_PAUSE_SECONDS}\r\n'
# The bound as it is stated: from this time after such an answer on, a node
# sends the server at most two requests before the pause ends.
_GRACE_SECONDS = 0.5
_MAX_REQUESTS = 2


def ask_for_pause(server):
    """Let a server turn all requests away; return since when."""
    server.headers = _REFUSAL
    server.status = 503
    return time.monotonic()


def find_most_requests(server, since, until):
    """Return the most requests of a node within one pause.

    A pause begins with each request that was turned away.
    """
    return max(
        (
            sum(
                _GRACE_SECONDS <= each.time - first.time < _PAUSE_SECONDS
                for each in server.arrivals
                if each.node == first.node
            )
            for first in server.arrivals
            if since <= first.time <= until
        ),
        default=0,
    )


def test_paused_server_gets_at_most_two_requests_of_a_node(cluster, servers):
    """Nodes went on sending what the server had to turn away."""
    cluster.start_nodes(1, 2, 3)
    callers = Callers((1, 2, 3))
    time.sleep(1)
    asked_at = ask_for_pause(servers[0])
    time.sleep(_PAUSE_SECONDS + 1)
    servers[0].status, servers[0].headers = 200, ''
    ended_at = time.monotonic() - 0.1
    time.sleep(_PAUSE_SECONDS + 1)
    callers.stop()
    count = find_most_requests(servers[0], asked_at, ended_at)
    assert count <= _MAX_REQUESTS
    later = [each for each in servers[0].arrivals if each.time > ended_at]
    assert later
    served = [each for each in callers.answers if each.status == 200]
    assert len(served) > 0.9 * len(callers.answers)


def test_callers_are_refused_at_once_while_all_servers_pause(cluster, servers):
    """Requests waited for servers that wanted none."""
    cluster.start_nodes(1, 2)
    callers = Callers((1, 2))
    time.sleep(1)
    asked_at = max(map(ask_for_pause, servers))
    time.sleep(_PAUSE_SECONDS)
    ended_at = time.monotonic()
    callers.stop()
    for each in servers:
        assert find_most_requests(each, asked_at, ended_at) <= _MAX_REQUESTS
    late = [
        each
        for each in callers.answers
        if asked_at + _GRACE_SECONDS < each.time < ended_at
    ]
    assert {each.status for each in late} == {503}
    seconds = sorted(each.seconds for each in late)
    assert seconds[len(seconds) * 9 // 10] < 0.1
