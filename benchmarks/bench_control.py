"""What control costs: slopes, times in force and store calls.

``python -m benchmarks.bench_control`` prints all figures;
docs/CAPACITY.md works out the two-year size from them.
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
from benchmarks._control_store import StoreLoad, make_fleet_statement
from benchmarks._control_tables import measure_blocks, measure_statements
from benchmarks._figure import Figure
from sesameroute.fakes import StoreOutage
from sesameroute.membership import FanOut, choose_targets

__all__ = ['run']

_FORCE_SECONDS = 4.0  # asked for
_WARM_SECONDS = 3
_PEERS = (2, 4, 8, 16, 32, 64)
_QUICK_PEERS = (2, 8)
_DAY_SECONDS = 86_400
_CHANGES_A_DAY = 470
_SIZES = ((7, 6, 3), (540, 9, 4))
_MEGABYTE = 1_000_000


def run(seed: int, quick: bool) -> list[Figure]:
    """Return the figures of control.

    Parameters
    ----------
    seed : int
        Seed of the jitter and of generated tables.
    quick : bool
        Whether to measure small sizes only.

    """
    return [
        *_measure_force(seed, 1 if quick else 3),
        *_measure_peers(_QUICK_PEERS if quick else _PEERS, 3 if quick else 8),
        *_count_streams(),
        *_measure_store(seed, 600 if quick else 1800),
        *measure_lookups(),
        *measure_statements(quick=quick),
        *measure_blocks(seed, quick=quick),
    ]


def _measure_force(seed: int, repeats: int) -> Iterator[Figure]:
    """Measure seven nodes: the longest of some repeats counts."""
    steps: dict[str, Callable[[ControlFleet], float]] = {
        'submit': _force_submit,
        'heal': _force_heal,
        'silent-heal': _force_silent_heal,
        'store-silent': _force_store_silent,
        'store-return': _force_store_return,
        'restart-store-down': _force_restart,
    }
    with closing(ControlFleet(seed)) as fleet:
        fleet.start()
        fleet.submit()
        yield Figure('control/7/force/start', fleet.measure_force(), 's')
        for name, step in steps.items():
            longest = max(step(fleet) for _ in range(repeats))
            title = f'control/7/force/{name}'
            yield Figure(title, longest, 's', _FORCE_SECONDS)


def _force_submit(fleet: ControlFleet) -> float:
    fleet.submit()
    return fleet.measure_force()


def _force_heal(fleet: ControlFleet) -> float:
    """Cut one failure domain for long, submit, heal; count from the heal."""
    return _cut(fleet, 6)


def _force_silent_heal(fleet: ControlFleet) -> float:
    """Heal before both ends have found out that the streams are cut."""
    return _cut(fleet, 1)


def _cut(fleet: ControlFleet, seconds: float) -> float:
    fleet.cut(fleet.statement.places.domains[-1])
    fleet.submit()
    time.sleep(seconds)
    fleet.heal()
    return fleet.measure_force()


def _force_store_silent(fleet: ControlFleet) -> float:
    """All open connections to the store go silent; new ones work."""
    time.sleep(_WARM_SECONDS)
    fleet.silence_store()
    fleet.submit()
    return fleet.measure_force()


def _force_store_return(fleet: ControlFleet) -> float:
    """The store is down while the change is accepted, then returns."""
    fleet.store.faults.outage = StoreOutage.HANG
    time.sleep(4)
    fleet.submit()
    fleet.store.faults.outage = StoreOutage.NONE
    return fleet.measure_force()


def _force_restart(fleet: ControlFleet) -> float:
    """All but one node restart while the store is down."""
    fleet.measure_streams()
    fleet.store.faults.outage = StoreOutage.REFUSE
    fleet.restart_nodes(list(fleet.nodes)[1:])
    seconds = fleet.measure_force()
    fleet.store.faults.outage = StoreOutage.NONE
    return seconds


def _measure_peers(counts: Sequence[int], seconds: int) -> Iterator[Figure]:
    """Measure one node with some peer streams, and the slopes."""
    units = {'core': '% of a core', 'bytes': 'KB/s', 'memory': 'MB'}
    scales = {'core': 100, 'bytes': 0.001, 'memory': 1 / _MEGABYTE}
    measured = [_run_node(peers, seconds) for peers in counts]
    for name, unit in units.items():
        values = [each[name] * scales[name] for each in measured]
        for peers, measure in zip(counts, values, strict=True):
            yield Figure(f'control/peers/{peers}/{name}', measure, unit)
        slope, base = linear_regression(counts, values)
        yield Figure(f'control/peers/slope/{name}', slope, f'{unit} a stream')
        yield Figure(f'control/peers/base/{name}', base, unit)


def _run_node(peers: int, seconds: int) -> dict[str, float]:
    command = [sys.executable, '-m', 'benchmarks._control_node']
    playing = [*command, 'peers', str(peers)]
    with subprocess.Popen(playing, stdin=subprocess.PIPE) as players:
        measured = subprocess.run(
            [*command, 'node', str(peers), str(seconds)],
            capture_output=True,
            check=True,
            timeout=100,
        )
        players.terminate()
    return json.loads(measured.stdout)


def _count_streams() -> Iterator[Figure]:
    """Count the streams of each entry VM from the real choice of peers."""
    for size in _SIZES:
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
        yield Figure(f'{title}/median', counts[len(counts) // 2], 'streams')
        yield Figure(f'{title}/most', counts[-1], 'streams')


def _measure_store(seed: int, seconds: int) -> Iterator[Figure]:
    """Count store calls in virtual time: idle, changing, on its return."""
    for size in _SIZES:
        title = f'control/{size[0]}/store'
        load = StoreLoad(make_fleet_statement(*size), seed)
        load.run(60)
        yield Figure(f'{title}/idle', load.run(seconds), 'calls/s')
        pause = _DAY_SECONDS / _CHANGES_A_DAY
        changing = []
        for _ in range(max(int(seconds / pause), 2)):
            load.change()
            changing.append(load.run(pause))
        mean = sum(changing) / len(changing)
        yield Figure(f'{title}/changes-470-a-day', mean, 'calls/s')
        load.store.is_down = True
        yield Figure(f'{title}/down', load.run(600), 'calls/s')
        load.store.is_down = False
        load.run(10)
        peak = load.find_peak(10)
        yield Figure(f'{title}/return-busiest-second', peak, 'calls')


if __name__ == '__main__':
    for figure in run(seed=1, quick='--quick' in sys.argv):
        sys.stdout.write(f'{figure.name} {figure.value:.4g} {figure.unit}\n')
        sys.stdout.flush()
