"""Compares the steering with simpler policies and an omniscient planner.

Runs the decision code in a discrete-event simulation;
docs/design/steering.md explains the measurements.
"""

import itertools
import pathlib
import sys
from dataclasses import dataclass
from functools import partial

from benchmarks._baselines import (
    BetterOfTwo,
    FixedShares,
    Planner,
    RandomChoice,
)
from benchmarks._measurement import Direction, Measurement
from benchmarks._monitor import TrafficMonitor
from benchmarks._scenarios import (
    EVENT_DELAY_SECONDS,
    SCENARIOS,
    Scenario,
    find_capacity,
)
from benchmarks._traffic import Traffic
from sesameroute.routing.tests.fleet import Fleet, build_steering
from sesameroute.statement import Statement, read_statement

__all__ = ['PolicyResult', 'measure', 'run']

_EXAMPLES_DIRECTORY = pathlib.Path(__file__).parent.parent / 'examples'
_INSTITUTIONS = ('herd_returns', 'kalina')
_WARM_UP_SECONDS = 2.0  # simulated time before the load
_SETTLE_SECONDS = 2.0  # simulated time after the load
_MIN_SERVED_FRACTION = 0.95  # relative to the planner
_MAX_RECOVERY_SECONDS = 5


@dataclass(frozen=True, slots=True)
class PolicyResult:
    """Result of one policy in one scenario.

    Attributes
    ----------
    policy : str
        Name of the policy.
    served : float
        Fraction of the requests that were answered in time, by weight.
    p50_ms, p99_ms : float
        Percentiles of the latency in milliseconds.
    headroom : float
        Smallest mean fraction of free slots in a region and service.
    drain_s : float
        Seconds until the last start of a request on a drained server.
    link_peak, shift_peak : float
        Peak load within a second, relative to the cap.
    excess_slots : int
        Most requests that a backend server ran beyond its slots.
    recovery_s : float
        Seconds from the end of an overload until all seconds are served well.
    outcomes : dict of str to int
        Number of requests by outcome.

    """

    policy: str
    served: float
    p50_ms: float
    p99_ms: float
    headroom: float
    drain_s: float
    link_peak: float
    shift_peak: float
    excess_slots: int
    recovery_s: float
    outcomes: dict[str, int]


def _build_baseline(policy_class, shared, fleet, vm, _clock, rng):
    return policy_class(fleet, vm, shared, rng)


def list_policies() -> dict:
    """Return functions that build the policy of a VM, by policy name.

    Each call creates new state for the VMs of a fleet to share; only the
    planner uses it.
    """
    builders = {'ours': build_steering}
    for name, policy_class in (
        ('fixed', FixedShares),
        ('two', BetterOfTwo),
        ('random', RandomChoice),
        ('planner', Planner),
    ):
        builders[name] = partial(_build_baseline, policy_class, {})
    return builders


def measure(
    statement: Statement,
    scenario: Scenario,
    policy: str,
    seed: int,
) -> PolicyResult:
    """Return the result of a policy in a scenario."""
    fleet = Fleet(statement, seed, build=list_policies()[policy])
    fleet.report_load = lambda server: server.used_slots / server.upstream.slots
    traffic = Traffic(
        fleet,
        scenario.load * find_capacity(statement),
        seed,
    )
    fleet.servers = traffic.servers
    fleet.run(_WARM_UP_SECONDS)
    monitor = TrafficMonitor(traffic)
    for event in scenario.events:
        event(traffic)
    traffic.start(scenario.seconds)
    monitor.sample_slots()
    fleet.run(scenario.seconds + _SETTLE_SECONDS)
    statistics = traffic.statistics
    return PolicyResult(
        policy,
        statistics.answered / statistics.sent,
        statistics.compute_percentile(0.5),
        statistics.compute_percentile(0.99),
        monitor.min_headroom,
        monitor.measure_drain(EVENT_DELAY_SECONDS + _WARM_UP_SECONDS),
        monitor.measure_link_peak(),
        monitor.measure_shift_peak(),
        monitor.max_excess_slots,
        monitor.measure_recovery(EVENT_DELAY_SECONDS + _WARM_UP_SECONDS + 10),
        dict(statistics.outcomes),
    )


