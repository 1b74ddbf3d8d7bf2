"""The mirror: forward only, whatever comes late, doubled or from peers."""

import random

import pytest

from sesameroute.exceptions import StoreDownError
from sesameroute.mirror import (
    HistoryLostError,
    Mirror,
    MirrorItem,
    MirrorNews,
    StoreWatcher,
)


def build_news(base, revision, *items):
    """Return news with items of (key, revision, content)."""
    return MirrorNews(
        base,
        revision,
        tuple(MirrorItem(*item) for item in items),
    )


def build_mirror():
    """Return a mirror and the list of its changes."""
    changes = []
    return Mirror(changes.append), changes


def test_changes_are_told_once():
    """A repeated message changes nothing."""
    mirror, changes = build_mirror()
    news = build_news(0, 5, ('a', 3, b'x'), ('b', 5, b'y'))
    assert mirror.take(news, 1)
    assert mirror.take(news, 2)
    assert [item.key for item in changes] == ['a', 'b']
    assert mirror.revision_ == 5


def test_a_gap_is_refused():
    """News that build on what is not known are not applied."""
    mirror, changes = build_mirror()
    mirror.take(build_news(0, 5), 1)
    assert not mirror.take(build_news(7, 9, ('a', 9, b'x')), 2)
    assert (mirror.revision_, changes) == (5, [])


def test_an_older_copy_changes_nothing():
    """A peer that is behind does not bring the past back."""
    mirror, changes = build_mirror()
    mirror.take(build_news(0, 9, ('a', 9, b'new')), 1)
    mirror.take(build_news(0, 5, ('a', 5, b'old'), ('b', 4, b'gone')), 2)
    assert [item.content for item in changes] == [b'new']


def test_a_copy_removes_what_it_lacks():
    """After lost history the listing says what is gone."""
    mirror, changes = build_mirror()
    mirror.take(build_news(0, 5, ('a', 3, b'x'), ('b', 5, b'y')), 1)
    mirror.take(build_news(0, 8, ('b', 5, b'y')), 2)
    assert (changes[-1].key, changes[-1].content) == ('a', None)


def test_a_late_copy_does_not_bring_a_removed_item_back():
    """News are told again after what they wrote has been removed."""
    mirror, changes = build_mirror()
    written = build_news(1, 3, ('a', 3, b'x'))
    mirror.take(build_news(0, 1), 0)
    mirror.take(written, 1)
    mirror.take(build_news(3, 5, ('a', 5, None)), 2)
    mirror.take(written, 3)
    assert [item.content for item in changes] == [b'x', None]
    assert mirror.list_items('') == []


def test_age_travels_with_the_news():
    """A copy of a stale peer is not fresh."""
    mirror, _changes = build_mirror()
    mirror.take(MirrorNews(0, 5, (), age=4), 10)
    assert mirror.fresh_ == 6


@pytest.mark.parametrize('seed', range(20))
def test_any_order_ends_the_same(seed):
    """Groups of changes in any order, doubled, end at the newest state."""
    drawn = random.Random(seed)
    mirror, _changes = build_mirror()
    truth = {}
    groups = []
    revision = 1
    mirror.take(build_news(0, revision), 0)
    for _ in range(30):
        items = []
        base = revision
        for _ in range(drawn.randint(0, 3)):
            revision += 1
            content = drawn.choice([None, str(revision).encode()])
            key = drawn.choice('abc')
            items.append((key, revision, content))
            truth[key] = content
        groups.append(build_news(base, revision, *items))
    pending = list(groups)
    while pending:
        pick = drawn.randrange(min(len(pending), 4))
        if mirror.take(pending[pick], 1) and drawn.random() < 0.8:
            pending.pop(pick)
    known = {item.key: item.content for item in mirror.list_items('')}
    wanted = {key: content for key, content in truth.items() if content}
    assert known == wanted


class Source:
    """A store that answers by a script."""

    def __init__(self, *answers):
        """Store the answers; errors are raised."""
        self.answers = list(answers)
        self.calls = []

    def read_all(self):
        """Give the next answer."""
        return self._give('all')

    def watch(self, revision, seconds):
        """Give the next answer."""
        return self._give(revision)

    def _give(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Clock:
    """A clock that stands."""

    def read_monotonic(self):
        """Return a time."""
        return 1.0


def run_watcher(source, monkeypatch):
    """Run a watcher until its source has no answers left."""
    mirror, _changes = build_mirror()
    told = []
    watcher = StoreWatcher(
        mirror,
        source,
        lambda: True,
        told.append,
        Clock(),
    )

    def wait(_seconds):
        if not source.answers:
            watcher.stop()
        return False

    monkeypatch.setattr(watcher._is_stopping, 'wait', wait)
    watcher._run()
    return mirror, told


def test_lost_history_leads_to_a_listing(monkeypatch):
    """410 is followed by a listing, never by a watch from the start."""
    source = Source(
        build_news(0, 5, ('a', 5, b'x')),
        HistoryLostError('gone'),
        build_news(0, 9, ('a', 9, b'y')),
        build_news(9, 9),
    )
    mirror, told = run_watcher(source, monkeypatch)
    assert source.calls == ['all', 5, 'all', 9]
    assert (mirror.revision_, len(told)) == (9, 3)


def test_a_store_that_is_down_is_asked_again(monkeypatch):
    """What is known stays."""
    source = Source(
        build_news(0, 5, ('a', 5, b'x')),
        StoreDownError('busy'),
        StoreDownError('busy'),
        build_news(5, 6, ('a', 6, None)),
    )
    mirror, told = run_watcher(source, monkeypatch)
    assert source.calls == ['all', 5, 5, 5]
    assert (mirror.revision_, len(told)) == (6, 2)
