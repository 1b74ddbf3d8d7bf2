"""Tests of what nodes derive from the states of the live nodes."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from sesameroute.node import _live_view
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.routing.tests.samples import ManualClock

_NODES = 140
_REGIONS = ('north', 'south', 'east')
_SERVICE = 's'


class Observer:
    """A node's view of a fleet whose other nodes send their states."""

    def __init__(self):
        """Hear of all nodes once."""
        self.clock = ManualClock()
        self.states = {
            f'10.1.{each}.34': make_state(each) for each in range(_NODES)
        }
        self.own = self.states.pop('10.1.0.34')
        self.connected = tuple(self.states)
        self.fleet = Fleet(
            self.own,
            SimpleNamespace(list_connected=lambda: self.connected),
            self.clock,
        )
        self.beat()

    def beat(self, silent=()):
        """Let a second pass, in which all nodes but some send their states."""
        self.clock.now += 1
        for address, state in self.states.items():
            if address not in silent:
                self.fleet.receive_state(state)

    def find_leader(self):
        """Return the leader of a service in this node's region."""
        return self.fleet.find_leader(_SERVICE, 'north')

    def change(self, address, **changes):
        """Let a node send a changed state."""
        self.states[address] = replace(self.states[address], **changes)
        self.fleet.receive_state(self.states[address])


def make_state(number):
    """Return the state of a ready node."""
    address = f'10.1.{number}.34'
    region = _REGIONS[number % len(_REGIONS)]
    return NodeState(
        address, f'{region}-a', region, f'{address}:1', is_ready=True
    )


def lose_stream(observer, leader):
    """Close the stream to the leader."""
    observer.connected = tuple(
        each for each in observer.connected if each != leader
    )


def fall_silent(observer, leader):
    """Let the leader's states end while its stream stays open."""
    for _ in range(4):
        observer.beat(silent=(leader,))


def lose_all_others(observer, _leader):
    """Let this node be cut off."""
    observer.connected = ()


@pytest.mark.parametrize(
    'change',
    [
        lose_stream,
        fall_silent,
        lose_all_others,
        pytest.param(
            lambda observer, leader: observer.change(leader, is_ready=False),
            id='not ready',
        ),
        pytest.param(
            lambda observer, leader: observer.change(leader, region='south'),
            id='moved',
        ),
    ],
)
def test_changes_show_at_once(change):
    """A view that is kept names no node that no longer leads."""
    observer = Observer()
    leader = observer.find_leader()
    assert leader != observer.own.address
    assert observer.fleet.find_rank(_SERVICE, leader) == 0
    change(observer, leader)
    live = {state.address: state for state in observer.fleet.list_live()}
    led_by = observer.find_leader()
    assert led_by != leader
    assert live[led_by].region == 'north'
    assert live[led_by].is_ready


def test_nodes_that_come_back_lead_again():
    """A lost node is back with its stream and state, a ready one leads."""
    observer = Observer()
    leader, connected = observer.find_leader(), observer.connected
    lose_stream(observer, leader)
    assert observer.find_leader() != leader
    observer.connected = connected
    assert observer.find_leader() == leader
    fall_silent(observer, leader)
    assert observer.find_leader() != leader
    observer.beat()
    assert observer.find_leader() == leader
    observer.fleet.update_own_state(is_leaving=True)
    assert (
        observer.fleet.find_rank(_SERVICE)
        == len(
            [
                each
                for each in observer.fleet.list_live()
                if each.region == 'north'
            ]
        )
        - 1
    )


def test_newest_states_are_listed():
    """A view that is kept shows what changes no leader, too."""
    observer = Observer()
    address = observer.connected[0]
    observer.fleet.list_live()
    observer.change(address, revision=9, reaches_servers=False)
    listed = {state.address: state for state in observer.fleet.list_live()}
    assert listed[address] == observer.states[address]


def test_requests_of_a_large_fleet_rank_its_nodes_rarely(monkeypatch):
    """Each request ranked all nodes: 140 nodes, 100 requests a second."""
    observer = Observer()
    hashed = []

    def count_hash(text):
        hashed.append(text)
        return len(text)

    monkeypatch.setattr(_live_view, 'hash_key', count_hash)
    for _ in range(10):
        observer.beat()
        for _ in range(100):
            observer.find_leader()
            observer.fleet.find_rank(_SERVICE)
    assert 0 < len(hashed) < 10 * _NODES


