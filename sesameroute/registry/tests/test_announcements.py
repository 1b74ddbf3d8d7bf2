"""What servers say of themselves, by incarnation and age."""

import pytest

from sesameroute.registry import (
    Announcement,
    Announcements,
    Backend,
    BackendState,
    Registry,
    list_leaving,
)
from sesameroute.registry import _announcements as module


def say(incarnation=7, said_at=5, limit=None, source='', name='i-1'):
    """Return an announcement without the word that the server leaves."""
    return Announcement(name, incarnation, said_at, limit, source)


def pause(until, incarnation=7, said_at=5, limit=None, source=''):
    """Return the announcement of a server that asks for a pause."""
    return Announcement(
        'i-1', incarnation, said_at, limit, source, False, until, source
    )


def leave(incarnation=7, said_at=5, limit=None, source='', name='i-1'):
    """Return the announcement of a server that leaves."""
    return Announcement(name, incarnation, said_at, limit, source, True)


@pytest.fixture
def registry():
    """Return a registry with one backend server."""
    filled = Registry()
    filled.put(build_backend(), 0)
    return filled


def build_backend(incarnation=7, name='i-1'):
    """Return a ready backend server."""
    return Backend(
        name,
        's',
        '10.0.0.1',
        80,
        'z',
        4,
        BackendState.READY,
        incarnation=incarnation,
    )


@pytest.mark.parametrize(
    ('said', 'is_leaving'),
    [
        ([leave()], True),
        ([say()], False),
        ([say(limit=4)], False),
        ([leave(), say(said_at=6)], True),
        ([leave(), say(said_at=6, limit=4)], True),
        ([leave(), say(said_at=6, source='peer')], True),
        ([say(said_at=6, limit=4), leave(said_at=5)], True),
        ([say(said_at=6, limit=4), leave(said_at=5, source='peer')], True),
        ([leave(incarnation=6)], False),
        ([leave(incarnation=8)], False),
        ([leave(incarnation=6), leave(incarnation=7)], True),
        ([leave(incarnation=7), leave(incarnation=6, said_at=9)], True),
    ],
)
def test_leaving_holds_for_one_incarnation(registry, said, is_leaving):
    """A server that had said that it leaves got requests again."""
    for each in said:
        registry.announcements.record(each)
    assert registry.announcements.is_leaving('i-1', 7) is is_leaving
    assert registry.may_receive_requests('i-1', 7) is not is_leaving
    assert bool(registry.list_service('s')) is not is_leaving
    assert bool(registry.list_ready()) is not is_leaving
    assert bool(list_leaving(registry)) is is_leaving


def test_server_that_starts_again_is_not_leaving(registry):
    """The same name and address with a later incarnation is another server."""
    registry.announcements.record(leave())
    registry.put(build_backend(incarnation=8), 1)
    assert registry.may_receive_requests('i-1', 8)
    assert not list_leaving(registry)
    registry.announcements.record(leave(said_at=9))
    assert registry.may_receive_requests('i-1', 8)


def test_entry_that_is_back_still_leaves(registry):
    """An entry that had lapsed for a while said nothing of the server."""
    registry.announcements.record(leave())
    registry.remove('i-1', 6)
    registry.expire(20)
    assert not list_leaving(registry)
    registry.put(build_backend(), 21)
    assert not registry.may_receive_requests('i-1', 7)


def test_leaving_counts_as_a_change_once(registry):
    """Pools are brought up to date as soon as a server leaves."""
    heard = []
    registry.announcements.listener_ = heard.append
    known = registry.change_count_
    registry.announcements.record(say())
    registry.announcements.record(say(said_at=6, limit=4))
    assert registry.change_count_ == known
    assert registry.announcements.record(leave(said_at=7))
    assert registry.change_count_ == known + 1
    assert not registry.announcements.record(leave(said_at=8))
    assert not registry.announcements.record(leave(said_at=8, source='peer'))
    assert registry.change_count_ == known + 1
    assert heard == [say(said_at=6, limit=4), leave(said_at=7)]


def test_leaving_is_forgotten_last(monkeypatch):
    """A server that leaves can't repeat its word: it gets no request."""
    monkeypatch.setattr(module, '_MAX_ANNOUNCEMENTS', 3)
    announcements = Announcements()
    announcements.record(leave(name='first'))
    for number in range(9):
        announcements.record(say(limit=4, name=f'limited-{number}'))
    assert announcements.is_leaving('first', 7)
    assert len(announcements.list_newest()) == 3
    for number in range(3):
        announcements.record(leave(name=f'leaving-{number}'))
    assert not announcements.is_leaving('first', 7)
    assert len(announcements.list_newest()) == 3


@pytest.mark.parametrize(
    ('said', 'ends'),
    [
        ([say()], None),
        ([pause(5)], None),
        ([pause(9)], 9),
        ([pause(9), say(said_at=6)], 9),
        ([pause(9), say(said_at=6, limit=4), say(said_at=7)], 9),
        ([say(said_at=6, limit=4), pause(9, said_at=5)], 9),
        ([pause(9), pause(7, said_at=6)], 9),
        ([pause(9), pause(12, said_at=6)], 12),
        ([pause(9), pause(12, said_at=6, source='peer')], 12),
        ([pause(9), leave(said_at=6)], 9),
        ([pause(9, incarnation=6)], None),
        ([pause(9), say(incarnation=8, limit=4)], None),
        ([pause(9, incarnation=8), pause(12, incarnation=7)], None),
    ],
)
def test_pause_lasts_to_the_latest_end_for_one_incarnation(said, ends):
    """Nothing had read that a server wanted no requests."""
    announcements = Announcements()
    for each in said:
        announcements.record(each)
    found = announcements.find_pause_end('i-1', 7)
    assert (found if found > 0 else None) == ends


def test_pause_leaves_the_newer_limit():
    """An answer that was read late withdrew no limit."""
    announcements = Announcements()
    announcements.record(say(said_at=6, limit=4))
    known = announcements.change_count_
    assert announcements.record(pause(9))
    assert announcements.find_limit('i-1', 7) == 4
    assert announcements.change_count_ == known + 1
    assert not announcements.record(pause(9))
