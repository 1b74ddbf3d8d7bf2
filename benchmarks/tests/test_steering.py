"""The steering benchmark runs, is repeatable and sees what it should."""

import pytest

from benchmarks._scenarios import SCENARIOS, Scenario
from benchmarks.bench_steering import (
    _RECOVERED_BOUND,
    measure,
    read_example,
)

LEAST_SERVED = 0.99
SMOKE = Scenario('smoke', 0.4, (), 1)


@pytest.mark.parametrize('policy', ['ours', 'planner', 'two'])
def test_light_load_is_served(policy):
    """Light load is served by every policy within the slots."""
    one = measure(read_example('kalina'), SMOKE, policy, 1)
    assert one.served > LEAST_SERVED
    assert one.overfull <= 0


def test_same_seed_same_figures():
    """A seed gives the same figures each time."""
    statement = read_example('kalina')
    runs = [measure(statement, SMOKE, 'ours', 3) for _ in range(2)]
    assert runs[0] == runs[1]


def test_overload_is_over_when_the_load_is():
    """Seconds are served again within the bound after twice the load."""
    overloaded = next(one for one in SCENARIOS if one.name == 'overload')
    one = measure(read_example('kalina'), overloaded, 'ours', 1)
    assert one.recovery <= _RECOVERED_BOUND
