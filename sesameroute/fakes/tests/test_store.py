"""Tests of the HTTP store client against the fake store and its faults."""

import os
import threading

import pytest

from sesameroute.adapters import HttpStore
from sesameroute.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.fakes import FakeStoreServer, StoreOutage
from sesameroute.ports import TcpWire

# Addresses by process ID keep concurrent test runs apart.
_NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
_KEY = 'a/b c'


@pytest.fixture
def server():
    """Return a running fake store and stop it at the end."""
    running = FakeStoreServer(f'{_NETWORK}.1', 18500)
    running.start()
    yield running
    running.stop()


@pytest.fixture
def store(server):
    """Return a client of the fake store."""
    return HttpStore(server.url, TcpWire(), f'{_NETWORK}.2', timeout=0.5)


def test_swap(store):
    """A swap with an outdated revision fails and changes nothing."""
    assert store.read(_KEY) is None
    first = store.swap(_KEY, b'one', 0)
    with pytest.raises(ConflictError):
        store.swap(_KEY, b'two', 0)
    assert store.read(_KEY) == first


def test_watch(server, store):
    """A watch returns on a change or None on time-out, and is one call."""
    threading.Timer(0.05, server.memory.swap, (_KEY, b'x', 0)).start()
    assert store.watch(_KEY, 0, 2).content == b'x'
    assert store.watch(_KEY, 1, 0.05) is None
    assert server.call_counts['watch'] == 2


@pytest.mark.parametrize('writes_after', [1, 2, 3])
def test_watch_of_restored_store(server, store, writes_after):
    """A tag shows another value at a lower, the same or a higher revision."""
    for revision, content in enumerate((b'one', b'two', b'three')):
        known = store.swap(_KEY, content, revision)
    server.memory.roll_back(_KEY, 2)
    for revision in range(1, writes_after):
        store.swap(_KEY, b'other', revision)
    found = store.watch(_KEY, known.revision, 0.05, known.tag)
    assert found == store.read(_KEY)
    assert store.watch(_KEY, found.revision, 0.05, found.tag) is None


def test_swap_of_restored_store(server, store):
    """A tag shows that another value has the revision of the known one."""
    store.swap(_KEY, b'one', 0)
    known = store.swap(_KEY, b'two', 1)
    server.memory.roll_back(_KEY, 1)
    other = store.swap(_KEY, b'other', 1)
    with pytest.raises(ConflictError):
        store.swap(_KEY, b'three', known.revision, known.tag)
    assert store.read(_KEY) == other
    assert store.swap(_KEY, b'three', other.revision, other.tag).revision == 3


def test_roll_back_ends_watch(server, store):
    """A watch that is waiting sees that the store is restored."""
    store.swap(_KEY, b'one', 0)
    known = store.swap(_KEY, b'two', 1)
    threading.Timer(0.05, server.memory.roll_back, (_KEY, 1)).start()
    assert store.watch(_KEY, 2, 2, known.tag).content == b'one'


def test_lease(server, store):
    """An expired lease goes to another holder; the first can't renew it."""
    assert store.lease(_KEY, 'a', 10)
    assert not store.lease(_KEY, 'b', 10)
    server.memory.expire_leases()
    assert store.lease(_KEY, 'b', 10)
    assert not store.lease(_KEY, 'a', 10)


def test_lost_answer(server, store):
    """A write that took effect but lost its answer has an unknown result."""
    server.faults.lost_answers = 1
    with pytest.raises(StoreOutcomeUnknownError):
        store.swap(_KEY, b'x', 0)
    assert store.read(_KEY).content == b'x'


@pytest.mark.parametrize(
    ('outage', 'error'),
    [
        (StoreOutage.REFUSE, StoreUnreachableError),
        (StoreOutage.CUT, StoreOutcomeUnknownError),
        (StoreOutage.HANG, StoreOutcomeUnknownError),
    ],
)
def test_outage(server, store, outage, error):
    """A read reports an outage; a write only if it surely had no effect."""
    server.faults.outage = outage
    with pytest.raises(StoreUnreachableError):
        store.read(_KEY)
    with pytest.raises(error):
        store.swap(_KEY, b'x', 0)


def test_refused_connection(server, store):
    """A write on a refused connection surely had no effect."""
    server.stop()
    with pytest.raises(StoreUnreachableError):
        store.swap(_KEY, b'x', 0)


def test_stale_read(server, store):
    """The fake store can make reads lag behind writes."""
    store.swap(_KEY, b'one', 0)
    store.swap(_KEY, b'two', 1)
    server.faults.stale_revisions = 1
    assert store.read(_KEY).content == b'one'