def _list_measurements(
    prefix: str, ours: PolicyResult, planner: PolicyResult
) -> list[Measurement]:
    return [
        Measurement(
            f'{prefix}/served-of-planner',
            ours.served / planner.served,
            '',
            _MIN_SERVED_FRACTION,
            Direction.AT_LEAST,
        ),
        Measurement(f'{prefix}/served', ours.served, ''),
        Measurement(f'{prefix}/p50', ours.p50_ms, 'ms'),
        Measurement(f'{prefix}/p99', ours.p99_ms, 'ms'),
        Measurement(f'{prefix}/headroom', ours.headroom, ''),
        Measurement(f'{prefix}/overfull', ours.excess_slots, 'slots', 0),
        Measurement(f'{prefix}/link-peak', ours.link_peak, 'of cap', 1),
        Measurement(f'{prefix}/shift-peak', ours.shift_peak, 'of cap', 1),
        Measurement(f'{prefix}/drain', ours.drain_s, 's', 3),
    ]


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements of the steering with their bounds.

    Parameters
    ----------
    seed : int
        Seed of the arrivals, run times and choices.
    quick : bool
        Whether to measure only the first scenarios of one institution.

    """
    measurements: list[Measurement] = []
    institutions = _INSTITUTIONS[1:] if quick else _INSTITUTIONS
    scenarios = SCENARIOS[:4] if quick else SCENARIOS
    for name in institutions:
        statement = read_example(name)
        for scenario in scenarios:
            ours = measure(statement, scenario, 'ours', seed)
            planner = measure(statement, scenario, 'planner', seed)
            prefix = f'steering/{name}/{scenario.name}'
            measurements.extend(_list_measurements(prefix, ours, planner))
            if scenario.name == 'overload':
                measurements.append(
                    Measurement(
                        f'{prefix}/recovery',
                        ours.recovery_s,
                        's',
                        _MAX_RECOVERY_SECONDS,
                    ),
                )
    return measurements


def read_example(name: str) -> Statement:
    """Return the statement of an example institution."""
    return read_statement((_EXAMPLES_DIRECTORY / f'{name}.ini').read_text())


def format_result(row: PolicyResult) -> str:
    """Return a result as a line of a table."""
    outcomes = {
        outcome: count
        for outcome, count in row.outcomes.items()
        if outcome != 'answered'
    }
    return ' '.join(
        (
            f'{row.policy:8} served {row.served:.4f}',
            f'p50 {row.p50_ms:5.1f} p99 {row.p99_ms:6.1f}',
            f'headroom {row.headroom:.2f} drain {row.drain_s:.2f}',
            f'link {row.link_peak:.2f} shift {row.shift_peak:.2f}',
            f'over {row.excess_slots} recovery {row.recovery_s:.1f} {outcomes}',
        ),
    )


def print_table(seed: int, names: list[str]) -> None:
    """Print the results of all policies.

    Parameters
    ----------
    seed : int
        Random seed.
    names : list of str
        Institutions and scenarios to run; all if none is named.

    """
    scenarios = [
        candidate for candidate in SCENARIOS if candidate.name in names
    ] or SCENARIOS
    chosen = [
        candidate for candidate in _INSTITUTIONS if candidate in names
    ] or _INSTITUTIONS
    for institution, scenario in itertools.product(chosen, scenarios):
        statement = read_example(institution)
        for policy in list_policies():
            line = format_result(measure(statement, scenario, policy, seed))
            print(f'{institution:12} {scenario.name:18} {line}', flush=True)


if __name__ == '__main__':
    print_table(1, sys.argv[1:])
