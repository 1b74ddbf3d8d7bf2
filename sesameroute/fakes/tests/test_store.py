"""The HTTP store against its stand-in and the stand-in's faults."""

import os
import threading

import pytest

from sesameroute.adapters import HttpStore
from sesameroute.exceptions import (
    ConflictError,
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.fakes import FakeStoreServer, StoreOutage
from sesameroute.ports import TcpWire

# Runs side by side on one machine stay apart.
_NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
_KEY = 'a/b c'


@pytest.fixture
def server():
    """Run a stand-in on an address of its own."""
    running = FakeStoreServer(f'{_NETWORK}.1', 18500)
    running.start()
    yield running
    running.stop()


@pytest.fixture
def store(server):
    """Return a client of the stand-in."""
    return HttpStore(server.url, TcpWire(), f'{_NETWORK}.2', timeout=0.5)


def test_swap(store):
    """A swap needs the current revision; a loser changes nothing."""
    assert store.read(_KEY) is None
    first = store.swap(_KEY, b'one', 0)
    with pytest.raises(ConflictError):
        store.swap(_KEY, b'two', 0)
    assert store.read(_KEY) == first


def test_watch(server, store):
    """A watch returns on change, is one call, and times out with None."""
    threading.Timer(0.05, server.memory.swap, (_KEY, b'x', 0)).start()
    assert store.watch(_KEY, 0, 2).content == b'x'
    assert store.watch(_KEY, 1, 0.05) is None
    assert server.call_counts['watch'] == 2


def test_lease(server, store):
    """A lapsed lease goes to another though its holder does not know."""
    assert store.lease(_KEY, 'a', 10)
    assert not store.lease(_KEY, 'b', 10)
    server.memory.lapse_leases()
    assert store.lease(_KEY, 'b', 10)
    assert not store.lease(_KEY, 'a', 10)


def test_lost_answer(server, store):
    """A write whose answer got lost is unknown, and took effect."""
    server.faults.lost_answers = 1
    with pytest.raises(StoreUnknownError):
        store.swap(_KEY, b'x', 0)
    assert store.read(_KEY).content == b'x'


@pytest.mark.parametrize(
    ('outage', 'error'),
    [
        (StoreOutage.REFUSE, StoreDownError),
        (StoreOutage.CUT, StoreUnknownError),
        (StoreOutage.HANG, StoreUnknownError),
    ],
)
def test_outage(server, store, outage, error):
    """Reads say down; writes say down only if nothing took effect."""
    server.faults.outage = outage
    with pytest.raises(StoreDownError):
        store.read(_KEY)
    with pytest.raises(error):
        store.swap(_KEY, b'x', 0)


def test_refused(server, store):
    """A refused connection is certain: nothing took effect."""
    server.stop()
    with pytest.raises(StoreDownError):
        store.swap(_KEY, b'x', 0)


def test_stale(server, store):
    """Reads may lag behind writes."""
    store.swap(_KEY, b'one', 0)
    store.swap(_KEY, b'two', 1)
    server.faults.stale = 1
    assert store.read(_KEY).content == b'one'
