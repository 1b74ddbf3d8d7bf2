"""The sum of what all nodes let through for one tenant.

The nodes run the code of real ones in simulated time; only the messages
between them are simulated.
"""

import random
from functools import partial

import pytest

from sesameroute.tenants import Allowance, QuotaBounds, Tenant
from sesameroute.tenants._stock import Part, Stock
from sesameroute.tenants.tests.fleet import SimulatedFleet, build_fleet

_MAX_REFUSED = 0.02  # of the requests within the allowance
_SIZES = (10, 10, 11)
_SEED = 3


def measure_refused(fleet):
    """Return the fraction of the requests that were refused."""
    return fleet.refused / (len(fleet.admitted) + fleet.refused)


@pytest.mark.parametrize('fraction', [0.5, 0.8, 0.95])
@pytest.mark.parametrize(
    ('sizes', 'rate', 'seconds'),
    [
        ((1,), 5, 60),
        (_SIZES, 1, 200),
        (_SIZES, 5, 100),
        ((6, 6, 5), 50, 24),
        ((6, 6, 5), 200, 8),
        (_SIZES, 50, 30),
        (_SIZES, 493, 5),
        (_SIZES, 1000, 3),
        ((47, 47, 46), 5, 60),
        ((47, 47, 46), 300, 4),
    ],
)
def test_requests_within_the_allowance(sizes, rate, seconds, fraction):
    """Nearly none is refused, however few the tokens of a node are."""
    fleet = build_fleet(sizes, rate, rate, _SEED)
    fleet.load(rate * fraction, seconds)
    assert measure_refused(fleet) <= _MAX_REFUSED
    assert fleet.count_most() <= fleet.compute_limit()


@pytest.mark.parametrize('place', ['anywhere', 'region', 'moving zone'])
@pytest.mark.parametrize(('rate', 'seconds'), [(1, 60), (5, 60), (50, 16)])
def test_nodes_short_of_processor_time(rate, seconds, place):
    """Messages that a node handles late cost nearly no request its token."""
    sizes = (6, 6, 5)
    fleet = build_fleet(sizes, rate, rate, _SEED)
    fleet.lateness, fleet.late_fraction = (0.05, 0.3), 0.1

    def choose(now):
        if place == 'anywhere':
            return fleet.random.choice(list(fleet.nodes))
        zone = int(now / 2) % 6 if place == 'moving zone' else 0
        region, half = divmod(zone, 2)
        size = sizes[region] // (1 if place == 'region' else 2)
        return f'region-{region}/{half * size + fleet.random.randrange(size)}'

    fleet.load(rate * 0.625, seconds, choose)
    assert measure_refused(fleet) <= _MAX_REFUSED
    assert fleet.count_most() <= fleet.compute_limit()


@pytest.mark.parametrize('rate', [1, 5, 50, 493])
@pytest.mark.parametrize('multiple', [2, 10])
def test_tenant_that_sends_many_times_its_limit(rate, multiple):
    """It gets its allowance, and no more than the stated excess."""
    fleet = build_fleet(_SIZES, rate, rate, _SEED)
    fleet.load(rate * multiple, 10)
    assert fleet.count_most() <= fleet.compute_limit()
    assert len(fleet.admitted) >= 0.95 * rate * 10


@pytest.mark.parametrize('rate', [5, 50, 493])
def test_callers_that_move_between_regions(rate):
    """All requests come to one region, and then to another one."""
    fleet = build_fleet(_SIZES, rate, rate, _SEED)

    def choose(now):
        region = 'region-0' if now < 12 else 'region-1'
        return f'{region}/{fleet.random.randrange(10)}'

    fleet.load(rate * 0.625, 12, choose)
    assert measure_refused(fleet) <= _MAX_REFUSED * 2
    assert fleet.count_most() <= fleet.compute_limit()


def disturb(fleet, choices):
    """Cut, freeze, kill or restart some nodes, or let messages be lost."""
    names = list(fleet.nodes)
    kind = choices.choice(
        ['cut', 'region', 'heal', 'kill', 'restart', 'freeze', 'loss']
    )
    hit = choices.sample(names, choices.choice([1, 2, 5]))
    if kind == 'cut':
        fleet.cut([each for each in names if each not in hit], hit)
    elif kind == 'region':
        region = choices.choice(fleet.regions)
        own = [each for each in names if each.startswith(region)]
        fleet.cut([each for each in names if each not in own], own)
    elif kind == 'heal':
        fleet.cut(names)
    elif kind == 'loss':
        fleet.loss, fleet.jitter = choices.random(), choices.random()
    for name in hit if kind in {'kill', 'restart'} else ():
        fleet.nodes[name].kill()
        pause = 0.5 if kind == 'restart' else 6
        fleet.schedule(pause, fleet.nodes[name].start)
    for name in hit if kind == 'freeze' else ():
        fleet.nodes[name].freeze(choices.uniform(0.5, 6))


