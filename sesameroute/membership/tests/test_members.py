"""Members and threads under failure."""

import threading

import pytest

from sesameroute.membership import Digest, Members
from sesameroute.membership._expiry import ExpiringNames
from sesameroute.membership._members import LEAVING_SECONDS
from sesameroute.membership._steps import StepThreads
from sesameroute.membership.tests.world import VMS, FakeClock, read_statement
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
def test_witnesses(digest, expected):
    """Witnesses live, stay, and stand in the same region."""
    _clock, members = _make_members(VMS)
    for name in VMS:
        fields = digest if name == 'vm1' else {}
        members.observe(Digest(name, 'i', 1, **fields))
    found = members.list_witnesses(read_statement('good'))
    assert sorted(found) == sorted(expected)


def test_live_needs_contact():
    """Neither the VM list nor an old digest makes a VM live."""
    connected = ['vm1']
    clock, members = _make_members(connected)
    members.observe_list([ListedVm('vm1', '127.0.0.1')])
    assert not members.list_live()
    members.observe(Digest('vm1', 'i', 1))
    assert members.find_incarnation('vm1') == 'i'
    clock.sleep(11)
    assert not members.find_incarnation('vm1')
    members.observe(Digest('vm1', 'i', 1))
    connected.clear()
    assert not members.list_live()


def test_leaving_ends():
    """Two nodes that tell each other can't keep a name alive."""
    clock, one = _make_members(())
    other = ExpiringNames(clock, LEAVING_SECONDS)
    one.observe_list([ListedVm('vm1', '127.0.0.1', leaving=True)])
    for _ in range(40):
        other.merge(one.leaving.list_pairs())
        one.leaving.merge(other.list_pairs())
        clock.sleep(1)
    assert not one.list_leaving()
    assert not other.list_names()


def test_bounds():
    """Digests and names of strangers do not grow without end."""
    _clock, members = _make_members(())
    pairs = tuple((f'name{number}', 5.0) for number in range(3000))
    for number in range(3000):
        members.observe(Digest(f'stranger{number}', 'i', 1))
    members.observe(Digest('stranger', 'i', 1, leaving=pairs))
    assert len(members._known) == 1024
    assert members.find_digest('stranger')
    assert len(members.list_leaving()) == 512


def test_failed_step(monkeypatch):
    """A step that fails is shown, counted and tried again."""
    again, shown = threading.Event(), []
    monkeypatch.setattr(threading, 'excepthook', shown.append)
    threads = StepThreads()

    def fail():
        if threads.failures['failing']:
            again.set()
            return 60
        raise ValueError('asked to')

    threads.spawn('failing', fail)
    assert again.wait(5)
    threads.stop()
    assert threads.failures == {'failing': 1}
    assert str(shown[0].exc_value) == 'asked to'
