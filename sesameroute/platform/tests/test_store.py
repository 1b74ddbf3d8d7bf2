"""The store's client against a store that misbehaves."""

import pytest

from sesameroute.exceptions import StoreDownError, StoreUnknownError
from sesameroute.mirror import HistoryLostError
from sesameroute.platform import LeaseLostError, PlatformStore
from sesameroute.platform.tests.store_standin import StoreStandIn
from sesameroute.ports import TcpWire


@pytest.fixture
def standin():
    """Return a store that stops at the end."""
    running = StoreStandIn(page=3)
    yield running
    running.stop()


@pytest.fixture
def store(standin):
    """Return a client of it."""
    return PlatformStore(standin.address, TcpWire(), '127.0.0.1')


def test_all_pages_are_read(standin, store):
    """A listing goes on until the store has no more."""
    for number in range(8):
        standin.put(f'servers/{number}', b'x')
    news = store.read_all()
    assert [item.key for item in news.items] == [
        f'servers/{number}' for number in range(8)
    ]
    assert (news.base, news.revision) == (0, standin.revision)


def test_a_watch_returns_changes_and_removals(standin, store):
    """Removed keys come without content."""
    standin.put('op/config', b'one')
    known = standin.revision
    standin.put('op/config', b'two')
    standin.remove('op/config')
    news = store.watch(known, 0.2)
    assert [item.content for item in news.items] == [b'two', None]
    assert (news.base, news.revision) == (known, standin.revision)


def test_an_empty_watch_ends(standin, store):
    """Nothing has changed: the revision stays."""
    assert store.watch(standin.revision, 0.05).items == ()


def test_lost_history_is_told_apart(standin, store):
    """A watch from before the history starts again with a listing."""
    standin.put('a', b'')
    standin.put('b', b'')
    standin.compact()
    with pytest.raises(HistoryLostError):
        store.watch(1, 0.1)


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ('busy', StoreDownError),
        ('many', StoreDownError),
        ('reset', StoreUnknownError),
        ('lost', StoreUnknownError),
        ('silent', StoreUnknownError),
    ],
)
def test_a_failed_write_says_whether_it_may_have_run(
    standin,
    store,
    fault,
    error,
):
    """Only a refusal promises that nothing was done."""
    standin.faults.append(fault)
    with pytest.raises(error):
        store.put('mine', b'x')
    assert ('mine' in standin.items) == (fault == 'lost')


def test_a_lease_that_has_ended_is_noticed(standin, store):
    """Both renewal and writing say so."""
    lease = store.open_lease(5)
    store.put('mine', b'x', lease)
    store.renew_lease(lease)
    standin.end_lease(lease)
    assert 'mine' not in standin.items
    with pytest.raises(LeaseLostError):
        store.renew_lease(lease)
    with pytest.raises(LeaseLostError):
        store.put('mine', b'x', lease)


def test_ending_a_lease_removes_its_keys(standin, store):
    """A node that stops takes its entry along."""
    lease = store.open_lease(5)
    store.put('mine', b'x', lease)
    store.end_lease(lease)
    assert not standin.items


def test_items_that_are_no_base64_are_left_out(standin, store):
    """One forged item does not hide the others."""
    standin.put('good', b'x')
    standin.items['bad'] = {**standin.items['good'], 'key': 'bad'}
    standin.items['bad']['value'] = '*not base64*'
    assert [item.key for item in store.read_all().items] == ['good']


def test_an_unreachable_store_is_down(standin, store):
    """A refused connection promises that nothing was done."""
    standin.stop()
    with pytest.raises(StoreDownError):
        store.read_all()
