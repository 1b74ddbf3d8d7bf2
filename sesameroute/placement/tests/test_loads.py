"""Simulated overload and failures of backend servers.

Bounds are relative to what a planner with complete knowledge could serve: the
capacity of the servers when all objects are cached.
"""

import pytest

from sesameroute.placement.tests.simulation import Simulation

THREE_REGIONS = {'north': 4, 'south': 4, 'west': 4}
# Requests per second with all objects cached: the slots of all servers,
# divided by the average run time of a request in seconds.
CAPACITY_PER_SECOND = 12 * 6 / (0.24 * 0.3)


def build_simulation(load_fraction, *, seed, end=16.0, regions=None, **options):
    """Return a simulation with load as a fraction of the capacity."""
    simulation = Simulation(regions or THREE_REGIONS, seed=seed, **options)
    for region in simulation.pools:
        rate = load_fraction * CAPACITY_PER_SECOND / len(simulation.pools)
        simulation.schedule_arrivals(region, rate, 0.0, end)
    return simulation


def run_after_warm_up(simulation, warm_up_end, end):
    """Run to the end; count only requests that end after the warm-up."""
    simulation.run(warm_up_end)
    simulation.results.clear()
    simulation.run(end)


@pytest.mark.parametrize('seed', [1, 2])
def test_moderate_load_is_on_time(seed):
    """At half of the capacity, 95% are on time once caches are filled."""
    simulation = build_simulation(0.5, seed=seed)
    run_after_warm_up(simulation, 8.0, 16.0)
    assert simulation.compute_fraction('on time') >= 0.95


@pytest.mark.parametrize('seed', [1, 2])
def test_single_pool_never_exceeds_slots(seed):
    """Without other pools, the count of slots is exact under overload."""
    simulation = Simulation({'north': 4}, seed=seed)
    simulation.schedule_arrivals('north', 1.5 * CAPACITY_PER_SECOND / 3, 0, 8)
    simulation.run(8.0)
    assert (
        max(server.max_running for server in simulation.servers.values()) <= 6
    )


@pytest.mark.parametrize('seed', [1, 2])
def test_overload_does_not_collapse(seed):
    """At 1.5 times the capacity, 70% of the capacity is on time."""
    simulation = build_simulation(1.5, seed=seed)
    run_after_warm_up(simulation, 8.0, 16.0)
    served = simulation.compute_fraction(
        'on time'
    ) + simulation.compute_fraction('late')
    assert served * 1.5 >= 0.8
    assert simulation.compute_fraction('on time') * 1.5 >= 0.7


@pytest.mark.parametrize('load', [2, 3])
def test_retries_do_not_crowd_out_new_requests(load):
    """At two and three times the capacity, 80% of it is on time.

    Nearly all new requests are refused and retried. If retries that can no
    longer be on time took the slots, new requests would be late or refused.
    """
    simulation = build_simulation(0.5, seed=1, end=4.0)
    for region in simulation.pools:
        simulation.schedule_arrivals(
            region,
            load * CAPACITY_PER_SECOND / len(simulation.pools),
            4.0,
            10.0,
        )
    run_after_warm_up(simulation, 6.0, 11.0)
    assert simulation.compute_fraction('on time') * load >= 0.8


