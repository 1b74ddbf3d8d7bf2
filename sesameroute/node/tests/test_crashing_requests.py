"""Tests of nodes that get a request which crashes the servers that run it."""

import re
import time

import pytest

from sesameroute.node.tests.backends import CRASH_PATH, BackendStandIn
from sesameroute.node.tests.cluster import (
    METRICS_PORT,
    call,
    send,
    wait_for,
    wait_for_directory,
)

_SERVERS = 6
_MAX_CRASHES = 3
# Requests may still reach servers so long after the crash that is one too many.
_PROPAGATION_SECONDS = 0.5


@pytest.fixture
def servers(cluster):
    """Return registered backend servers that may crash."""
    running = [BackendStandIn() for _ in range(_SERVERS)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


def warm_up(*numbers):
    """Let each node keep connections to the servers."""
    for key in range(24):
        number = numbers[key % len(numbers)]
        send(number, key=str(key))


def list_crashes(servers):
    """Return the times of all crashes in order."""
    return sorted(crash.time for each in servers for crash in each.crashes)


def send_crashing(servers, *numbers, rounds=7):
    """Send the crashing request to the nodes in turn; return the statuses."""
    statuses = []
    for one in range(rounds):
        number = numbers[one % len(numbers)]
        warm_up(number)
        statuses.append(send(number, CRASH_PATH)[0])
        time.sleep(0.1)
    return statuses


def count_arrivals_after_quarantine(servers):
    """Return how often the request came after it had crashed too many."""
    crashes = list_crashes(servers)
    if len(crashes) < _MAX_CRASHES:
        return 0
    since = crashes[_MAX_CRASHES - 1] + _PROPAGATION_SECONDS
    return sum(each.count_arrivals(CRASH_PATH, since) for each in servers)


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
def test_request_crashes_three_servers_only(cluster, servers, kind):
    """A loss on a kept connection was not counted."""
    cluster.configure(kind=kind)
    cluster.start_nodes(1, 2, 3)
    warm_up(1, 2, 3)
    statuses = send_crashing(servers, 1, 2, 3)
    assert (statuses[0], statuses[-1]) == (502, 503)
    assert not count_arrivals_after_quarantine(servers)


def count_quarantined(number):
    """Return how many requests a node refuses."""
    page = call(number, METRICS_PORT, '/metrics')[2].decode()
    return int(
        re.search(r'^sesame_quarantined_requests\S* (\d+)', page, re.M)[1]
    )


def restart_node(cluster, number, *others):
    """Kill a node and start it again, knowing others as its seeds."""
    cluster.nodes[number].kill()
    cluster.add_node(number, seeds=others)
    assert wait_for_directory(number, *others)


def test_restarted_node_knows_earlier_losses(cluster, servers):
    """A node that missed the reports counted to three by itself."""
    cluster.start_nodes(1, 2)
    send_crashing(servers, 1, rounds=4)
    restart_node(cluster, 2, 1)
    crashed = len(list_crashes(servers))
    assert wait_for(lambda: count_quarantined(2))
    send_crashing(servers, 2, rounds=2)
    assert len(list_crashes(servers)) == crashed


def test_cut_off_node_hears_of_losses_later(cluster, servers):
    """Losses that no peer heard of were never reported again."""
    cluster.start_nodes(1, 2)
    peers = cluster.nodes[1].peers
    list_connected, peers.list_connected = peers.list_connected, tuple
    send_crashing(servers, 1, rounds=4)
    peers.list_connected = list_connected
    assert wait_for(lambda: count_quarantined(2))
    crashed = len(list_crashes(servers))
    send_crashing(servers, 2, rounds=2)
    assert len(list_crashes(servers)) == crashed


def find_evidence(cluster, number):
    """Return what a node knows of losses."""
    quarantine = cluster.nodes[number]._node_servers.quarantine
    return quarantine.evidence


def test_end_seen_by_another_node_settles_tries(cluster, caplog):
    """No node handled the message that a server has ended."""
    cluster.start_nodes(1, 2)
    first, second = find_evidence(cluster, 1), find_evidence(cluster, 2)
    server = ('server-0', 7)
    first.observe_give_up(first.begin_try('f', 's', server))
    second.observe_end(server)
    assert wait_for(lambda: first.suspects_.compute_score('f') == 1)
    assert wait_for(lambda: second.suspects_.compute_score('f') == 1)
    assert 'peer message not handled' not in caplog.messages


def test_try_given_up_after_the_end_counts(cluster):
    """A silent end was seen before its requests had timed out."""
    cluster.start_nodes(1, 2)
    first, second = find_evidence(cluster, 1), find_evidence(cluster, 2)
    server = ('server-0', 7)
    sent = first.begin_try('f', 's', server)
    second.observe_end(server)
    time.sleep(0.3)
    first.observe_give_up(sent)
    assert wait_for(lambda: second.suspects_.compute_score('f') == 1)
