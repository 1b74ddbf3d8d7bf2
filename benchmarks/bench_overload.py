"""Answers on time against the load offered, by the way of placing.

Runs the pools' decision code and other ways on the same model of backend
servers that know objects; see docs/design/overload.md.
"""

import sys
from dataclasses import dataclass

from benchmarks._figure import Direction, Figure
from benchmarks._overload_policies import POLICIES
from sesameroute.placement.tests.world import WARM, World

__all__ = ['Shape', 'measure_goodput', 'measure_recovery', 'run']

_LOADS = (0.5, 0.75, 1, 1.5, 2, 3)  # of the room with all objects known
_WARM_UP = 8.0  # seconds until the servers know the objects
_SECONDS = 8.0  # of measurement
_BURST_SECONDS = 4.0
_BURST = 3.0  # of the room
_QUIET = 0.5  # of the room
_RECOVERED = 0.98  # of the share on time at the usual load
_OF_PLANNER = 0.95  # docs/design/overload.md: at the usual load
_RECOVERY_BOUND = 5  # seconds


@dataclass(frozen=True, slots=True)
class Shape:
    """Servers and callers of one service.

    Attributes
    ----------
    regions : dict of str to int
        Servers by region.
    work : float
        Seconds for an object that a server does not know.
    objective : float
        Seconds within which an answer is on time.
    keys, keeps : int
        Objects asked for in a region, and kept by a server.

    """

    regions: dict[str, int]
    slots: int
    work: float
    objective: float
    keys: int
    keeps: int

    def measure_room(self) -> float:
        """Return requests a second with all objects known."""
        servers = sum(self.regions.values())
        return servers * self.slots / (self.work * WARM)

    def build(self, policy: str, seed: int) -> World:
        """Return a world without callers."""
        return World(
            self.regions,
            seed=seed,
            slots=self.slots,
            keeps=self.keeps,
            objective=self.objective,
            build=POLICIES[policy],
        )

    def load(self, world: World, part: float, start: float, end: float) -> None:
        """Let callers ask for a part of the room, evenly by region."""
        rate = part * self.measure_room() / len(self.regions)
        for region in self.regions:
            world.arrive(region, rate, start, end, self.keys, self.work)


SHAPES = {  # noqa: WPS407
    'many objects': Shape(
        {'a': 4, 'b': 4, 'c': 4},
        slots=6,
        work=0.24,
        objective=0.2,
        keys=111,
        keeps=99,
    ),
    'few kept': Shape(
        {'a': 10, 'b': 10},
        slots=4,
        work=0.3,
        objective=0.25,
        keys=200,
        keeps=30,
    ),
}


def measure_goodput(
    shape: Shape,
    policy: str,
    load: float,
    seed: int,
) -> float:
    """Return the answers on time as a part of the room."""
    world = shape.build(policy, seed)
    end = _WARM_UP + _SECONDS
    shape.load(world, min(load, _QUIET), 0, _WARM_UP / 2)
    shape.load(world, load, _WARM_UP / 2, end)
    world.run(_WARM_UP)
    world.results.clear()
    world.run(end)
    return load * world.share('on time')


def measure_recovery(shape: Shape, policy: str, seed: int) -> float:
    """Return the seconds after a burst until a second is as usual again."""
    world = shape.build(policy, seed)
    burst_ends = int(_WARM_UP + _BURST_SECONDS)
    end = burst_ends + 2 * _RECOVERY_BOUND
    shape.load(world, _QUIET, 0, end)
    shape.load(world, _BURST - _QUIET, _WARM_UP, burst_ends)
    world.run(end + 1)
    usual = _read_share(world, int(_WARM_UP) - 1)
    bad = [
        second + 1 - burst_ends
        for second in range(burst_ends, end - 1)
        if _read_share(world, second) < usual * _RECOVERED
    ]
    return max(bad, default=0)


def _read_share(world: World, second: int) -> float:
    counts = world.by_second[second]
    return counts['on time'] / max(sum(counts.values()), 1)


def run(seed: int = 1, *, quick: bool = False) -> list[Figure]:
    """Return the pools' figures with their bounds.

    Parameters
    ----------
    seed : int
        Seed of arrivals, work and choices.
    quick : bool
        Measure only the usual load.

    """
    figures = []
    for name, shape in SHAPES.items():
        for load in (_QUIET,) if quick else _LOADS:
            ours = measure_goodput(shape, 'pools', load, seed)
            planner = measure_goodput(shape, 'planner', load, seed)
            prefix = f'overload/{name}/{load:g}'
            figures.append(Figure(f'{prefix}/on-time', ours, 'of the room'))
            figures.append(
                Figure(
                    f'{prefix}/of-planner',
                    ours / planner,
                    '',
                    _OF_PLANNER if load <= _QUIET else None,
                    Direction.AT_LEAST,
                ),
            )
        figures.append(
            Figure(
                f'overload/{name}/recovery',
                measure_recovery(shape, 'pools', seed),
                's',
                _RECOVERY_BOUND,
            ),
        )
    return figures


def print_table(seed: int) -> None:
    """Print all ways side by side."""
    for name, shape in SHAPES.items():
        for policy in POLICIES:
            goodput = ' '.join(
                f'{measure_goodput(shape, policy, load, seed):.2f}'
                for load in _LOADS
            )
            recovery = measure_recovery(shape, policy, seed)
            print(f'{name:14} {policy:14} {goodput}  recovery {recovery:g} s')


if __name__ == '__main__':
    print_table(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
