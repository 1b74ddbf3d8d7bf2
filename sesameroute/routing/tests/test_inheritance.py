"""Slots of a dead owner are used, those of a silent one are not."""

import pytest

from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet, NodePeers
from sesameroute.routing.tests.test_grants import Trial


def count_usable(fleet, vm, upstream):
    """Return the slots of a backend server that a VM may use."""
    book = fleet.nodes[vm].book_
    return book.ledgers_[upstream].count_usable(fleet.schedule.now)


@pytest.mark.parametrize(
    ('end', 'seconds', 'usable'),
    [
        ('crash', 1, 0),
        ('crash', 5, 4),
        ('lose', 1, 0),
        ('lose', 9, 2),
        ('pause', 9, 2),
    ],
)
def test_co_owner_after_the_end_of_the_home(end, seconds, usable):
    """A refused connection is proof of death; silence is none."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    getattr(fleet, end)('vm-n-a')
    fleet.run(seconds)
    assert count_usable(fleet, 'vm-n-b', 'tally-0') == usable


def test_cut_home_keeps_its_half():
    """On both sides of a cut the owners go on with their own slots."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    for other in ('n-b', 's-a', 's-b'):
        fleet.cut('n-a', other)
    fleet.run(9)
    assert count_usable(fleet, 'vm-n-a', 'tally-0') == 2
    assert count_usable(fleet, 'vm-n-b', 'tally-0') == 2


def test_restarted_home_gets_its_slots_back():
    """After a crash and a restart all is as before."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    fleet.crash('vm-n-a')
    fleet.run(6)
    fleet.boot('vm-n-a')
    fleet.run(9)
    assert count_usable(fleet, 'vm-n-a', 'tally-0') == 4


def load_both_sides():
    """Return the overflow of load on both sides of a cut."""
    trial = Trial()
    trial.advance(1)
    for other in ('n-b', 's-a', 's-b'):
        trial.fleet.cut('n-a', other)
    for _ in range(16):
        trial.advance(0.5)
        trial.load('vm-n-a', 8)
        trial.load('vm-n-b', 20)
    return trial.overflow


def test_cut_uses_no_slot_twice():
    """Both sides under load stay within the slots."""
    assert load_both_sides() <= 0


def test_oracle_sees_silence_as_proof(monkeypatch):
    """If silence counted as death, both sides would use the same slots."""

    def list_silent(peers):
        fleet = peers.fleet
        live = fleet.members[peers.vm].list_live()
        now = fleet.nodes[peers.vm].clock.read_monotonic()
        return {vm: now for vm in fleet.nodes if vm not in live}

    monkeypatch.setattr(NodePeers, 'list_refused', list_silent)
    assert load_both_sides() > 0
