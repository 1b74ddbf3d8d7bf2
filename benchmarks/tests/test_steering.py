"""Tests of the steering benchmark: plausible and repeatable results."""

import pytest

from benchmarks._scenarios import SCENARIOS, Scenario
from benchmarks.bench_steering import (
    _MAX_RECOVERY_SECONDS,
    measure,
    read_example,
)

MIN_SERVED_FRACTION = 0.99
LIGHT_LOAD = Scenario('smoke', 0.4, (), 1)


@pytest.mark.parametrize('policy', ['ours', 'planner', 'two'])
def test_light_load_is_served(policy):
    """The policies serve a light load without exceeding the slots."""
    result = measure(read_example('kalina'), LIGHT_LOAD, policy, 1)
    assert result.served > MIN_SERVED_FRACTION
    assert result.excess_slots <= 0


def test_same_seed_gives_same_results():
    """Two runs with the same seed give equal results."""
    statement = read_example('kalina')
    runs = [measure(statement, LIGHT_LOAD, 'ours', 3) for _ in range(2)]
    assert runs[0] == runs[1]


def test_recovers_after_overload():
    """The steering recovers within the bound after an overload."""
    overloaded = next(each for each in SCENARIOS if each.name == 'overload')
    result = measure(read_example('kalina'), overloaded, 'ours', 1)
    assert result.recovery_s <= _MAX_RECOVERY_SECONDS
