"""Tests of submissions to a store that goes back to an older value."""

import pytest

from sesameroute.exceptions import ConflictError, StoreUnreachableError
from sesameroute.statement import read_statement
from sesameroute.submission import ConfigurationStore, Submitter, add_drain
from sesameroute.submission.tests.faulty_store import FakeClock, FaultyStore
from sesameroute.submission.tests.small_statement import build_small_statement


class RestoredStore(FaultyStore):
    """A store that is restored while a swap can't reach it.

    Attributes
    ----------
    submissions_after_restore : int or None
        Other operators' submissions from then on; None before the restore.

    """

    def __init__(self):
        """Create an empty store that is not restored."""
        super().__init__()
        self.submissions_after_restore = None

    def swap(self, key, content, revision, tag=''):
        """Drop the newest configuration, if the test asked so."""
        following = self.submissions_after_restore
        if following is None:
            return super().swap(key, content, revision, tag)
        self.submissions_after_restore = None
        self.accepted.pop()
        for _ in range(following):
            self.add_concurrent_submission()
        raise StoreUnreachableError('restored')


@pytest.fixture
def store():
    """Return a store with two configurations."""
    filled = RestoredStore()
    _make_submitter(filled).submit(build_small_statement())
    _drain(filled, 'order-desk-1')
    return filled


def _make_submitter(store):
    return Submitter(
        ConfigurationStore(store, 'key', FakeClock(), timeout_seconds=3, seed=1)
    )


def _drain(store, subject):
    _make_submitter(store).edit(lambda found: add_drain(found, subject))


@pytest.mark.parametrize('following', [0, 1, 2])
def test_submission_replaces_no_other_one(store, following):
    """What followed the restore is kept, also at the revision of the base."""
    statement = read_statement(store.accepted[-1].text)
    store.submissions_after_restore = following
    with pytest.raises(ConflictError):
        _make_submitter(store).submit(statement)
    assert len(store.accepted) == 1 + following


def test_refusal_names_the_restore(store):
    """Without a newer value, the refusal does not claim that there is one."""
    statement = read_statement(store.accepted[-1].text)
    store.submissions_after_restore = 0
    with pytest.raises(ConflictError, match='or was restored'):
        _make_submitter(store).submit(statement)


@pytest.mark.parametrize('following', [1, 2])
def test_change_applies_to_what_followed(store, following):
    """A change that was refused is made again on the newest configuration."""
    store.submissions_after_restore = following
    _drain(store, 'order-desk-2')
    newest = store.accepted[-1]
    assert newest.version == 2 + following
    assert newest.recent[0] == f'concurrent-{following}'
    assert '[drain order-desk-2]' in newest.text
