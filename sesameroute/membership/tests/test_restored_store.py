"""Tests of a fleet whose store goes back to an older value."""

import itertools

import pytest

from sesameroute.membership import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationFault,
    encode_configuration,
)
from sesameroute.membership.tests.simulated_fleet import SimulatedFleet

_IN_FORCE_ROUNDS = 16  # 4 s


def _write(fleet, version, text):
    submission = f'{version} {text} {fleet.clock.now}'
    content = encode_configuration(Configuration(version, submission, text))
    history = fleet.store.history
    revision = history[-1].revision if history else 0
    fleet.store.swap(CONFIGURATION_KEY, content, revision)


def _settle(fleet):
    fleet.run(_IN_FORCE_ROUNDS)


def _restore(fleet, dropped):
    fleet.store.history = fleet.store.history[:-dropped]


@pytest.mark.parametrize(
    ('before', 'dropped', 'submitted', 'expected'),
    [
        ([(1, 'good'), (2, 'bad')], 1, [], 1),
        ([(1, 'good'), (2, 'bad')], 1, [(2, 'good')], 2),
        ([(1, 'good')], 1, [(2, 'good')], 2),
        ([(1, 'good'), (2, 'good'), (3, 'good')], 2, [(4, 'good')], 4),
        ([(1, 'good'), (2, 'good'), (3, 'good')], 2, [(4, 'bad')], 3),
        ([(1, 'good'), (2, 'good'), (3, 'good')], 1, [], 3),
    ],
)
@pytest.mark.parametrize('is_restore_seen', [False, True])
def test_newest_version_comes_into_force(
    before, dropped, submitted, expected, is_restore_seen
):
    """A value is put in force at any revision, also one that was used."""
    fleet = SimulatedFleet()
    for version, text in before:
        _write(fleet, version, text)
    _settle(fleet)
    _restore(fleet, dropped)
    if is_restore_seen:
        _settle(fleet)
    for version, text in submitted:
        _write(fleet, version, text)
    _settle(fleet)
    assert {node.version for node in fleet.nodes.values()} == {expected}


def _find_watcher(fleet):
    """Return the watcher of the only node of its domain."""
    return fleet.nodes['vm5'].watcher


def _run_watcher(fleet, seconds, lags):
    """Run one watcher alone, with one of `lags` in turn for each call."""
    watcher = _find_watcher(fleet)
    ends_at = fleet.clock.now + seconds
    calls = 0
    while fleet.clock.now < ends_at:
        fleet.store.lag = next(lags)
        fleet.clock.sleep(watcher.step())
        calls += 1
    return calls


@pytest.mark.parametrize('last_text', ['good', 'bad'])
@pytest.mark.parametrize('lags', [(0, 1), (1, 0), (0, 1, 2)])
def test_replicas_that_answer_in_turn_cost_few_calls(last_text, lags):
    """A watch that ends at once with an old value is not repeated at once."""
    fleet = SimulatedFleet()
    for version, text in ((1, 'good'), (2, 'good'), (3, last_text)):
        _write(fleet, version, text)
    _settle(fleet)
    assert _run_watcher(fleet, 60, itertools.cycle(lags)) <= 2 * 60


def test_older_value_is_counted_when_it_is_seen():
    """A restored store is reported once by each watch that it ends."""
    fleet = SimulatedFleet()
    for version in (1, 2, 3):
        _write(fleet, version, 'good')
    _settle(fleet)
    faults = _find_watcher(fleet).keeper.faults
    assert not faults
    _restore(fleet, 1)
    for _ in range(4):
        _settle(fleet)
    assert faults == {ConfigurationFault.OLDER_STORE: 1}
    _restore(fleet, 1)
    _settle(fleet)
    assert faults == {ConfigurationFault.OLDER_STORE: 2}
    assert _find_watcher(fleet).keeper.version == 3


def test_lagging_reads_end():
    """A value that lagged behind the one in force changes nothing."""
    fleet = SimulatedFleet()
    for version in (1, 2):
        _write(fleet, version, 'good')
    _settle(fleet)
    fleet.store.lag = 1
    _settle(fleet)
    fleet.store.lag = 0
    _write(fleet, 3, 'good')
    _settle(fleet)
    assert {node.version for node in fleet.nodes.values()} == {3}
