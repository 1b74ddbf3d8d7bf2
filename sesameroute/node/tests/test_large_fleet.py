"""Tests of what nodes of a large fleet know when many of them are lost."""

import threading
import time

import pytest

from sesameroute.adapters.tests.peer_networks import (
    Fleet as Networks,
)
from sesameroute.adapters.tests.peer_networks import find_target, wait_for
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.ports import SystemClock

_NODES = 30
_CONTACT_SECONDS = 4.0
_SETTLE_SECONDS = 2.5  # all have told that they know all
_QUIET_SECONDS = 5.0  # some heartbeats without states


class Member:
    """A node's peers and its view of the fleet, without the other parts."""

    def __init__(self, networks, number):
        """Start the streams' part of a node."""
        name = f'n{number}'
        state = NodeState(name, 'a', f'r{number % 3}', name, is_ready=True)
        self.received = 0
        self.network = networks.add(name, number, handler=self._handle)
        self.fleet = Fleet(state, self.network, SystemClock())
        self.is_off = threading.Event()

    def start(self, targets):
        """Dial the others, and send heartbeats."""
        self.network.set_targets(targets)
        threading.Thread(target=self._run, daemon=True).start()

    def count_live(self):
        """Return the number of live nodes that this one knows."""
        return len(self.fleet.list_live())

    def power_off(self):
        """End all work without closing a stream."""
        self.is_off.set()
        self.network.carrier.loop.stop()

    def _handle(self, _sender, state):
        self.received += 1
        self.fleet.receive_state(state)

    def _run(self):
        plan = self.fleet.heartbeats
        while not self.is_off.wait(plan.choose_interval()):
            state = self.fleet.build_state(is_complete=False)
            for peer, message in plan.plan_messages(
                state, self.fleet.list_live(), is_current=True
            ):
                self.network.send_one_way(peer, message)


@pytest.fixture
def members():
    """Yield nodes that know each other; stop them afterwards."""
    networks = Networks()
    started = [Member(networks, number) for number in range(1, _NODES + 1)]
    targets = {
        member.network.identity.name: find_target(number)
        for number, member in enumerate(started, 1)
    }
    for member in started:
        own = member.network.identity.name
        member.start({name: targets[name] for name in targets if name != own})
    assert wait_for(lambda: count_complete(started, _NODES) == _NODES, 20)
    yield started
    for member in started:
        member.is_off.set()
        member.network.stop()


def count_complete(members, number):
    """Return how many nodes know of this number of live nodes."""
    return sum(member.count_live() == number for member in members)


def test_nodes_stay_live_without_a_state_at_each_heartbeat(members):
    """States are left out, and nobody is taken for lost by it."""
    time.sleep(_SETTLE_SECONDS)
    received = sum(member.received for member in members)
    until = time.monotonic() + _QUIET_SECONDS
    while time.monotonic() < until:
        assert count_complete(members, _NODES) == _NODES
        time.sleep(0.1)
    told = sum(member.received for member in members) - received
    assert told < 0.6 * _QUIET_SECONDS * _NODES * (_NODES - 1)


@pytest.mark.parametrize('lost', [1, _NODES // 2, _NODES - 2])
def test_lost_nodes_are_known_everywhere(members, lost):
    """One node, half or most of them lose power at the same moment."""
    left = members[lost:]
    leader = left[0].fleet.find_leader('s', 'r0')
    for member in members[:lost]:
        member.is_off.set()
    for member in members[:lost]:
        member.network.carrier.loop.stop()
    off_at = time.monotonic()
    assert wait_for(
        lambda: count_complete(left, len(left)) == len(left),
        _CONTACT_SECONDS,
    )
    assert time.monotonic() - off_at < _CONTACT_SECONDS
    lost_names = {each.network.identity.name for each in members[:lost]}
    for member in left:
        found = member.fleet.find_leader('s', 'r0')
        assert found not in lost_names
        assert found == leader or leader in lost_names
