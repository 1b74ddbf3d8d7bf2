"""Answers on time by offered load, for the pools and other policies.

Runs the placement policies in the same simulation of backend servers that
cache objects; see docs/design/overload.md.
"""

import sys
from dataclasses import dataclass

from benchmarks._measurement import Direction, Measurement
from benchmarks._overload_policies import POLICIES
from sesameroute.placement.tests.simulation import (
    HIT_RUN_TIME_RATIO,
    Simulation,
)

__all__ = ['Workload', 'measure_goodput', 'measure_recovery', 'run']

# Loads are relative to the capacity of servers that have all objects cached.
_LOADS = (0.5, 0.75, 1, 1.5, 2, 3)
_WARM_UP_SECONDS = 8.0  # until the servers have cached the objects
_MEASURED_SECONDS = 8.0
_BURST_SECONDS = 4.0
_BURST_LOAD = 3.0
_USUAL_LOAD = 0.5
_RECOVERED_FRACTION = 0.98  # of the fraction on time before the burst
# At the usual load; see docs/design/overload.md.
_MIN_FRACTION_OF_PLANNER = 0.95
_MAX_RECOVERY_SECONDS = 5


@dataclass(frozen=True, slots=True)
class Workload:
    """Servers of one service and the requests of its callers.

    Attributes
    ----------
    regions : dict of str to int
        Number of servers by region.
    slots : int
        Number of slots of each server.
    work_seconds : float
        Mean run time for an object that is not cached.
    objective : float
        Target latency in seconds; a later answer is not on time.
    object_count : int
        Number of objects that the callers of a region request.
    cached_count : int
        Number of objects that a server caches.

    """

    regions: dict[str, int]
    slots: int
    work_seconds: float
    objective: float
    object_count: int
    cached_count: int

    def compute_capacity(self) -> float:
        """Return the capacity in requests per second, all objects cached."""
        servers = sum(self.regions.values())
        return servers * self.slots / (self.work_seconds * HIT_RUN_TIME_RATIO)

    def build(self, policy: str, seed: int) -> Simulation:
        """Return a simulation without requests."""
        return Simulation(
            self.regions,
            seed=seed,
            slots=self.slots,
            cache_size=self.cached_count,
            objective=self.objective,
            build_policy=POLICIES[policy],
        )

    def schedule_requests(
        self,
        simulation: Simulation,
        relative_load: float,
        start: float,
        end: float,
    ) -> None:
        """Schedule requests, equally many from each region.

        Parameters
        ----------
        simulation : Simulation
            The simulation.
        relative_load : float
            Requests per second, relative to the capacity.
        start, end : float
            Simulated times in seconds.

        """
        rate = relative_load * self.compute_capacity() / len(self.regions)
        for region in self.regions:
            simulation.schedule_arrivals(
                region, rate, start, end, self.object_count, self.work_seconds
            )


WORKLOADS = {  # noqa: WPS407
    'many objects': Workload(
        {'a': 4, 'b': 4, 'c': 4},
        slots=6,
        work_seconds=0.24,
        objective=0.2,
        object_count=111,
        cached_count=99,
    ),
    'few kept': Workload(
        {'a': 10, 'b': 10},
        slots=4,
        work_seconds=0.3,
        objective=0.25,
        object_count=200,
        cached_count=30,
    ),
}


def measure_goodput(
    workload: Workload,
    policy: str,
    load: float,
    seed: int,
) -> float:
    """Return the answers on time per second, relative to the capacity."""
    simulation = workload.build(policy, seed)
    end = _WARM_UP_SECONDS + _MEASURED_SECONDS
    workload.schedule_requests(
        simulation, min(load, _USUAL_LOAD), 0, _WARM_UP_SECONDS / 2
    )
    workload.schedule_requests(simulation, load, _WARM_UP_SECONDS / 2, end)
    simulation.run(_WARM_UP_SECONDS)
    simulation.results.clear()
    simulation.run(end)
    return load * simulation.compute_fraction('on time')


def measure_recovery(workload: Workload, policy: str, seed: int) -> float:
    """Return the seconds from the end of a burst until recovery.

    That is when the last second ends in which too few answers are on time.
    """
    simulation = workload.build(policy, seed)
    burst_ends = int(_WARM_UP_SECONDS + _BURST_SECONDS)
    end = burst_ends + 2 * _MAX_RECOVERY_SECONDS
    workload.schedule_requests(simulation, _USUAL_LOAD, 0, end)
    workload.schedule_requests(
        simulation, _BURST_LOAD - _USUAL_LOAD, _WARM_UP_SECONDS, burst_ends
    )
    simulation.run(end + 1)
    usual_fraction = _compute_on_time_fraction(
        simulation, int(_WARM_UP_SECONDS) - 1
    )
    bad_second_ends = [
        second + 1 - burst_ends
        for second in range(burst_ends, end - 1)
        if _compute_on_time_fraction(simulation, second)
        < usual_fraction * _RECOVERED_FRACTION
    ]
    return max(bad_second_ends, default=0)


def _compute_on_time_fraction(simulation: Simulation, second: int) -> float:
    counts = simulation.by_second[second]
    return counts['on time'] / max(sum(counts.values()), 1)


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements of the pools with their bounds.

    Parameters
    ----------
    seed : int
        Seed of the arrivals, run times and choices.
    quick : bool
        Whether to measure only the usual load.

    """
    measurements = []
    for name, workload in WORKLOADS.items():
        for load in (_USUAL_LOAD,) if quick else _LOADS:
            ours = measure_goodput(workload, 'pools', load, seed)
            planner = measure_goodput(workload, 'planner', load, seed)
            prefix = f'overload/{name}/{load:g}'
            measurements.append(
                Measurement(f'{prefix}/on-time', ours, 'of the room')
            )
            measurements.append(
                Measurement(
                    f'{prefix}/of-planner',
                    ours / planner,
                    '',
                    _MIN_FRACTION_OF_PLANNER if load <= _USUAL_LOAD else None,
                    Direction.AT_LEAST,
                ),
            )
        measurements.append(
            Measurement(
                f'overload/{name}/recovery',
                measure_recovery(workload, 'pools', seed),
                's',
                _MAX_RECOVERY_SECONDS,
            ),
        )
    return measurements


def print_table(seed: int) -> None:
    """Print the results of all policies."""
    for name, workload in WORKLOADS.items():
        for policy in POLICIES:
            goodput = ' '.join(
                f'{measure_goodput(workload, policy, load, seed):.2f}'
                for load in _LOADS
            )
            recovery = measure_recovery(workload, policy, seed)
            print(f'{name:14} {policy:14} {goodput}  recovery {recovery:g} s')


if __name__ == '__main__':
    print_table(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
