"""Tests of the fleet's retry budget with real nodes that restart."""

import functools
import itertools
import threading
import time
from collections import Counter

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import is_ready, send, wait_for

_NODES = (1, 2, 3, 4, 5, 6)
_SECONDS = 10  # a time window of the budget
_PER_SECOND = 20
_RATIO, _SLACK = 0.2, 50  # the default bounds of a node
_NOT_RUN = 'Sesameroute-Not-Run: 1\r\n'


@pytest.fixture
def servers(cluster):
    """Return six backend servers that turn every request away."""
    running = [BackendStandIn() for _ in range(6)]
    for number, server in enumerate(running):
        server.status = 503
        server.headers = _NOT_RUN
        cluster.register(f'server-{number}', server)
    yield running
    for server in running:
        server.stop()


def restart_in_turn(cluster, until):
    """Kill and start one node after the other, as fast as they get ready."""
    for number in itertools.cycle(_NODES):
        if time.monotonic() > until:
            return
        cluster.nodes[number].kill()
        cluster.add_node(number, seeds=_NODES)
        wait_for(functools.partial(is_ready, number))


def call(number, path):
    """Send a request; a node that is being restarted does not take it."""
    try:
        send(number, path)
    except OSError:
        time.sleep(0)


def test_restarts_add_no_retries(cluster, servers):
    """Each start of a node filled its share of the retry budget anew."""
    cluster.configure(kind='unsafe')
    cluster.start_nodes(*_NODES)
    until = time.monotonic() + _SECONDS
    restarting = threading.Thread(target=restart_in_turn, args=(cluster, until))
    restarting.start()
    calls = []
    for count in itertools.count():
        if time.monotonic() > until:
            break
        number = _NODES[count % len(_NODES)]
        calls.append(
            threading.Thread(target=call, args=(number, f'/a/{count}'))
        )
        calls[-1].start()
        time.sleep(1 / _PER_SECOND)
    for each in (*calls, restarting):
        each.join()
    arrived = Counter(
        arrival.target for server in servers for arrival in server.arrivals
    )
    assert arrived
    repeats = arrived.total() - len(arrived)
    assert repeats <= _RATIO * len(calls) + _SLACK
