"""Loads at their worst, replayed on a model of backend servers.

Bounds come from what a planner that sees all could serve: the room of
servers that know their objects.
"""

import pytest

from sesameroute.placement.tests.world import World

THREE = {'north': 4, 'south': 4, 'west': 4}
ROOM = 12 * 6 / (0.24 * 0.3)  # requests per second, objects known


def build_loaded(part, *, seed, end=16.0, regions=None, **options):
    """Return a world whose callers ask for a part of the whole room."""
    world = World(regions or THREE, seed=seed, **options)
    for region in world.pools:
        rate = part * ROOM / len(world.pools)
        world.arrive(region, rate, 0.0, end)
    return world


def run_after(world, warm, end):
    """Run to the end and count only what came after the warm-up."""
    world.run(warm)
    world.results.clear()
    world.run(end)


@pytest.mark.parametrize('seed', [1, 2])
def test_a_usual_day_is_on_time(seed):
    """At half of the room, 95% after the servers know their objects."""
    world = build_loaded(0.5, seed=seed)
    run_after(world, 8.0, 16.0)
    assert world.share('on time') >= 0.95


@pytest.mark.parametrize('seed', [1, 2])
def test_slots_are_never_exceeded_in_the_own_region(seed):
    """A pool that is alone counts exactly, also under overload."""
    world = World({'north': 4}, seed=seed)
    world.arrive('north', 1.5 * ROOM / 3, 0, 8)
    world.run(8.0)
    assert max(server.most for server in world.servers.values()) <= 6


@pytest.mark.parametrize('seed', [1, 2])
def test_overload_does_not_collapse(seed):
    """At one and a half times the room, three quarters of it is on time."""
    world = build_loaded(1.5, seed=seed)
    run_after(world, 8.0, 16.0)
    served = world.share('on time') + world.share('late')
    assert served * 1.5 >= 0.8
    assert world.share('on time') * 1.5 >= 0.7


@pytest.mark.parametrize('load', [2, 3])
def test_returning_callers_crowd_nobody_out(load):
    """At two and three times the room, most of the room is on time.

    Nearly all callers that come are told to return; those that can't be on
    time any more leave the slots to those that can.
    """
    world = build_loaded(0.5, seed=1, end=4.0)
    for region in world.pools:
        world.arrive(region, load * ROOM / len(world.pools), 4.0, 10.0)
    run_after(world, 6.0, 11.0)
    assert world.share('on time') * load >= 0.8


@pytest.mark.parametrize('seed', [1, 2])
def test_refusals_come_early(seed):
    """What can't be on time is told so within an eighth of the objective."""
    world = build_loaded(1.5, seed=seed, end=8.0)
    world.run(8.0)
    waits = sorted(world.refusal_waits)
    assert waits[len(waits) // 2] <= 0.2 / 8


@pytest.mark.parametrize('seed', [1, 2])
def test_a_burst_leaves_nothing_behind(seed):
    """Two seconds after a burst of three times the room all is usual."""
    world = build_loaded(0.4, seed=seed, end=14.0)
    for region in world.pools:
        world.arrive(region, ROOM, 6.0, 8.0)
    run_after(world, 10.0, 14.0)
    assert world.share('on time') >= 0.95


@pytest.mark.parametrize('seed', [1, 2])
def test_a_small_region_hands_its_surplus_over(seed):
    """A region with an eighth of the servers and a third of the callers."""
    regions = {'north': 2, 'south': 7, 'west': 7}
    world = World(regions, seed=seed)
    whole = 16 * 6 / (0.24 * 0.3)
    for region in regions:
        world.arrive(region, 0.5 * whole / 3, 0, 24)
    run_after(world, 16.0, 24.0)
    assert world.share('on time', 'north') >= 0.9
    assert world.share('on time', 'south') >= 0.9


@pytest.mark.parametrize('seed', [1, 2])
def test_shares_between_regions_move_slowly(seed):
    """No window of two seconds differs from the last by over 15%."""
    regions = {'north': 2, 'south': 7, 'west': 7}
    world = World(regions, seed=seed)
    whole = 16 * 6 / (0.24 * 0.3)
    for region in regions:
        world.arrive(region, 0.3 * whole / 3, 0, 24)
    world.arrive('north', 0.3 * whole, 6, 14)
    world.run(24.0)
    shares = []
    for start in range(0, 220):
        moment = start / 10
        ran = [
            place
            for when, region, place in world.ran_in
            if region == 'north' and moment <= when < moment + 2
        ]
        shares.append(ran.count('north') / len(ran))
    changes = [
        abs(after - before)
        for before, after in zip(shares, shares[20:], strict=False)
    ]
    assert max(changes) <= 0.15


@pytest.mark.parametrize('seed', [1, 2])
def test_few_kept_objects_stay_at_their_homes(seed):
    """Servers that keep a quarter of the objects still know most."""
    world = World({'north': 12}, seed=seed, keeps=25)
    world.arrive('north', 0.5 * ROOM, 0, 16, keys=100)
    run_after(world, 8.0, 16.0)
    assert world.share('on time') >= 0.9


def test_a_slow_server_gets_little():
    """One server at eight times its usual pace costs few requests."""
    world = build_loaded(0.5, seed=3)
    world.at(6.0, setattr, world.servers['north-0'], 'pace', 8.0)
    run_after(world, 8.0, 16.0)
    assert world.share('on time') >= 0.93


def test_servers_that_all_shed_are_used_all_the_same():
    """When every server sheds a part, none is left out for it."""
    world = build_loaded(0.4, seed=6)
    for server in world.servers.values():
        world.at(6.0, setattr, server, 'sheds', 0.4)
    run_after(world, 8.0, 16.0)
    # Four tries in a row are shed in 2.6% of the cases.
    assert world.share('on time') >= 0.9


def test_a_server_that_sheds_alone_gets_little():
    """One that sheds while the others don't is left out."""
    world = build_loaded(0.5, seed=6)
    world.at(6.0, setattr, world.servers['north-0'], 'sheds', 0.9)
    run_after(world, 8.0, 16.0)
    assert world.share('on time') >= 0.93


def test_a_cold_server_gets_work_under_its_bound():
    """A server that joins is started gently and is not left out."""
    world = build_loaded(0.5, seed=4)
    world.run(6.0)
    world.add_server('north-new', 'north-a', 6, 99, cold_until=9.0)
    world.sync()
    world.run(12.0)
    starts = world.servers['north-new'].starts
    early = [moment for moment in starts if moment < 9.0]
    for moment in early:
        within = [one for one in early if moment <= one < moment + 1]
        assert len(within) <= 5 * 1.5 + 5
    assert len([moment for moment in starts if moment < 10.0]) >= 1


def test_lost_servers_are_missed_for_a_moment_only():
    """A quarter of the servers leaves at once."""
    world = build_loaded(0.5, seed=5)
    world.run(6.0)
    for region in THREE:
        world.remove_server(f'{region}-0')
    run_after(world, 8.0, 16.0)
    assert world.share('on time') >= 0.93
