"""Tests of the membership table and of the periodic threads."""

import threading

import pytest

from sesameroute.membership import Digest, Members
from sesameroute.membership._expiry import ExpiringNames
from sesameroute.membership._members import LEAVING_EXPIRY_SECONDS
from sesameroute.membership._periodic import PeriodicThreads
from sesameroute.membership.tests.simulated_fleet import (
    VMS,
    FakeClock,
    read_statement,
)
from sesameroute.ports import ListedVm


def _make_members(connected):
    clock = FakeClock()
    return clock, Members('vm0', clock, lambda: tuple(connected))


@pytest.mark.parametrize(
    ('digest', 'expected'),
    [
        ({}, ('vm1', 'vm2')),
        ({'draining': True}, ('vm2',)),
        ({'leaving': (('vm1', 5.0),)}, ('vm2',)),
        ({'leaving': (('vm1', -1.0),)}, ('vm1', 'vm2')),
    ],
)
def test_witnesses_are_available_and_in_region(digest, expected):
    """Witnesses are live, neither draining nor leaving, and in the region."""
    _clock, members = _make_members(VMS)
    for name in VMS:
        fields = digest if name == 'vm1' else {}
        members.observe(Digest(name, 'i', 1, **fields))
    found = members.list_witnesses(read_statement('good'))
    assert sorted(found) == sorted(expected)


def test_live_needs_stream_and_recent_digest():
    """The VM list, an old digest or a lost stream leave a VM not live."""
    connected = ['vm1']
    clock, members = _make_members(connected)
    members.observe_vm_list([ListedVm('vm1', '127.0.0.1')])
    assert not members.list_live()
    members.observe(Digest('vm1', 'i', 1))
    assert members.find_incarnation('vm1') == 'i'
    clock.sleep(11)
    assert not members.find_incarnation('vm1')
    members.observe(Digest('vm1', 'i', 1))
    connected.clear()
    assert not members.list_live()


def test_relayed_leaving_expires():
    """Two nodes that relay a name to each other can't keep it alive."""
    clock, table = _make_members(())
    relay = ExpiringNames(clock, LEAVING_EXPIRY_SECONDS)
    table.observe_vm_list([ListedVm('vm1', '127.0.0.1', leaving=True)])
    for _ in range(40):
        relay.merge(table.leaving.list_remaining())
        table.leaving.merge(relay.list_remaining())
        clock.sleep(1)
    assert not table.list_leaving()
    assert not relay.list_names()


def test_table_sizes_are_bounded():
    """Digests and names of unknown senders are kept up to a bound only."""
    _clock, members = _make_members(())
    pairs = tuple((f'name{number}', 5.0) for number in range(3000))
    for number in range(3000):
        members.observe(Digest(f'stranger{number}', 'i', 1))
    members.observe(Digest('stranger', 'i', 1, leaving=pairs))
    assert len(members._received) == 1024
    assert members.find_digest('stranger')
    assert len(members.list_leaving()) == 512


def test_failed_step_is_reported_and_retried(monkeypatch):
    """A step that raises is reported, counted and run again."""
    retried, reported = threading.Event(), []
    monkeypatch.setattr(threading, 'excepthook', reported.append)
    threads = PeriodicThreads()

    def fail():
        if threads.failures['failing']:
            retried.set()
            return 60
        raise ValueError('requested by the test')

    threads.spawn('failing', fail)
    assert retried.wait(5)
    threads.stop()
    assert threads.failures == {'failing': 1}
    assert str(reported[0].exc_value) == 'requested by the test'