@pytest.mark.parametrize(
    ('ttl', 'seconds', 'is_live'),
    [
        (0, 3, True),
        (0, 4, False),
        (7, 6, True),
        (7, 8, False),
        (40, 39, True),
        (10**9, 61, False),
        (-5, 3, True),
    ],
)
def test_states_are_valid_for_their_time(ttl, seconds, is_live):
    """A node whose states end is lost, though its stream stays open."""
    observer = Observer()
    address = observer.connected[0]
    observer.change(address, ttl=ttl)
    for _ in range(seconds):
        observer.beat(silent=(address,))
    live = {state.address for state in observer.fleet.list_live()}
    assert (address in live) is is_live


def tell(observer, beats, *, is_current=True, changed_at=1, **changes):
    """Return the receivers of each heartbeat after the first one."""
    told = []
    for beat in range(beats + 1):
        observer.beat()
        if beat == changed_at:
            observer.fleet.update_own_state(**changes)
        state = observer.fleet.build_state(beat, is_complete=False)
        told.append(
            set(
                observer.fleet.heartbeats.select_receivers(
                    state, is_current=is_current
                )
            )
        )
    return told[1:]


def test_unchanged_states_are_told_rarely_to_those_who_know():
    """6,500 pairs of nodes told each other the same each second."""
    observer = Observer()
    everyone = set(observer.connected)
    earlier = set(observer.connected[:9])
    for address in everyone - earlier:
        observer.change(address, ttl=7)
    told = tell(observer, 12)
    assert all(earlier <= each for each in told)
    assert sum(each == everyone for each in told) <= 6
    # At no time are three heartbeats in a row left out.
    assert all(
        everyone in told[first : first + 3] for first in range(len(told) - 2)
    )


def test_an_unchanged_state_is_told_in_turns():
    """Of 140 nodes, unchanged states were most bytes between regions.

    Earlier builds, which heed 10 s at most, hear them as before.
    """
    observer = Observer()
    everyone, earlier = set(observer.connected), set(observer.connected[:9])
    for address in everyone:
        observer.change(address, ttl=7 if address in earlier else 40)
    near = {
        address
        for address, state in observer.states.items()
        if state.region == observer.own.region
    }
    told = tell(observer, 60)
    near -= earlier
    far = everyone - near - earlier
    repeated = [each for each in told if each != everyone]
    assert sum(len(each & far) for each in repeated) < 5 * len(far)
    assert sum(len(each & near) for each in repeated) < 10 * len(near)
    # Two turns of heartbeats 1.4 s apart are within the 40 s.
    for group, beats in ((earlier, 3), (near, 6), (far, 12)):
        assert all(
            group <= set().union(*told[first : first + beats])
            for first in range(len(told) - beats)
        )


@pytest.mark.parametrize('ttl', [0, 7, 40])
def test_node_without_a_stream_is_lost_at_any_ttl(ttl):
    """A long TTL keeps no node whose stream has closed."""
    observer = Observer()
    leader = observer.find_leader()
    observer.change(leader, ttl=ttl)
    lose_stream(observer, leader)
    assert leader not in {each.address for each in observer.fleet.list_live()}
    assert observer.find_leader() != leader


@pytest.mark.parametrize(
    ('nodes', 'options'),
    [
        pytest.param(9, {}, id='small fleet'),
        pytest.param(_NODES, {'is_current': False}, id='store not read'),
    ],
)
def test_states_are_told_at_each_heartbeat(nodes, options):
    """Peers of a small fleet, or without the store, hear each state."""
    observer = Observer()
    observer.connected = observer.connected[:nodes]
    for address in observer.connected:
        observer.change(address, ttl=7)
    told = tell(observer, 6, **options)
    assert told == [set(observer.connected)] * 6


@pytest.mark.parametrize('ttl', [7, 40])
@pytest.mark.parametrize('changed_at', [4, 5, 6])
def test_changes_are_told_to_all(changed_at, ttl):
    """A state that changes is told twice, at the next heartbeat at the latest.

    A stream that is replaced loses what was under way.
    """
    observer = Observer()
    for address in observer.connected:
        observer.change(address, ttl=ttl)
    told = tell(observer, 7, changed_at=changed_at, is_ready=False)
    assert (
        told[changed_at - 1 : changed_at + 1] == [set(observer.connected)] * 2
    )
