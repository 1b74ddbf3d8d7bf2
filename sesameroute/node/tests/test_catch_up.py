"""Tests of when a node that has just started is ready."""

from types import SimpleNamespace

import pytest

from sesameroute.mirror import MirrorCopyRequest, Position
from sesameroute.node._catch_up import CatchUp
from sesameroute.node._era_translation import EraTranslation
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.routes import ActiveConfiguration, Configuration
from sesameroute.routing.tests.samples import ManualClock

_BOUND_SECONDS = 1.0
_STEP_SECONDS = 0.02
_OWN_ERA = 3


class PeerStub:
    """Connections to peers; keeps what is sent.

    Attributes
    ----------
    connected : list of str
        Peers with an open stream.
    refused : dict of str to float
        Times at which peers refused a connection.
    sent : list of tuple
        Peers and messages.

    """

    def __init__(self):
        """Start without peers."""
        self.connected = []
        self.refused = {}
        self.sent = []

    def list_connected(self):
        """Return the connected peers."""
        return tuple(self.connected)

    def list_refused_dials(self):
        """Return the times of the refused connections."""
        return self.refused

    def send_one_way(self, peer, message):
        """Keep a message."""
        self.sent.append((peer, message))


class StartedNode:
    """A node that compares with its peers, on a clock of its own."""

    def __init__(self, seeds=(), *, is_configured=True):
        """Start, with a first copy of the store if it is configured."""
        self.clock = ManualClock()
        self.peers = PeerStub()
        self.fleet = Fleet(make_state('own'), self.peers, self.clock)
        for seed in seeds:
            self.fleet.add_address(seed)
        self.active = ActiveConfiguration(is_held_back=True)
        revision = Position(_OWN_ERA, 40).pack() if is_configured else 0
        self.sync = SimpleNamespace(
            mirror=SimpleNamespace(
                revision_=revision, era_=_OWN_ERA if is_configured else 0
            ),
            eras=EraTranslation(int),
            read_era_=_OWN_ERA if is_configured else -1,
            peers=self.peers,
            copied_={'copied': 40, 'read': 39},
        )
        self.catch_up = CatchUp(self.fleet, self.sync, self.active, self.clock)
        self.completed = 0
        if is_configured:
            self.active.apply_if_newer(Configuration(1, ()))

    def run(self, seconds):
        """Let time pass; return whether the node is ready and serves."""
        steps = round(seconds / _STEP_SECONDS)
        for _ in range(max(steps, 1)):
            self.clock.now += _STEP_SECONDS
            self.catch_up.step(self._complete)
        return self.catch_up.is_complete_, self.active.table_ is not None

    def connect(self, peer, **state):
        """Open a stream to a peer; receive its state if there is one."""
        self.peers.connected.append(peer)
        if state:
            received = make_state(peer, **state)
            self.fleet.receive_state(received)
            self.sync.eras.observe_peer(peer, received.first_era)
            self.catch_up.receive(received)

    def _complete(self):
        self.completed += 1


def make_state(address, era=_OWN_ERA, revision=40, **fields):
    """Return the state of a node; an answer unless it says otherwise."""
    position = Position(era, revision).pack() if revision else 0
    return NodeState(
        address,
        'north-a',
        'north',
        f'{address}:1',
        revision=position,
        **{'first_era': 0, 'is_answer': True, **fields},
    )


_NOTHING, _SERVES, _READY = (False, False), (False, True), (True, True)


@pytest.mark.parametrize(
    ('peers', 'soon', 'late'),
    [
        ({}, _READY, _READY),
        ({'a': 'refused'}, _READY, _READY),
        ({'a': 'unreachable'}, _READY, _READY),
        ({'a': 'silent'}, _NOTHING, _READY),
        ({'a': {}}, _READY, _READY),
        ({'a': {'revision': 0}, 'b': {'revision': 0}}, _READY, _READY),
        ({'a': {'is_ready': True}, 'b': 'silent'}, _NOTHING, _READY),
        ({'a': {}, 'b': 'silent'}, _NOTHING, _READY),
        ({'a': {'is_ready': True, 'revision': 0}}, _NOTHING, _READY),
        ({'a': {'is_ready': True, 'era': 2}}, _NOTHING, _READY),
        ({'a': {'is_ready': True, 'era': 4}}, _NOTHING, _READY),
        ({'a': {'is_ready': True, 'is_answer': False}}, _NOTHING, _READY),
        ({'a': {'is_ready': True, 'is_answer': None}}, _READY, _READY),
        ({'a': {'is_ready': True, 'first_era': None}}, _NOTHING, _READY),
        (
            {'read': {'is_ready': True, 'first_era': None, 'era': 0}},
            _NOTHING,
            _READY,
        ),
        (
            {'copied': {'is_ready': True, 'first_era': None, 'era': 0}},
            _READY,
            _READY,
        ),
    ],
)
def test_node_is_ready_once_its_peers_have_told_what_they_know(
    peers, soon, late
):
    """It was ready with the first configuration that it read."""
    node = StartedNode([*peers, 'own'])
    for peer, state in peers.items():
        if state == 'refused':
            node.peers.refused[peer] = node.clock.now
        elif state == 'silent':
            node.connect(peer)
        elif state != 'unreachable':
            node.connect(peer, **{'era': _OWN_ERA, **state})
    assert node.run(0.6 * _BOUND_SECONDS) == soon
    assert node.run(_BOUND_SECONDS) == late
    node.connect('later', is_ready=True)
    assert node.run(_STEP_SECONDS) == late


def test_node_without_configuration_is_not_ready():
    """Neither the time limit nor peers without one make it ready."""
    node = StartedNode(['a'], is_configured=False)
    node.connect('a', revision=0)
    assert node.run(3 * _BOUND_SECONDS) == _NOTHING
    node.active.apply_if_newer(Configuration(1, ()))
    assert node.run(_STEP_SECONDS) == _READY


