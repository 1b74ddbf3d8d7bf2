"""Tests of the suspension of backend servers after failed connections."""

import logging

import pytest

from sesameroute.placement import (
    Outcome,
    Pool,
    PoolIdentity,
    Release,
    SlotRequest,
)
from sesameroute.registry import Backend, BackendState, Registry

_REQUEST = SlotRequest('s', 'r', '', 1, 0.2, 0.2, 1.0)


@pytest.fixture
def pool():
    """Return a pool with one backend server."""
    registry = Registry()
    registry.put(
        Backend('one', 's', '10.0.0.1', 80, 'z', 4, BackendState.READY), 0
    )
    created = Pool(PoolIdentity('s', 'north', 'leader'))
    created.update_backends(registry.list_service('s'), {'z': 'north'}, 0)
    return created


@pytest.mark.parametrize(
    ('outcome', 'is_suspended'),
    [
        (Outcome.UNREACHED, True),
        (Outcome.MISDIRECTED, True),
        (Outcome.ANSWERED, False),
        (Outcome.CANCELLED, False),
        (Outcome.LOST, False),
    ],
)
def test_suspension_names_its_reporter(pool, caplog, outcome, is_suspended):
    """Nothing told which node's try had suspended a backend server."""
    caplog.set_level(logging.INFO)
    grant = pool.place(_REQUEST, 'cut-node', pytest.fail, 1)
    pool.release(Release('s', grant.number, outcome, 0.01), 1)
    state = next(iter(pool.states))
    assert state.is_suspended(1.1) is is_suspended
    logged = [
        (each.backend, each.reporter, each.why)
        for each in caplog.records
        if each.msg == 'backend server suspended'
    ]
    assert logged == [('one', 'cut-node', outcome.value)] * is_suspended
