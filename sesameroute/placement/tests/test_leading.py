"""Tests of when a region's plan leads, and of travel beside runs."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from sesameroute.placement._estimates import Estimates
from sesameroute.placement._granter import receive
from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._remaining_time import find_needed_seconds
from sesameroute.placement._shift_limiter import ShiftLimiter
from sesameroute.placement._spillover import SpilloverPlan
from sesameroute.placement._travel import TravelTimes

_EVEN = {'north': 24, 'south': 24, 'west': 24}
_UNEVEN = _EVEN | {'north': 6}
_REQUEST = SlotRequest(
    service='s',
    flow='r',
    key='',
    priority=1,
    objective=1.0,
    on_time=1.0,
    time_left=2.0,
)


def build_travel(plan):
    """Return travel times beside runs of 0.2 s."""
    estimates = Estimates()
    for _ in range(3):
        estimates.find_hit('r', 1.0).observe(0.2)
    return TravelTimes(plan, estimates)


@pytest.mark.parametrize(
    ('capacities', 'is_leading'),
    [
        ((_EVEN,), False),
        ((_UNEVEN,), True),
        ((_EVEN | {'': 3},), False),
        # Servers of a small region restart, and are back.
        ((_EVEN | {'north': 9},), True),
        ((_EVEN | {'north': 11},), False),
        ((_UNEVEN, _EVEN | {'north': 11}), True),
        ((_UNEVEN, _EVEN | {'north': 15}), False),
    ],
)
def test_plan_leads_where_a_region_is_small(capacities, is_leading):
    """The mean has the small region in it; once begun, it lasts longer."""
    plan = SpilloverPlan('north')
    plan.use_cap(0.15)
    for each in capacities:
        plan.compare_regions(each)
    assert plan.is_leading_ is is_leading


@pytest.mark.parametrize('capacities', [_EVEN, _UNEVEN])
@pytest.mark.parametrize('max_shift', [0, 0.05, 0.15, 0.5])
def test_cap_of_the_settings_binds_in_any_fleet(max_shift, capacities):
    """A plan that did not lead moved by 0.11, whatever the settings say."""
    plan = SpilloverPlan('north')
    plan.use_cap(max_shift)
    plan.compare_regions(capacities)
    assert plan._shift_limiter.max_growth <= max_shift
    assert 2 * plan._change_per_second <= max_shift
    if capacities is _EVEN and max_shift >= 0.15:
        usual = ShiftLimiter()
        assert plan._shift_limiter.max_growth == usual.max_growth


def test_travel_grows_from_nothing():
    """A new leader may learn its first runs from abroad: travel of nothing."""
    plan = SimpleNamespace(region='north', is_leading_=True)
    travel = build_travel(plan)
    for seconds in (0.19, 0.2, *(0.31,) * 30):
        travel.observe_hit(_REQUEST, 'south', seconds)
    assert travel.find('south') == pytest.approx(0.11, rel=0.3)
    assert travel.find('north') == 0
    plan.is_leading_ = False
    assert travel.find('south') == 0


def test_travel_counts_in_the_time_that_is_needed():
    """Late requests were sent abroad without the time for the way back."""
    plan = SimpleNamespace(region='north', is_leading_=True)
    travel = build_travel(plan)
    for _ in range(3):
        travel.observe_hit(_REQUEST, 'south', 0.31)
    granter = SimpleNamespace(
        travel=travel,
        choose_region=lambda slot_request, now: slot_request.key,
        admission=SimpleNamespace(estimate_response_time=lambda _: 0.3),
    )
    needed = [
        find_needed_seconds(
            travel.estimates,
            receive(granter, replace(_REQUEST, key=region), 'n', print, 5),
            is_warm=True,
        )
        for region in ('north', 'south')
    ]
    assert needed == pytest.approx([0.2, 0.31])
