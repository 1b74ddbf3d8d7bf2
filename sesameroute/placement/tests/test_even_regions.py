"""Settings act only where the data of a deployment call for them."""

import pytest

from sesameroute.placement import PlacementTerms, Pool, PoolIdentity
from sesameroute.placement.tests.simulation import Simulation

SWITCHED_ON = PlacementTerms(True, 2, 0.15)
EVEN = {'north': 8, 'south': 8, 'west': 6}
SMALL = {'north': 2, 'south': 8, 'west': 8}


def replay(regions, terms, *, reports_pace=False, odd_slots=3):
    """Return all placements and refusals of a seeded replay.

    Callers are three times as many in the north, from 4 s on; a server
    leaves and returns.
    """

    def build(_simulation, region):
        pool = Pool(PoolIdentity('service', region, region), terms=terms)
        pool.limit_cold_starts(5, 0.8)
        pool.plan._random.seed(1)
        pool._granter.admission._random.seed(1)
        return pool

    world = Simulation(
        regions, slots=3, cache_size=20, objective=0.3, build_policy=build
    )
    world.reports_pace = reports_pace
    world.add_server('odd', 'south-a', odd_slots, 20)
    world.sync()
    for region in regions:
        rate = 60 if region == 'north' else 180
        world.schedule_arrivals(region, rate, 0, 12)
    world.schedule_arrivals('north', 200, 4, 12)
    world.schedule(7, world.remove_server, 'south-1')
    world.run(8)
    world.add_server('south-1', 'south-a', 3, 20)
    world.sync()
    world.run(13)
    starts = {name: each.starts for name, each in world.servers.items()}
    return starts, world.refusal_waits


def test_even_regions_are_served_as_without_settings():
    """Every start of every server is at the same time."""
    before = replay(EVEN, PlacementTerms())
    assert replay(EVEN, SWITCHED_ON) == before


@pytest.mark.parametrize(
    ('regions', 'options'),
    [
        (SMALL, {}),
        (EVEN, {'reports_pace': True}),
        (EVEN, {'odd_slots': 6}),
    ],
)
def test_settings_act_where_something_is_uneven(regions, options):
    """A small region, a reported pace, or a server of another size."""
    before = replay(regions, PlacementTerms(), **options)
    assert replay(regions, SWITCHED_ON, **options) != before
