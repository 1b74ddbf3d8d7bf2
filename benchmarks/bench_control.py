"""Control plane: cost by size, propagation times and store calls.

``python -m benchmarks.bench_control`` prints all measurements;
docs/CAPACITY.md computes the capacity needed in two years from them.
"""

import json
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import closing
from statistics import linear_regression

from benchmarks._control_fleet import ControlFleet
from benchmarks._control_lookups import measure_lookups
from benchmarks._control_store import StoreSimulation, make_fleet_statement
from benchmarks._control_tables import measure_blocks, measure_statements
from benchmarks._measurement import Measurement
from sesameroute.fakes import StoreOutage
from sesameroute.membership import FanOut, choose_targets

__all__ = ['run']

_MAX_PROPAGATION_SECONDS = 4.0  # requirement
# Time for the nodes to open their connections to the store.
_CONNECT_SECONDS = 3
_PEER_COUNTS = (2, 4, 8, 16, 32, 64)
_QUICK_PEER_COUNTS = (2, 8)
_DAY_SECONDS = 86_400
_CHANGES_PER_DAY = 470
# Entry VMs, failure domains and regions.
_FLEET_SIZES = ((7, 6, 3), (540, 9, 4))
_MEGABYTE = 1_000_000


def run(seed: int, quick: bool) -> list[Measurement]:
    """Return the measurements of the control plane.

    Parameters
    ----------
    seed : int
        Seed of the jitter and of the generated tables.
    quick : bool
        Whether to measure small sizes only and repeat less.

    """
    return [
        *_measure_propagation(seed, 1 if quick else 3),
        *_measure_peers(
            _QUICK_PEER_COUNTS if quick else _PEER_COUNTS, 3 if quick else 8
        ),
        *_count_streams(),
        *_measure_store(seed, 600 if quick else 1800),
        *measure_lookups(),
        *measure_statements(quick=quick),
        *measure_blocks(seed, quick=quick),
    ]


def _measure_propagation(seed: int, repeats: int) -> Iterator[Measurement]:
    """Measure how long a configuration takes to reach seven nodes.

    The longest time of some repeats counts.
    """
    steps: dict[str, Callable[[ControlFleet], float]] = {
        'submit': _time_submit,
        'heal': _time_heal,
        'silent-heal': _time_silent_heal,
        'store-silent': _time_store_silent,
        'store-return': _time_store_return,
        'restart-store-down': _time_restart,
    }
    with closing(ControlFleet(seed)) as fleet:
        fleet.start()
        fleet.submit()
        yield Measurement(
            'control/7/force/start', fleet.measure_propagation(), 's'
        )
        for name, time_step in steps.items():
            longest = max(time_step(fleet) for _ in range(repeats))
            title = f'control/7/force/{name}'
            yield Measurement(title, longest, 's', _MAX_PROPAGATION_SECONDS)


def _time_submit(fleet: ControlFleet) -> float:
    fleet.submit()
    return fleet.measure_propagation()


def _time_heal(fleet: ControlFleet) -> float:
    """Measure from the end of a long partition of one failure domain.

    The configuration is submitted during the partition.
    """
    return _time_partition(fleet, 6)


def _time_silent_heal(fleet: ControlFleet) -> float:
    """End the partition before both ends notice that streams are broken."""
    return _time_partition(fleet, 1)


def _time_partition(fleet: ControlFleet, seconds: float) -> float:
    fleet.partition(fleet.statement.places.domains[-1])
    fleet.submit()
    time.sleep(seconds)
    fleet.heal()
    return fleet.measure_propagation()


def _time_store_silent(fleet: ControlFleet) -> float:
    """Silence all open connections to the store; new ones work."""
    time.sleep(_CONNECT_SECONDS)
    fleet.silence_store()
    fleet.submit()
    return fleet.measure_propagation()


def _time_store_return(fleet: ControlFleet) -> float:
    """Submit while the store is down, then let it recover."""
    fleet.store.faults.outage = StoreOutage.HANG
    time.sleep(4)
    fleet.submit()
    fleet.store.faults.outage = StoreOutage.NONE
    return fleet.measure_propagation()


