"""Tests of nodes that get a request which crashes the servers that run it."""

import time

import pytest

from sesameroute.node.tests.backends import CRASH_PATH, BackendStandIn
from sesameroute.node.tests.cluster import Cluster, send, wait_for_directory

_SERVERS = 6
_MAX_CRASHES = 3
# Requests may still reach servers so long after the crash that is one too many.
_PROPAGATION_SECONDS = 0.5


@pytest.fixture
def cluster():
    """Return a cluster that is stopped after the test."""
    running = Cluster()
    yield running
    running.stop()


@pytest.fixture
def servers(cluster):
    """Return registered backend servers that may crash."""
    running = [BackendStandIn() for _ in range(_SERVERS)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


def start_nodes(cluster, *numbers):
    """Start nodes and wait until they know each other."""
    for number in numbers:
        cluster.add_node(number, seeds=numbers)
    assert wait_for_directory(*numbers)


def warm_up(*numbers):
    """Let each node keep connections to the servers."""
    for key in range(24):
        number = numbers[key % len(numbers)]
        send(number, key=str(key))


def list_crashes(servers):
    """Return the times of all crashes in order."""
    return sorted(when for each in servers for when in each.crashes)


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
    start_nodes(cluster, 1, 2, 3)
    warm_up(1, 2, 3)
    statuses = send_crashing(servers, 1, 2, 3)
    assert (statuses[0], statuses[-1]) == (502, 503)
    assert not count_arrivals_after_quarantine(servers)
