"""The store's client against a store that injects faults."""

import pytest

from sesameroute.exceptions import (
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.mirror import HistoryLostError
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
    standin.end_lease(lease)
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