def _time_restart(fleet: ControlFleet) -> float:
    """Restart all nodes but one while the store is down."""
    fleet.measure_connecting()
    fleet.store.faults.outage = StoreOutage.REFUSE
    fleet.restart_nodes(list(fleet.nodes)[1:])
    seconds = fleet.measure_propagation()
    fleet.store.faults.outage = StoreOutage.NONE
    return seconds


def _measure_peers(
    counts: Sequence[int], seconds: int
) -> Iterator[Measurement]:
    """Measure a node by its number of peer streams, with a linear fit."""
    units = {'core': '% of a core', 'bytes': 'KB/s', 'memory': 'MB'}
    scales = {'core': 100, 'bytes': 0.001, 'memory': 1 / _MEGABYTE}
    costs_by_count = [_run_node(peers, seconds) for peers in counts]
    for name, unit in units.items():
        values = [
            node_costs[name] * scales[name] for node_costs in costs_by_count
        ]
        for peers, cost in zip(counts, values, strict=True):
            yield Measurement(f'control/peers/{peers}/{name}', cost, unit)
        slope, base = linear_regression(counts, values)
        yield Measurement(
            f'control/peers/slope/{name}', slope, f'{unit} a stream'
        )
        yield Measurement(f'control/peers/base/{name}', base, unit)


def _run_node(peers: int, seconds: int) -> dict[str, float]:
    command = [sys.executable, '-m', 'benchmarks._control_node']
    peers_command = [*command, 'peers', str(peers)]
    with subprocess.Popen(
        peers_command, stdin=subprocess.PIPE
    ) as peers_process:
        completed = subprocess.run(
            [*command, 'node', str(peers), str(seconds)],
            capture_output=True,
            check=True,
            timeout=100,
        )
        peers_process.terminate()
    return json.loads(completed.stdout)


def _count_streams() -> Iterator[Measurement]:
    """Count the streams of each entry VM, with the real choice of peers."""
    for size in _FLEET_SIZES:
        statement = make_fleet_statement(*size)
        streams: dict[str, set[str]] = {name: set() for name in statement.vms}
        for vm in statement.vms.values():
            live = set(statement.vms)
            chosen = choose_targets(
                statement,
                vm.name,
                vm.domain,
                FanOut(),
                live,
            )
            for peer in chosen.keys() - {vm.name}:
                streams[vm.name].add(peer)
                streams[peer].add(vm.name)
        counts = sorted(map(len, streams.values()))
        title = f'control/{size[0]}/streams'
        yield Measurement(
            f'{title}/median', counts[len(counts) // 2], 'streams'
        )
        yield Measurement(f'{title}/most', counts[-1], 'streams')


def _measure_store(seed: int, seconds: int) -> Iterator[Measurement]:
    """Count store calls in simulated time.

    Without changes, with 470 changes a day, and when the store recovers.
    """
    for size in _FLEET_SIZES:
        title = f'control/{size[0]}/store'
        simulation = StoreSimulation(make_fleet_statement(*size), seed)
        simulation.run(60)
        yield Measurement(f'{title}/idle', simulation.run(seconds), 'calls/s')
        change_interval = _DAY_SECONDS / _CHANGES_PER_DAY
        call_rates = []
        for _ in range(max(int(seconds / change_interval), 2)):
            simulation.submit_change()
            call_rates.append(simulation.run(change_interval))
        mean = sum(call_rates) / len(call_rates)
        yield Measurement(f'{title}/changes-470-a-day', mean, 'calls/s')
        simulation.store.is_down = True
        yield Measurement(f'{title}/down', simulation.run(600), 'calls/s')
        simulation.store.is_down = False
        simulation.run(10)
        peak = simulation.find_peak(10)
        yield Measurement(f'{title}/return-busiest-second', peak, 'calls')


if __name__ == '__main__':
    for measurement in run(seed=1, quick='--quick' in sys.argv):
        sys.stdout.write(
            f'{measurement.name} {measurement.value:.4g} {measurement.unit}\n'
        )
        sys.stdout.flush()
