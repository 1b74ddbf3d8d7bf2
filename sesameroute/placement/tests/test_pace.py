"""Servers that share their machines: one in seven is slow for a moment."""

import math

import pytest

from sesameroute.placement import (
    Grant,
    Outcome,
    Pool,
    PoolIdentity,
    Release,
    ServerLoad,
    SlotRequest,
)
from sesameroute.registry import Backend, BackendState, RegistryEntry

REGIONS = {'n-a': 'n'}


def list_entries(incarnation=7):
    """Return the registry's entries of two servers."""
    return [
        RegistryEntry(
            Backend(
                name,
                's',
                name,
                80,
                'n-a',
                3,
                BackendState.READY,
                0,
                incarnation,
            ),
            0,
        )
        for name in ('a', 'b')
    ]


def place(pool, now, key='k', on_time=1):
    """Return the grant for a request."""
    request = SlotRequest('s', 'r', key, 1, 1, on_time, 2)
    granted = pool.place(request, 'n', print, now)
    assert isinstance(granted, Grant)
    return granted


def find_pace(pool, name, now):
    """Return the pace of a server."""
    return next(
        state.pace.estimate(now) for state in pool.states if state.name == name
    )


@pytest.mark.parametrize(
    ('load', 'pace'),
    [
        (ServerLoad(1, 0, 3, 2.5), 2.5),
        (ServerLoad(1, 0, 3, 0), 1),
        (ServerLoad(1, 0, 3, 1e9), 1),
        (ServerLoad(1, 0, 3, math.nan), 1),
        (ServerLoad(1, 0, 3, -1), 1),
        (ServerLoad(1, 0, 3), 1),
        (None, 1),
    ],
)
@pytest.mark.parametrize('is_restarted', [False, True])
def test_false_or_old_pace_is_left_out(load, pace, is_restarted):
    """Also what an earlier incarnation said in an answer that came late."""
    pool = Pool(PoolIdentity('s', 'n', 'n'))
    pool.update_backends(list_entries(), REGIONS, 10)
    granted = place(pool, 10)
    if is_restarted:
        pool.update_backends(list_entries(incarnation=8), REGIONS, 10.1)
    release = Release('s', granted.number, Outcome.ANSWERED, 0.2, load=load)
    pool.release(release, 10.2)
    expected = 1 if is_restarted else pace
    assert find_pace(pool, granted.backend, 10.2) == expected
    assert find_pace(pool, granted.backend, 10.9) == 1


@pytest.mark.parametrize(
    ('on_time', 'is_slow'),
    [
        # A slow server gets what it can do: every third request here.
        (1, [False, False, True, False]),
        # It gets what nobody else can do if it can't be in time.
        (0.5, [False, False, False, True]),
    ],
)
def test_slow_server_gets_what_it_can_do_in_time(on_time, is_slow):
    """One server in seven takes 2.5 times as long at any moment."""
    pool = Pool(PoolIdentity('s', 'n', 'n'))
    pool.update_backends(list_entries(), REGIONS, 10)
    slow = place(pool, 10, key='')
    load = ServerLoad(1, 0, 3, 2.5)
    pool.release(
        Release('s', slow.number, Outcome.ANSWERED, 0.2, load=load), 10.2
    )
    names = [
        place(pool, 10.2, key='', on_time=on_time).backend for _ in is_slow
    ]
    assert [name == slow.backend for name in names] == is_slow