@pytest.mark.parametrize('seed', [1, 2])
def test_refusals_are_fast(seed):
    """The median refusal takes at most an eighth of the objective."""
    simulation = build_simulation(1.5, seed=seed, end=8.0)
    simulation.run(8.0)
    waits = sorted(simulation.refusal_waits)
    assert waits[len(waits) // 2] <= 0.2 / 8


@pytest.mark.parametrize('seed', [1, 2])
def test_recovers_after_burst(seed):
    """Two seconds after a burst of 3 times the capacity, 95% are on time."""
    simulation = build_simulation(0.4, seed=seed, end=14.0)
    for region in simulation.pools:
        simulation.schedule_arrivals(region, CAPACITY_PER_SECOND, 6.0, 8.0)
    run_after_warm_up(simulation, 10.0, 14.0)
    assert simulation.compute_fraction('on time') >= 0.95


@pytest.mark.parametrize('seed', [1, 2])
def test_small_region_spills_over(seed):
    """A region with an eighth of the servers has a third of the callers."""
    regions = {'north': 2, 'south': 7, 'west': 7}
    simulation = Simulation(regions, seed=seed)
    capacity = 16 * 6 / (0.24 * 0.3)
    for region in regions:
        simulation.schedule_arrivals(region, 0.5 * capacity / 3, 0, 24)
    run_after_warm_up(simulation, 16.0, 24.0)
    assert simulation.compute_fraction('on time', 'north') >= 0.9
    assert simulation.compute_fraction('on time', 'south') >= 0.9


@pytest.mark.parametrize('seed', [1, 2])
def test_traffic_shifts_within_cap(seed):
    """Local shares of consecutive 2 s windows differ by at most 15%."""
    regions = {'north': 2, 'south': 7, 'west': 7}
    simulation = Simulation(regions, seed=seed)
    capacity = 16 * 6 / (0.24 * 0.3)
    for region in regions:
        simulation.schedule_arrivals(region, 0.3 * capacity / 3, 0, 24)
    simulation.schedule_arrivals('north', 0.3 * capacity, 6, 14)
    simulation.run(24.0)
    shares = []
    for start in range(0, 220):
        moment = start / 10
        serving_regions = [
            serving_region
            for when, region, serving_region in simulation.placements
            if region == 'north' and moment <= when < moment + 2
        ]
        shares.append(serving_regions.count('north') / len(serving_regions))
    changes = [
        abs(after - before)
        for before, after in zip(shares, shares[20:], strict=False)
    ]
    assert max(changes) <= 0.15


@pytest.mark.parametrize('seed', [1, 2])
def test_small_caches_stay_effective(seed):
    """90% are on time if each server can cache a quarter of the objects."""
    simulation = Simulation({'north': 12}, seed=seed, cache_size=25)
    simulation.schedule_arrivals(
        'north', 0.5 * CAPACITY_PER_SECOND, 0, 16, keys=100
    )
    run_after_warm_up(simulation, 8.0, 16.0)
    assert simulation.compute_fraction('on time') >= 0.9


def test_slow_server_is_avoided():
    """A server with eight times the usual run time delays few requests."""
    simulation = build_simulation(0.5, seed=3)
    simulation.schedule(
        6.0, setattr, simulation.servers['north-0'], 'slowdown', 8.0
    )
    run_after_warm_up(simulation, 8.0, 16.0)
    assert simulation.compute_fraction('on time') >= 0.93


def test_servers_stay_in_use_when_all_shed():
    """If all servers shed 40% of the requests, none is avoided for it."""
    simulation = build_simulation(0.4, seed=6)
    for server in simulation.servers.values():
        simulation.schedule(6.0, setattr, server, 'shed_probability', 0.4)
    run_after_warm_up(simulation, 8.0, 16.0)
    # All four tries of a request are shed in 2.6% of the cases.
    assert simulation.compute_fraction('on time') >= 0.9


def test_single_shedding_server_is_avoided():
    """A server that sheds 90% of its requests alone is avoided."""
    simulation = build_simulation(0.5, seed=6)
    simulation.schedule(
        6.0, setattr, simulation.servers['north-0'], 'shed_probability', 0.9
    )
    run_after_warm_up(simulation, 8.0, 16.0)
    assert simulation.compute_fraction('on time') >= 0.93


def test_cold_server_starts_within_rate():
    """A new server gets requests, but no more than a cold one can start."""
    simulation = build_simulation(0.5, seed=4)
    simulation.run(6.0)
    simulation.add_server('north-new', 'north-a', 6, 99, cold_until=9.0)
    simulation.sync()
    simulation.run(12.0)
    starts = simulation.servers['north-new'].starts
    early = [moment for moment in starts if moment < 9.0]
    for moment in early:
        within = [one for one in early if moment <= one < moment + 1]
        assert len(within) <= 5 * 1.5 + 5
    assert len([moment for moment in starts if moment < 10.0]) >= 1


def test_recovers_after_server_loss():
    """Two seconds after losing a quarter of the servers, 93% are on time."""
    simulation = build_simulation(0.5, seed=5)
    simulation.run(6.0)
    for region in THREE_REGIONS:
        simulation.remove_server(f'{region}-0')
    run_after_warm_up(simulation, 8.0, 16.0)
    assert simulation.compute_fraction('on time') >= 0.93
