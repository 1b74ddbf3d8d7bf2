"""Tests of callers that leave while their request waits at the leader."""

import contextlib
import socket
import threading
from http.client import HTTPException

from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.node import _slot_allocator
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    send,
    wait_for,
)
from sesameroute.placement import _granter

SLOTS = 4


def occupy(number):
    """Send a request that is cut off at the end of the test."""
    with contextlib.suppress(HTTPException, OSError):
        send(number)


def find_other(cluster):
    """Return the number of a node that does not lead, and the leader's pool."""
    leader = cluster.nodes[1].fleet.find_leader('s', 'north')
    other = next(
        number
        for number, node in cluster.nodes.items()
        if node.settings.node.address != leader
    )
    led = next(
        node
        for node in cluster.nodes.values()
        if node.settings.node.address == leader
    )
    return other, led.allocator.pools.find('s')


def test_request_of_a_left_caller_leaves_the_queue_of_the_leader(
    cluster, monkeypatch
):
    """It waited there until its time was over, before all that came later."""
    monkeypatch.setattr(_granter, '_MAX_REMOTE_WAIT_SECONDS', 3)
    monkeypatch.setattr(_slot_allocator, '_MAX_LEADER_WAIT_SECONDS', 3)
    cluster.register('one', ScriptedServer('silent'))
    cluster.configure(timeout_ms=4000, target_latency_ms=3000)
    cluster.start_nodes(1, 2)
    number, pool = find_other(cluster)
    for _ in range(SLOTS):
        threading.Thread(target=occupy, args=(number,), daemon=True).start()
    assert wait_for(lambda: sum(pool.make_report(0).held.values()) == SLOTS)
    address = f'{NETWORK_PREFIX}.{number}', FRONT_PORT
    head = b'GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n'
    with contextlib.closing(socket.create_connection(address)) as caller:
        caller.sendall(head)
        assert wait_for(lambda: pool.has_waiting, 2)
    assert wait_for(lambda: not pool.has_waiting, 0.5)
