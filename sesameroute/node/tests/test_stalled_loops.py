"""Tests that loops which stall or end are noticed."""

import threading
import time

import pytest

from sesameroute.node.tests.cluster import FRONT_PORT, is_ready, wait_for
from sesameroute.telemetry import LoopWatch

_STALL_SECONDS = 3
_CHECKS = 10


def find_owner(node, name):
    """Return an object and its method that a loop calls in each turn."""
    if name == 'tick':
        return node.allocator, 'process_waiting'
    if name == 'beat':
        return node.fleet, 'list_dial_addresses'
    if name == 'peer-loop':
        return node.peers.streams, 'maintain'
    front = node._node_servers.servers[0]
    return front._idle.watched, 'select'


@pytest.mark.parametrize(
    'name', ['tick', 'beat', 'peer-loop', f'front-{FRONT_PORT}']
)
def test_stalled_loop_is_found_and_logged(cluster, monkeypatch, caplog, name):
    """A loop that stood still was noticed by nobody."""
    node = cluster.add_node(1)
    assert wait_for(lambda: is_ready(1))
    assert not list(node.loops.find_ended())
    may_go_on = threading.Event()
    owner, method = find_owner(node, name)
    original = getattr(owner, method)

    def stall(*arguments):
        may_go_on.wait()
        return original(*arguments)

    monkeypatch.setattr(owner, method, stall)
    time.sleep(_STALL_SECONDS)
    found = [list(node.loops.find_ended()) for _ in range(_CHECKS)]
    may_go_on.set()
    assert found == [[]] * (_CHECKS - 1) + [[name]]
    logged = [
        each.loop for each in caplog.records if each.msg == 'loop stalled'
    ]
    assert logged == [name]


def test_suspended_process_has_no_ended_loops():
    """A process that was suspended as a whole must not end itself."""
    turned_at = [time.monotonic() - 60]
    watch = LoopWatch({'tick': lambda: turned_at[0]})
    assert not list(watch.find_ended())
    turned_at[0] = time.monotonic()
    assert not any(list(watch.find_ended()) for _ in range(_CHECKS))
    assert not watch.stalled_
