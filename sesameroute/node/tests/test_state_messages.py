"""Tests of the messages in which nodes tell their states."""

import threading

from sesameroute.node.tests.cluster import wait_for

_HELD_UP_SECONDS = 0.3


def test_planned_stop_is_not_overtaken_by_an_earlier_state(cluster):
    """A heartbeat built before the stop came after its message."""
    cluster.start_nodes(1, 2)
    node = cluster.nodes[1]
    receiver = cluster.nodes[2].fleet
    build_state = node.fleet.build_state
    is_built, may_send = threading.Event(), threading.Event()

    def build_state_and_wait(revision, **options):
        state = build_state(revision, **options)
        if threading.current_thread().name == 'held-up':
            is_built.set()
            may_send.wait(_HELD_UP_SECONDS)
        return state

    def is_ready_at_receiver():
        return receiver.list_live()[1].is_ready

    node.fleet.build_state = build_state_and_wait
    assert wait_for(is_ready_at_receiver)
    heartbeat = threading.Thread(target=node._broadcast_state, name='held-up')
    heartbeat.start()
    assert is_built.wait()
    now = node.clock.read_monotonic()
    node._node_servers.shutdown.begin(now, now + 3)
    node._broadcast_state()
    may_send.set()
    heartbeat.join()
    assert wait_for(lambda: not is_ready_at_receiver(), 0.5)
    assert not wait_for(is_ready_at_receiver, 0.3)
