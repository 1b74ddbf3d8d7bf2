"""Registry: states, incarnations, doubt and evacuation."""

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
    """Return the names of a service's usable backend servers."""
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
def test_permission_follows_the_newest_entry(change, is_permitted):
    """Drained, evacuated and restarted ones get nothing by old grants."""
    registry = Registry()
    registry.replace_evacuated(frozenset({'north-b'}))
    registry.put(replace(BACKEND, **change), 0)
    assert registry.permits('i-1', 7) is is_permitted
    assert not registry.permits('i-2', 7)


def test_a_vanished_entry_is_doubted_then_gone():
    """It serves as a last resort until the doubt ends."""
    registry = Registry(doubt_seconds=1)
    registry.put(BACKEND, 0)
    registry.remove('i-1', 10)
    assert not registry.list_service('one')[0].is_listed()
    assert registry.expire(10.5) == []
    assert registry.expire(11) == ['i-1']
    assert not list_names(registry)


def test_an_entry_that_is_back_is_trusted_again():
    """A lease that lapsed in an outage comes back."""
    registry = Registry(doubt_seconds=1)
    registry.put(BACKEND, 0)
    registry.remove('i-1', 10)
    registry.put(BACKEND, 10.5)
    assert registry.expire(20) == []
    assert registry.list_service('one')[0].is_listed()


def test_a_new_incarnation_is_a_new_start():
    """The identifier may be used again."""
    registry = Registry()
    assert registry.put(BACKEND, 0)
    assert not registry.put(BACKEND, 1)
    assert registry.put(replace(BACKEND, incarnation=9), 2)


def test_changes_count_what_matters():
    """A heartbeat without news is no change."""
    registry = Registry()
    registry.put(BACKEND, 0)
    known = registry.changes_
    registry.put(BACKEND, 1)
    assert registry.changes_ == known
    registry.put(replace(BACKEND, state=BackendState.DRAINING), 2)
    assert registry.changes_ > known


def test_coldness_ends_with_time():
    """The entry says how long from its heartbeat on."""
    registry = Registry()
    registry.put(replace(BACKEND, cold_seconds=3), 10)
    assert registry.find('i-1').cold_until == 13
