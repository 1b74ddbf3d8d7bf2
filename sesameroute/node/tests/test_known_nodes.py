"""Tests of what nodes tell each other of the nodes that they know."""

from dataclasses import replace
from functools import partial
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


def make_state(address, region='north'):
    """Return the state of a node that lists no others."""
    return NodeState(address, f'{region}-a', region, f'{address}:8548')


class Fleets:
    """The views of all nodes of a large fleet, in three regions.

    Attributes
    ----------
    lost : set of str
        Nodes that what is told in the next heartbeat doesn't reach.
    listed : list of int
        Length of the list in each message.

    """

    def __init__(self, number_of_nodes):
        """Connect all nodes but the last one, and let them hear of all."""
        self.clock = ManualClock()
        self.lost = set()
        self.listed = []
        self.streams = {f'n{each}': set() for each in range(number_of_nodes)}
        self.fleets = {
            name: Fleet(
                make_state(name, f'r{number % 3}'),
                SimpleNamespace(
                    list_connected=partial(self.list_streams, name)
                ),
                self.clock,
            )
            for number, name in enumerate(self.streams)
        }
        *self.first, self.last = self.streams
        for name in self.first:
            self.connect(name, self.first)
        for _ in range(4):
            self.beat()

    def list_streams(self, name):
        """Return the nodes that one is connected to."""
        return tuple(self.streams[name])

    def connect(self, name, others):
        """Open streams between a node and others; exchange states."""
        for other in set(others) - {name}:
            for one, peer in ((name, other), (other, name)):
                self.streams[one].add(peer)
                self.fleets[one].receive_state(self.fleets[peer].build_state())

    def beat(self):
        """Let a second pass, in which all connected nodes tell their states."""
        self.clock.now += 1
        told = [
            each
            for fleet in self.fleets.values()
            for each in fleet.heartbeats.plan_messages(
                fleet.build_state(is_complete=False),
                fleet.list_live(),
                is_current=True,
            )
        ]
        self.listed = [len(message.known) for _, message in told]
        for peer, message in told:
            if peer not in self.lost:
                self.fleets[peer].receive_state(message)
        self.lost = set()

    def list_ignorant(self):
        """Return the nodes that don't know of the last one."""
        return {
            name
            for name in self.first
            if self.last not in self.fleets[name].list_dial_addresses()
        }


def test_a_large_fleet_repeats_few_lists():
    """Each node repeated a list of 140 nodes to all others."""
    fleets = Fleets(40)
    for _ in range(20):
        fleets.beat()
        assert sum(map(bool, fleets.listed)) <= len(fleets.first)


@pytest.mark.parametrize('are_lost', [False, True])
def test_all_hear_at_once_of_a_node_that_one_has_met(are_lost):
    """Its region tells all others; a lost message delays nobody for long."""
    fleets = Fleets(40)
    met = next(
        name
        for name in fleets.first
        if fleets.fleets[name].own_state.region
        == fleets.fleets[fleets.last].own_state.region
    )
    fleets.connect(fleets.last, [met])
    if are_lost:
        fleets.lost = set(fleets.first[:20])
    fleets.beat()
    assert fleets.list_ignorant() <= set(fleets.first[:20] if are_lost else ())
    for name in set(fleets.first) - fleets.list_ignorant():
        fleets.connect(fleets.last, [name])
    fleets.beat()
    assert not fleets.list_ignorant()


def test_a_lost_change_is_told_again_while_all_stay_live():
    """Streams that are replaced lose both messages with a change."""
    fleets = Fleets(40)
    fleets.fleets['n1'].update_own_state(is_ready=True)
    for _ in range(2):
        fleets.lost = set(fleets.first)
        fleets.beat()
    for _ in range(12):
        fleets.beat()
        live = [fleets.fleets[name].list_live() for name in fleets.first]
        assert {len(each) for each in live} == {len(fleets.first)}
    ready = [
        [state.address for state in each if state.is_ready] for each in live
    ]
    assert ready == [['n1']] * len(fleets.first)


@pytest.mark.parametrize('region', ['r0', 'r1', 'r2'])
def test_earlier_builds_hear_lists_as_before(region):
    """A node of an earlier build hears all lists that were told before."""
    fleets = Fleets(40)
    fleet = fleets.fleets['n1']
    earlier = next(
        name
        for name in fleets.first[3:]
        if fleets.fleets[name].own_state.region == region
    )
    state = replace(fleets.fleets[earlier].own_state, ttl=7)
    fleets.clock.now += 1
    heard = []
    for _ in range(30):
        fleet.receive_state(state)
        built = fleet.build_state(is_complete=False)
        told = dict(
            fleet.heartbeats.plan_messages(
                built, fleet.list_live(), is_current=True
            )
        )
        if built.known:
            assert set(told[earlier].known) == set(built.known)
        heard.append(earlier in told)
    assert any(heard)
    assert all(any(heard[first : first + 3]) for first in range(28))


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
