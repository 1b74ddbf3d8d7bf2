"""Slots of a stopped owner are taken over, those of a silent one not.

If silence counted as proof that an owner has stopped, both sides of a network
partition would use the same slots.
"""

import pytest

from sesameroute.routing.tests import samples
from sesameroute.routing.tests.fleet import Fleet, NodePeers
from sesameroute.routing.tests.test_grants import LoadTest


def count_usable(fleet, vm, upstream):
    """Return the slots of a backend server that a VM may use."""
    table = fleet.nodes[vm].table_
    return table.ledgers_[upstream].count_usable(fleet.schedule.now)


@pytest.mark.parametrize(
    ('fault', 'seconds', 'usable'),
    [
        ('crash', 1, 0),
        ('crash', 5, 4),
        ('stop_machine', 1, 0),
        ('stop_machine', 9, 2),
        ('pause', 9, 2),
    ],
)
def test_co_owner_after_loss_of_primary(fault, seconds, usable):
    """Only refused connections let the co-owner take over slots."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    getattr(fleet, fault)('vm-n-a')
    fleet.run(seconds)
    assert count_usable(fleet, 'vm-n-b', 'tally-0') == usable


def test_partitioned_owners_keep_their_own_slots():
    """Owners on both sides of a partition keep only their own slots."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    for other in ('n-b', 's-a', 's-b'):
        fleet.partition('n-a', other)
    fleet.run(9)
    assert count_usable(fleet, 'vm-n-a', 'tally-0') == 2
    assert count_usable(fleet, 'vm-n-b', 'tally-0') == 2


def test_restarted_primary_gets_its_slots_back():
    """After a crash and a restart the primary has all slots again."""
    fleet = Fleet(samples.build_statement())
    fleet.run(2)
    fleet.crash('vm-n-a')
    fleet.run(6)
    fleet.boot('vm-n-a')
    fleet.run(9)
    assert count_usable(fleet, 'vm-n-a', 'tally-0') == 4


def load_both_sides():
    """Return the excess under load on both sides of a partition."""
    load_test = LoadTest()
    load_test.advance(1)
    for other in ('n-b', 's-a', 's-b'):
        load_test.fleet.partition('n-a', other)
    for _ in range(16):
        load_test.advance(0.5)
        load_test.submit_requests('vm-n-a', 8)
        load_test.submit_requests('vm-n-b', 20)
    return load_test.max_excess


def test_partition_uses_no_slot_twice():
    """Both sides under load stay within the slots."""
    assert load_both_sides() <= 0


def test_silence_as_proof_lets_slots_be_used_twice(monkeypatch):
    """If silence counted as proof, both sides would use the same slots."""

    def list_silent(peers):
        fleet = peers.fleet
        live = fleet.members[peers.vm].list_live()
        now = fleet.nodes[peers.vm].clock.read_monotonic()
        return {vm: now for vm in fleet.nodes if vm not in live}

    monkeypatch.setattr(NodePeers, 'list_refused_dials', list_silent)
    assert load_both_sides() > 0