@pytest.mark.parametrize(
    ('seed', 'late_fraction'),
    [*((seed, 0) for seed in range(12)), (12, 0.2), (13, 0.5), (14, 0.9)],
)
def test_sum_holds_under_any_failure(seed, late_fraction):
    """No sliding window has more than the bound, whatever fails."""
    choices = random.Random(seed)
    rate = choices.choice([5, 40, 300])
    burst = rate * choices.choice([0, 0.5, 1])
    fleet = SimulatedFleet(
        (5, 5, 6), Tenant('t', frozenset(), rate=rate, burst=burst), seed
    )
    fleet.lateness, fleet.late_fraction = (0.05, 0.6), late_fraction
    for step in range(24):
        fleet.schedule(4 + step, partial(disturb, fleet, choices))
    fleet.load(rate * choices.choice([1, 3, 8]), 30)
    assert fleet.count_most() <= fleet.compute_limit()
    assert fleet.admitted


def test_late_tokens_count_only_in_room_that_was_free():
    """Tokens that are late add nothing to those held meanwhile."""
    stock = Stock(Allowance(0, 10), 0)
    stock.part = Part(1, (1,))
    stock.add(6)
    stock.remove(6)
    stock.add_late(3)
    stock.add_late(3)
    assert stock.level_ == 4
    for now in (1, 2, 3):
        stock.refill(now)
    stock.add_late(7)
    assert stock.level_ == 10


def test_mass_restart_brings_no_second_burst():
    """All nodes start at once with a tenant that presses on."""
    fleet = build_fleet(_SIZES, 200, 400, _SEED)
    fleet.load(1000, 2)
    for node in fleet.nodes.values():
        node.kill()
        fleet.schedule(0.3, node.start)
    fleet.load(1000, 5)
    assert fleet.count_most() <= fleet.compute_limit()
    recovered = [each for each in fleet.admitted if each > fleet.now - 2]
    assert len(recovered) >= 0.9 * 200 * 2


def test_region_that_is_cut_off_keeps_its_part():
    """Its callers are served by its part, those elsewhere by the others."""
    fleet = build_fleet(_SIZES, 300, 300, _SEED)
    apart = [each for each in fleet.nodes if each.startswith('region-0')]
    fleet.cut([each for each in fleet.nodes if each not in apart], apart)
    fleet.load(0.9 * 300, 30)
    assert fleet.count_most() <= fleet.compute_limit()
    assert measure_refused(fleet) <= 0.05


def test_lowered_limit_binds_within_one_window():
    """Tokens of the higher limit are void at once."""
    fleet = build_fleet(_SIZES, 400, 400, _SEED)
    fleet.load(1000, 3)
    fleet.tenant = Tenant('t', frozenset(), rate=20, burst=20)
    fleet.run(fleet.now + 0.5)
    fleet.admitted.clear()
    fleet.load(1000, 8)
    assert fleet.count_most() <= fleet.compute_limit()
    fleet.tenant = Tenant('t', frozenset(), rate=400, burst=400)
    fleet.load(300, 1)
    fleet.refused = 0
    fleet.admitted.clear()
    fleet.load(300, 3)
    assert measure_refused(fleet) <= _MAX_REFUSED


@pytest.mark.parametrize(
    'bounds', [QuotaBounds(1, 0.1, 5), QuotaBounds(10, 0.2, 0)]
)
def test_other_bounds(bounds):
    """The bounds of the settings decide."""
    tenant = Tenant('t', frozenset(), rate=100, burst=100)
    fleet = SimulatedFleet(_SIZES, tenant, _SEED, bounds)
    fleet.load(500, 15)
    assert fleet.count_most() <= fleet.compute_limit()


def test_depot_that_knows_no_allowances():
    """Nodes of an older build beside these are passed over as depots."""
    fleet = build_fleet(_SIZES, 50, 50, _SEED)
    for region in fleet.regions:
        allowances = fleet.nodes[f'{region}/0'].allowances
        fleet.nodes[allowances.depots.own].is_older = True
    older = {each for each in fleet.nodes if fleet.nodes[each].is_older}
    able = [each for each in fleet.nodes if each not in older]
    fleet.load(30, 5, lambda _now: fleet.random.choice(able))
    fleet.refused = 0
    fleet.admitted.clear()
    fleet.load(30, 20, lambda _now: fleet.random.choice(able))
    assert measure_refused(fleet) <= _MAX_REFUSED
    assert fleet.count_most() <= fleet.compute_limit()
