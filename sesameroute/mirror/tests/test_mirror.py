"""Mirror and watcher: late, repeated and missing updates, store failures."""

import random

import pytest

from sesameroute.exceptions import StoreUnreachableError
from sesameroute.mirror import (
    HistoryLostError,
    Mirror,
    MirrorItem,
    MirrorUpdate,
    Position,
    StoreWatcher,
)


def build_update(base, revision, *items):
    """Return an update with items given as (key, revision, content)."""
    return MirrorUpdate(
        base,
        revision,
        tuple(MirrorItem(*item) for item in items),
    )


def build_mirror():
    """Return a mirror and the list that collects its changed items."""
    changes = []
    return Mirror(changes.append), changes


def test_repeated_update_reports_no_change():
    """`on_change` is called once for each changed item."""
    mirror, changes = build_mirror()
    update = build_update(0, 5, ('a', 3, b'x'), ('b', 5, b'y'))
    assert mirror.apply(update, 1)
    assert mirror.apply(update, 2)
    assert [item.key for item in changes] == ['a', 'b']
    assert mirror.revision_ == 5


def test_update_after_a_gap_is_refused():
    """An update whose base is later than the mirror is not applied."""
    mirror, changes = build_mirror()
    mirror.apply(build_update(0, 5), 1)
    assert not mirror.apply(build_update(7, 9, ('a', 9, b'x')), 2)
    assert (mirror.revision_, changes) == (5, [])


def test_older_copy_is_ignored():
    """A full copy from a peer that is behind must not undo changes."""
    mirror, changes = build_mirror()
    mirror.apply(build_update(0, 9, ('a', 9, b'new')), 1)
    mirror.apply(build_update(0, 5, ('a', 5, b'old'), ('b', 4, b'gone')), 2)
    assert [item.content for item in changes] == [b'new']


def test_copy_removes_items_that_it_does_not_contain():
    """After a loss of history only a full copy shows what was removed."""
    mirror, changes = build_mirror()
    mirror.apply(build_update(0, 5, ('a', 3, b'x'), ('b', 5, b'y')), 1)
    mirror.apply(build_update(0, 8, ('b', 5, b'y')), 2)
    assert (changes[-1].key, changes[-1].content) == ('a', None)


def test_repeated_update_does_not_restore_a_removed_item():
    """A peer may deliver a write again after its item has been removed."""
    mirror, changes = build_mirror()
    write = build_update(1, 3, ('a', 3, b'x'))
    mirror.apply(build_update(0, 1), 0)
    mirror.apply(write, 1)
    mirror.apply(build_update(3, 5, ('a', 5, None)), 2)
    mirror.apply(write, 3)
    assert [item.content for item in changes] == [b'x', None]
    assert mirror.list_items('') == []


def test_age_of_an_update_is_subtracted():
    """A copy from a peer that is not up to date does not count as fresh."""
    mirror, _changes = build_mirror()
    mirror.apply(MirrorUpdate(0, 5, (), age=4), 10)
    assert mirror.verified_at_ == 6


@pytest.mark.parametrize('seed', range(20))
def test_updates_in_any_order_give_the_latest_state(seed):
    """Updates may arrive out of order and repeatedly."""
    rng = random.Random(seed)
    mirror, _changes = build_mirror()
    expected_contents = {}
    updates = []
    revision = 1
    mirror.apply(build_update(0, revision), 0)
    for _ in range(30):
        items = []
        base = revision
        for _ in range(rng.randint(0, 3)):
            revision += 1
            content = rng.choice([None, str(revision).encode()])
            key = rng.choice('abc')
            items.append((key, revision, content))
            expected_contents[key] = content
        updates.append(build_update(base, revision, *items))
    pending = list(updates)
    while pending:
        index = rng.randrange(min(len(pending), 4))
        if mirror.apply(pending[index], 1) and rng.random() < 0.8:
            pending.pop(index)
    actual = {item.key: item.content for item in mirror.list_items('')}
    expected = {
        key: content for key, content in expected_contents.items() if content
    }
    assert actual == expected