def test_node_without_store_waits_for_the_copy_of_a_peer_that_is_ahead():
    """A peer that was cut off had told first."""
    node = StartedNode(['a', 'b'])
    node.sync.read_era_ = -1
    node.connect('a', is_ready=True, revision=30)
    node.connect('b', is_ready=True, revision=50)
    node.sync.mirror.revision_ = Position(_OWN_ERA, 30).pack()
    assert node.run(_BOUND_SECONDS / 2) == _NOTHING
    node.sync.mirror.revision_ = Position(_OWN_ERA, 50).pack()
    assert node.run(2 * _STEP_SECONDS) == _READY


@pytest.mark.parametrize('state', [{}, {'is_answer': False}, {'era': 2}])
def test_peers_are_asked_until_they_answer(state):
    """A question or an answer may be lost, or come before a restore."""
    node = StartedNode(['a'])
    node.connect('a', **({'era': _OWN_ERA, **state} if state else {}))
    node.run(_BOUND_SECONDS / 2)
    kinds = [type(message) for _, message in node.peers.sent]
    # A peer in the same era is asked once more for what it holds.
    assert 0 <= kinds.count(MirrorCopyRequest) - kinds.count(NodeState) <= 1
    assert kinds.count(NodeState) == 2
    asked = [message for _, message in node.peers.sent]
    assert all(getattr(each, 'wants_answer', True) for each in asked)
    node.connect('a', era=_OWN_ERA)
    node.run(2 * _STEP_SECONDS)
    node.peers.sent.clear()
    assert node.run(_BOUND_SECONDS / 4) == _READY
    assert not node.peers.sent


def test_lost_peer_no_longer_counts_as_heard():
    """A peer that has told nothing since it started again may know more."""
    node = StartedNode(['a', 'b'])
    node.connect('a', era=_OWN_ERA)
    node.run(_STEP_SECONDS)
    node.peers.connected.clear()
    assert node.run(_BOUND_SECONDS / 4) == _NOTHING


def test_nodes_that_start_together_need_no_answers():
    """A fleet that starts at once sent each question and each answer."""
    node = StartedNode(['a', 'b'])
    for peer in ('a', 'b'):
        node.connect(peer, is_answer=False, wants_answer=True, revision=0)
    assert node.run(3 * _STEP_SECONDS) == _READY
    assert not node.peers.sent


@pytest.mark.parametrize(
    ('seconds', 'is_owed'), [(_STEP_SECONDS, False), (_BOUND_SECONDS / 2, True)]
)
def test_peer_that_was_asked_lately_is_not_answered(seconds, is_owed):
    """The question that it got says what an answer would."""
    node = StartedNode(['a', 'b'])
    node.connect('a')
    assert node.catch_up.owes_answer('a')
    node.run(_STEP_SECONDS)
    node.clock.now += seconds
    assert node.catch_up.owes_answer('a') == is_owed
    assert node.catch_up.owes_answer('b')


def test_unreachable_peer_is_awaited_for_half_a_second_only():
    """Seeds that are gone must not delay a node as long as slow answers."""
    node = StartedNode(['gone', 'slow'])
    node.connect('slow')
    assert node.run(0.6) == _NOTHING
    node.connect('slow', era=_OWN_ERA)
    assert node.run(3 * _STEP_SECONDS) == _READY


@pytest.mark.parametrize('seconds', [0.2, 3])
def test_time_limit_counts_from_the_first_configuration(seconds):
    """A node that got its configuration late did not compare it."""
    node = StartedNode(['a', 'b'], is_configured=False)
    node.run(seconds)
    node.connect('a')
    node.active.apply_if_newer(Configuration(1, ()))
    assert node.run(_BOUND_SECONDS / 2) == _NOTHING
    assert node.run(_BOUND_SECONDS) == _READY


def test_unconnected_nodes_delay_readiness_but_no_requests():
    """Callers that reach the node are served by what the peers know."""
    node = StartedNode(['a', 'b'])
    node.connect('a', is_ready=True)
    assert node.run(0.2) == _SERVES
    assert node.run(_BOUND_SECONDS / 2) == _READY


def test_read_of_an_earlier_era_is_no_read_of_this_one():
    """A second restore came while the node started."""
    node = StartedNode(['a'])
    node.sync.mirror.era_ = _OWN_ERA + 1
    node.sync.mirror.revision_ = Position(_OWN_ERA + 1, 10).pack()
    node.connect('a', is_ready=True, era=_OWN_ERA + 1, revision=50)
    assert node.run(3 * _STEP_SECONDS) == _NOTHING


def test_state_of_an_earlier_build_counts_once_it_had_time_to_reply():
    """It had followed the restore just before; what it held came later."""
    node = StartedNode(['old'])
    node.connect('old', is_ready=True, is_answer=None)
    asked = [message for _, message in node.peers.sent]
    assert [type(each) for each in asked] == [MirrorCopyRequest]
    assert node.run(0.2) == _NOTHING
    assert node.run(0.2) == _READY


@pytest.mark.parametrize('is_answer', [None, False])
def test_peer_that_follows_a_restore_late_is_asked_for_what_it_holds(
    is_answer,
):
    """The start was over by then, and nobody told."""
    node = StartedNode(['late'])
    node.connect('late', is_ready=True, is_answer=is_answer, era=_OWN_ERA - 1)
    assert node.run(2 * _BOUND_SECONDS) == _READY
    node.peers.sent.clear()
    for _ in range(3):
        node.connect('late', is_ready=True, is_answer=is_answer)
    kinds = [type(message) for _, message in node.peers.sent]
    assert kinds == [MirrorCopyRequest]
