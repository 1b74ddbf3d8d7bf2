"""Demand in waves, and callers that move: the shares of regions lead."""

import math

import pytest

from sesameroute.placement import PlacementTerms, Pool, PoolIdentity
from sesameroute.placement.tests.simulation import Simulation

REGIONS = {'north': 6, 'south': 24, 'west': 20}
PHASES = {'north': 0.53, 'south': 0.2, 'west': 0.87}
# Run time without the object, objective, objects kept by a server, all objects.
SCHOOL = (0.44, 0.512, 24, 247)
LABORATORY = (0.75, 0.69, 13, 164)
TRAVEL_SECONDS = 0.11
# Start, end and regions of callers that move at once: three quarters of one
# of two zones.
MOVES = ((9.5, 14, 'south', 'north'), (15, 20, 'west', 'north'))
MOVING_FRACTION = 0.37
END_SECONDS = 26


def build_pool(terms):
    """Return a function that builds the pools."""

    def build(_simulation, region):
        pool = Pool(PoolIdentity('service', region, region), terms=terms)
        pool.limit_cold_starts(5, 0.8)
        pool._granter.admission._random.seed(1)
        return pool

    return build


def find_region(world, region, moment):
    """Return the region in which a caller of `region` is at a time."""
    for start, end, source, target in MOVES:
        if source == region and start <= moment < end:
            if world.random.random() < MOVING_FRACTION:
                return target
    return region


def schedule_wave(world, region, mean_rate, work, key_count):
    """Schedule requests whose rate swings by 55% in 36 s."""
    moment = 0
    while moment < END_SECONDS:
        moment += world.random.expovariate(1.55 * mean_rate)
        angle = 2 * math.pi * (moment / 36 + PHASES[region])
        if world.random.random() * 1.55 < 1 + 0.55 * math.sin(angle):
            world.schedule(
                moment,
                world._submit,
                find_region(world, region, moment),
                f'k{world.random.randrange(key_count)}',
                work * world.random.uniform(0.85, 1.15),
                moment,
                0,
            )


def play(load, terms, seed=1, kind=SCHOOL, travel=0):
    """Return a simulation that has played the waves."""
    work, objective, kept_count, key_count = kind
    world = Simulation(
        REGIONS,
        seed=seed,
        slots=3,
        objective=objective,
        cache_size=kept_count,
        build_policy=build_pool(terms),
    )
    world.travel = travel
    room = sum(REGIONS.values()) * 3 / (work * 0.3)
    for region in REGIONS:
        schedule_wave(world, region, load * room / 3, work, key_count)
    world.run(8)
    world.results.clear()
    world.run(END_SECONDS)
    return world


def list_shifts(world, region):
    """Yield the part of the requests that moved between windows of 2 s."""
    served = [
        (when, zone) for when, own, zone in world.placements if own == region
    ]
    for start in range(0, END_SECONDS - 4):
        windows = [
            [zone for when, zone in served if 0 <= when - begin < 2]
            for begin in (start, start + 2)
        ]
        if all(windows):
            yield sum(
                max(
                    windows[1].count(zone) / len(windows[1])
                    - windows[0].count(zone) / len(windows[0]),
                    0,
                )
                for zone in world.zones.values()
            )


LEADING = PlacementTerms(forecast_seconds=2, max_shift=0.15)


@pytest.mark.parametrize('load', [0.5, 0.75])
def test_shifts_stay_within_cap(load):
    """Nothing moves faster than the cap, whatever the callers do."""
    world = play(load, LEADING)
    for region in REGIONS:
        assert max(list_shifts(world, region)) <= 0.15


@pytest.mark.parametrize(('load', 'gain'), [(0.75, 0.05), (1, 0.2)])
def test_small_region_is_served_better(load, gain):
    """A tenth of the servers with a third of the callers."""
    before = play(load, PlacementTerms())
    after = play(load, LEADING)
    north = [
        world.compute_fraction('on time', 'north') for world in (before, after)
    ]
    whole = [world.compute_fraction('on time') for world in (before, after)]
    assert north[1] >= north[0] + gain
    assert whole[1] >= whole[0]


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    ('kind', 'least'), [(LABORATORY, 0.77), (SCHOOL, 0.845)]
)
def test_travel_takes_no_room(kind, least, seed):
    """Half of the small region's requests travel; each object has its home."""
    world = play(0.75, LEADING, seed, kind, TRAVEL_SECONDS)
    assert world.compute_fraction('on time') >= least
    for region in REGIONS:
        assert max(list_shifts(world, region)) <= 0.15
