"""The store's client against a store that injects faults."""

import pytest

from sesameroute.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.mirror import HistoryLostError, Position
from sesameroute.platform import LeaseLostError, PlatformStore
from sesameroute.platform.tests.store_standin import StoreStandIn
from sesameroute.ports import TcpWire


@pytest.fixture
def standin():
    """Yield a running store and stop it after the test."""
    running = StoreStandIn(page=3)
    yield running
    running.stop()


@pytest.fixture
def store(standin):
    """Return a client of the running store."""
    return PlatformStore(standin.address, TcpWire(), '127.0.0.1')


def test_read_all_reads_every_page(standin, store):
    """Pages are requested until the store reports that there are no more."""
    for number in range(8):
        standin.put(f'servers/{number}', b'x')
    update = store.read_all()
    assert [item.key for item in update.items] == [
        f'servers/{number}' for number in range(8)
    ]
    assert (update.base, update.revision) == (0, standin.revision)


def test_a_watch_returns_changes_and_removals(standin, store):
    """A removed key is returned without content."""
    standin.put('op/config', b'one')
    known = standin.revision
    standin.put('op/config', b'two')
    standin.remove('op/config')
    update = store.watch(known, 0.2)
    assert [item.content for item in update.items] == [b'two', None]
    assert (update.base, update.revision) == (known, standin.revision)


def test_watch_ends_without_changes(standin, store):
    """The watch returns no items when its wait is over."""
    assert store.watch(standin.revision, 0.05).items == ()


def test_watch_reports_lost_history(standin, store):
    """The caller has to read all items again."""
    standin.put('a', b'')
    standin.put('b', b'')
    standin.compact()
    with pytest.raises(HistoryLostError):
        store.watch(1, 0.1)


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ('busy', StoreUnreachableError),
        ('many', StoreUnreachableError),
        ('reset', StoreOutcomeUnknownError),
        ('lost', StoreOutcomeUnknownError),
        ('silent', StoreOutcomeUnknownError),
    ],
)
def test_failed_write_reports_whether_it_may_have_run(
    standin,
    store,
    fault,
    error,
):
    """Of these faults, only status 429 or 503 shows that nothing ran."""
    standin.faults.append(fault)
    with pytest.raises(error):
        store.put('mine', b'x')
    assert ('mine' in standin.items) == (fault == 'lost')


def test_renewal_and_write_report_an_ended_lease(standin, store):
    """A node must open a new lease then."""
    lease = store.open_lease(5)
    store.put('mine', b'x', lease)
    store.renew_lease(lease)
    standin.end_lease(lease.number)
    assert 'mine' not in standin.items
    with pytest.raises(LeaseLostError):
        store.renew_lease(lease)
    with pytest.raises(LeaseLostError):
        store.put('mine', b'x', lease)


def test_ending_a_lease_removes_its_keys(standin, store):
    """The entry of a node that stops disappears at once."""
    lease = store.open_lease(5)
    store.put('mine', b'x', lease)
    store.end_lease(lease)
    assert not standin.items


def test_items_with_invalid_base64_are_skipped(standin, store):
    """One invalid item must not hide the others."""
    standin.put('good', b'x')
    standin.items['bad'] = {**standin.items['good'], 'key': 'bad'}
    standin.items['bad']['value'] = '*not base64*'
    assert [item.key for item in store.read_all().items] == ['good']


def test_unreachable_store_is_reported_as_down(standin, store):
    """A refused connection shows that the call had no effect."""
    standin.stop()
    with pytest.raises(StoreUnreachableError):
        store.read_all()


def test_positions_rise_when_the_store_is_restored(standin, store):
    """Revisions are given out again, so they alone order nothing."""
    standin.era = 4
    copy = standin.copy_state()
    for number in range(9):
        standin.put(f'servers/{number}', b'x')
    before = store.read_all()
    standin.restore(copy)
    standin.put('servers/0', b'x')
    with pytest.raises(HistoryLostError):
        store.watch(before.revision, 0.1)
    after = store.read_all()
    assert after.revision == Position(5, standin.revision).pack()
    assert after.items[0].revision > before.revision
    standin.put('servers/1', b'x')
    update = store.watch(after.revision, 0.1)
    assert [item.key for item in update.items] == ['servers/1']


def test_watch_reports_a_restore_that_revisions_do_not_show(standin, store):
    """The restored store may have passed the known revision already."""
    copy = standin.copy_state()
    standin.put('a', b'')
    known = store.read_all().revision
    standin.restore(copy)
    standin.put('a', b'')
    standin.put('b', b'')
    with pytest.raises(HistoryLostError):
        store.watch(known, 0.1)


@pytest.mark.parametrize(
    'text', ['', '-1', 'x', '9' * 400, '1.5', str(1 << 22)]
)
def test_era_that_is_not_valid_counts_as_not_named(standin, store, text):
    """The latest known era holds on."""
    standin.era = 2
    store.read_all()
    standin.era = text
    assert store.read_all().revision == Position(2, standin.revision).pack()


@pytest.mark.parametrize('call', ['renew_lease', 'end_lease'])
def test_lease_ends_with_its_era(standin, store, call):
    """Its number may be another node's lease after a restore."""
    copy = standin.copy_state()
    lease = store.open_lease(5)
    standin.restore(copy)
    other = standin.open_lease(5000)['lease']
    assert other == lease.number
    store.read_all()
    with pytest.raises(LeaseLostError):
        getattr(store, call)(lease)
    assert other in standin.leases


def test_write_under_a_lease_of_an_earlier_era_is_reported(standin, store):
    """The key may lie under another node's lease now."""
    copy = standin.copy_state()
    lease = store.open_lease(5)
    standin.restore(copy)
    standin.open_lease(5000)
    with pytest.raises(LeaseLostError):
        store.put('mine', b'x', lease)
