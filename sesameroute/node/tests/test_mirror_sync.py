"""Tests of what a node takes of the copies that peers send."""

import pytest

from sesameroute.mirror import (
    HeldItem,
    Mirror,
    MirrorCopyRequest,
    MirrorItem,
    Position,
)
from sesameroute.mirror import MirrorUpdate as Update
from sesameroute.node._era_translation import EraTranslation
from sesameroute.node._fleet import Fleet
from sesameroute.node._mirror_sync import MirrorSync
from sesameroute.node.tests.test_catch_up import PeerStub, make_state
from sesameroute.platform import PlatformDocumentOrder
from sesameroute.routing.tests.samples import ManualClock

_SERVER = MirrorItem('servers/a', 5, b'{}')
_EVACUATION = MirrorItem('op/evacuate/north-a', 12, b'{}')


@pytest.fixture
def sync():
    """Return a node's part, with a peer of a build without eras."""
    clock, peers = ManualClock(), PeerStub()
    peers.connected = ['old']
    made = MirrorSync(
        Mirror(bool, order=PlatformDocumentOrder()),
        Fleet(make_state('own'), peers, clock),
        peers,
        clock,
        EraTranslation(int),
    )
    made.compare('old', make_state('old', era=0, revision=10, first_era=None))
    made.receive('old', Update(0, 10, (_SERVER,)))
    return made


def test_copy_of_a_peer_without_eras_closes_a_gap(sync):
    """A missed evacuation came a second late beside nodes of be4f3ab."""
    sync.is_starting_ = False
    sync.clock.now += 0.3
    sync.receive('old', Update(12, 13, ()))
    assert any(
        isinstance(message, MirrorCopyRequest) for _, message in sync.peers.sent
    )
    sync.receive('old', Update(0, 13, (_SERVER, _EVACUATION)))
    assert sync.mirror.revision_ == 13
    assert _EVACUATION in sync.mirror.list_items('op/')


@pytest.mark.parametrize(
    ('known', 'sent'), [(0, []), (9, [Update]), (10, []), (99, [])]
)
def test_copy_is_sent_to_a_peer_that_has_an_older_one_only(sync, known, sent):
    """A question for what is held built and encoded the whole copy."""
    sync.eras.observe_peer('old', 0)
    sync.peers.sent.clear()
    reply = sync.answer('old', MirrorCopyRequest(Position(0, known).pack()))
    assert (reply is not None) == (known == 0)
    _held, *others = sync.peers.sent
    assert [type(message) for _, message in others] == sent


def test_copy_for_a_build_without_eras_does_not_end_what_is_held(sync):
    """A node that had just started knew nothing of its peers' builds.

    One that entered the new era by its copy took what was held for written,
    held nothing, and told all others so: an evacuation was over everywhere.
    """
    sync.is_starting_ = False
    sync.clock.now += 1
    sync.eras.observe_peer('started', 0)
    sync.receive('old', Update(0, 13, (_SERVER, _EVACUATION)))
    eras = EraTranslation(int)
    restored = Update(0, Position(1, 11).pack(), (_SERVER,))
    held = HeldItem(_EVACUATION, 0)
    sync.peers.sent.clear()
    sync.receive('started', eras.encode('own', restored, [held]))
    assert [type(message) for _, message in sync.peers.sent] == [
        MirrorCopyRequest
    ]
    eras.observe_peer('own', 0)
    sync.receive('started', eras.encode('own', restored, [held]))
    assert sync.mirror.era_ == 1
    assert sync.mirror.list_held().held == (held,)