class ScriptedStore:
    """A store that returns or raises prepared answers in turn."""

    def __init__(self, *answers):
        """Store the answers; exceptions among them are raised."""
        self.answers = list(answers)
        self.calls = []

    def read_all(self):
        """Return the next answer."""
        return self._pop_answer('all')

    def watch(self, revision, seconds):
        """Return the next answer."""
        return self._pop_answer(revision)

    def _pop_answer(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class FixedClock:
    """A clock that always shows the same time."""

    def read_monotonic(self):
        """Return the fixed time."""
        return 1.0


def run_watcher(store, monkeypatch, order=None):
    """Run a watcher until the store has no answers left."""
    mirror = Mirror(bool, order=order)
    forwarded = []
    watcher = StoreWatcher(
        mirror,
        store,
        lambda: True,
        forwarded.append,
        FixedClock(),
    )

    def wait(_seconds):
        if not store.answers:
            watcher.stop()
        return False

    monkeypatch.setattr(watcher._is_stopping, 'wait', wait)
    watcher._run()
    return mirror, forwarded


def test_lost_history_is_followed_by_a_full_read(monkeypatch):
    """The watcher reads all items; it doesn't watch from revision 0.

    The store reports lost history with status 410.
    """
    store = ScriptedStore(
        build_update(0, 5, ('a', 5, b'x')),
        HistoryLostError('gone'),
        build_update(0, 9, ('a', 9, b'y')),
        build_update(9, 9),
    )
    mirror, forwarded = run_watcher(store, monkeypatch)
    assert store.calls == ['all', 5, 'all', 9]
    assert (mirror.revision_, len(forwarded)) == (9, 3)


def test_watch_is_retried_while_the_store_is_down(monkeypatch):
    """The items stay, and the watch goes on at the same revision."""
    store = ScriptedStore(
        build_update(0, 5, ('a', 5, b'x')),
        StoreUnreachableError('busy'),
        StoreUnreachableError('busy'),
        build_update(5, 6, ('a', 6, None)),
    )
    mirror, forwarded = run_watcher(store, monkeypatch)
    assert store.calls == ['all', 5, 5, 5]
    assert (mirror.revision_, len(forwarded)) == (6, 2)


def test_restored_store_is_read_once(monkeypatch):
    """Each read of the restored store looked older than the replica."""
    in_era = Position(1, 3).pack()
    store = ScriptedStore(
        build_update(0, 9, ('a', 9, b'x')),
        HistoryLostError('era 1'),
        build_update(0, in_era),
        build_update(in_era, in_era + 1, ('a', in_era + 1, b'y')),
    )
    mirror, forwarded = run_watcher(store, monkeypatch)
    assert store.calls == ['all', 9, 'all', in_era]
    assert [item.content for item in mirror.list_items('')] == [b'y']
    assert len(forwarded) == 3


def test_store_that_is_older_without_an_era_is_read_rarely(monkeypatch):
    """The replica stays until the store has passed it."""
    store = ScriptedStore(
        build_update(0, 9, ('a', 9, b'x')),
        HistoryLostError('gone'),
        build_update(0, 5),
        build_update(0, 12, ('a', 11, b'y')),
        build_update(12, 12),
    )
    mirror, forwarded = run_watcher(store, monkeypatch)
    assert store.calls == ['all', 9, 'all', 'all', 12]
    assert (mirror.revision_, len(forwarded)) == (12, 3)


class OperatorOrder:
    """Order of documents without stamps; all are the operator's."""

    def read_stamp(self, _document):
        """Return no stamp."""

    def is_durable(self, _key):
        """Return True."""
        return True


@pytest.mark.parametrize(
    ('history', 'expected'),
    [
        ((), [b'x']),
        ((('a', 5, None),), [b'x']),
        ((('a', 7, None),), []),
        ((('a', 7, b'y'), ('a', 8, None)), []),
    ],
)
def test_history_tells_lost_items_from_removed_ones(
    monkeypatch, history, expected
):
    """What was removed after the copy, before the first read, is not held."""
    in_era = Position(1, 9).pack()
    since = Position(1, 6).pack()
    changes = tuple(
        (key, Position(1, revision).pack(), content)
        for key, revision, content in history
    )
    store = ScriptedStore(
        build_update(0, 6, ('a', 6, b'x')),
        HistoryLostError('era 1'),
        build_update(0, in_era),
        build_update(since, in_era, *changes),
        build_update(in_era, in_era),
    )
    mirror, _forwarded = run_watcher(store, monkeypatch, OperatorOrder())
    assert store.calls == ['all', 6, 'all', since, in_era]
    assert [item.content for item in mirror.list_items('')] == expected


def test_history_is_read_again_after_an_error(monkeypatch):
    """One call that failed left a zone evacuated that had been taken back."""
    in_era = Position(1, 9).pack()
    since = Position(1, 6).pack()
    removal = ('a', Position(1, 7).pack(), None)
    store = ScriptedStore(
        build_update(0, 6, ('a', 6, b'x')),
        HistoryLostError('era 1'),
        build_update(0, in_era),
        StoreUnreachableError('busy'),
        build_update(in_era, in_era),
        build_update(since, in_era, removal),
        build_update(in_era, in_era),
    )
    mirror, _forwarded = run_watcher(store, monkeypatch, OperatorOrder())
    assert since in store.calls[4:]
    assert not mirror.list_items('')
