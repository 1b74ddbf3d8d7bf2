"""Registry: states, incarnations, grace period and evacuation."""

from dataclasses import replace

import pytest

from sesameroute.registry import Backend, BackendState, Registry

BACKEND = Backend(
    'i-1',
    'one',
    '10.0.0.1',
    80,
    'north-a',
    4,
    BackendState.READY,
    incarnation=7,
)


def list_names(registry):
    """Return the names of the usable backend servers of service `one`."""
    return [entry.backend.name for entry in registry.list_service('one')]


@pytest.mark.parametrize(
    ('change', 'is_permitted'),
    [
        ({}, True),
        ({'state': BackendState.DRAINING}, False),
        ({'zone': 'north-b'}, False),
        ({'incarnation': 8}, False),
    ],
)
def test_permits_checks_the_latest_entry(change, is_permitted):
    """Draining, evacuated and restarted servers get no more requests.

    A grant made for an earlier entry must not send a request to them.
    """
    registry = Registry()
    registry.replace_evacuated(frozenset({'north-b'}))
    registry.put(replace(BACKEND, **change), 0)
    assert registry.may_receive_requests('i-1', 7) is is_permitted
    assert not registry.may_receive_requests('i-2', 7)


def test_removed_backend_expires_after_the_grace_period():
    """It stays usable as a last resort during the grace period."""
    registry = Registry(grace_seconds=1)
    registry.put(BACKEND, 0)
    registry.remove('i-1', 10)
    assert not registry.list_service('one')[0].is_listed()
    assert registry.expire(10.5) == []
    assert registry.expire(11) == ['i-1']
    assert not list_names(registry)


def test_backend_listed_again_does_not_expire():
    """A backend server renews its entry after an outage of the store."""
    registry = Registry(grace_seconds=1)
    registry.put(BACKEND, 0)
    registry.remove('i-1', 10)
    registry.put(BACKEND, 10.5)
    assert registry.expire(20) == []
    assert registry.list_service('one')[0].is_listed()


def test_put_reports_a_new_incarnation():
    """A restarted backend server may use the same name."""
    registry = Registry()
    assert registry.put(BACKEND, 0)
    assert not registry.put(BACKEND, 1)
    assert registry.put(replace(BACKEND, incarnation=9), 2)


def test_heartbeat_without_a_difference_is_no_change():
    """The counter of changes increases only when an entry differs."""
    registry = Registry()
    registry.put(BACKEND, 0)
    known = registry.change_count_
    registry.put(BACKEND, 1)
    assert registry.change_count_ == known
    registry.put(replace(BACKEND, state=BackendState.DRAINING), 2)
    assert registry.change_count_ > known


def test_warm_up_ends_at_a_fixed_time():
    """Its remaining time counts from the heartbeat that reports it."""
    registry = Registry()
    registry.put(replace(BACKEND, cold_seconds=3), 10)
    assert registry.find('i-1').cold_until == 13
