"""Tests of what nodes tell each other of the nodes that they know."""

from types import SimpleNamespace

import msgpack
import pytest

from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.ports import encode_message
from sesameroute.routing.tests.samples import ManualClock

_MAX_BYTES = 200  # of a state message, in the mean, at any size
_BEATS = 50


class Neighbour:
    """A node's view of a fleet whose other nodes all run."""

    def __init__(self, number_of_nodes):
        """Connect to the other nodes."""
        self.clock = ManualClock()
        self.addresses = [
            f'10.1.{number}.34' for number in range(number_of_nodes)
        ]
        self.fleet = Fleet(
            make_state(self.addresses[0]),
            SimpleNamespace(list_connected=lambda: self.addresses),
            self.clock,
        )

    def beat(self):
        """Let a second pass; return the message to all peers."""
        self.clock.now += 1
        for address in self.addresses[1:]:
            self.fleet.receive_state(make_state(address))
        return self.fleet.build_state(7, is_complete=False)


def make_state(address):
    """Return the state of a node that lists no others."""
    return NodeState(address, 'north-a', 'north', f'{address}:8548')


def test_changes_are_told_at_once_and_all_from_time_to_time():
    """A lost message leaves no node out for long."""
    node = Neighbour(9)
    listed = [sorted(node.beat().known) for _ in range(10)]
    assert listed[0] == sorted(node.addresses)
    assert [] in listed
    assert all(
        sorted(node.addresses) in listed[first : first + 5]
        for first in range(6)
    )
    node.addresses = node.addresses[:8]
    node.clock.now += 9
    assert sorted(node.beat().known) == sorted(node.addresses)
    assert sorted(node.fleet.build_state().known) == sorted(node.addresses)


@pytest.mark.parametrize('number_of_nodes', [30, 300])
def test_state_messages_hardly_grow_with_the_fleet(number_of_nodes):
    """Each message listed all nodes: the bytes grew with the fleet's cube."""
    node = Neighbour(number_of_nodes)
    packed = [msgpack.packb(encode_message(node.beat())) for _ in range(_BEATS)]
    complete = msgpack.packb(encode_message(node.fleet.build_state()))
    mean_bytes = sum(map(len, packed)) / _BEATS
    assert mean_bytes < _MAX_BYTES + len(complete) / 4
    assert sorted(map(len, packed))[_BEATS // 2] < _MAX_BYTES
