"""Tests of the part of all allowances that a node issues."""

import pytest

from sesameroute.tenants import RegionCensus
from sesameroute.tenants._transit import TransitClock

_REGIONS = ('north', 'south')
_FRACTION = 0.1


def count(census, nodes, now, others=4, known=None):
    """Return the weight of a node that hears some nodes of its region."""
    live = [f'n-{number}' for number in range(nodes)]
    known = nodes + others if known is None else known
    return census.observe(
        live, _REGIONS, (nodes + others, known), _FRACTION, now
    )


@pytest.mark.parametrize(
    ('heard', 'now', 'expected'),
    [
        ([4], 0, 1 / 8),
        ([4, 3], 5, 1 / 8),
        ([4, 3], 13, 1 / 6),
        ([4, 2], 60, 1 / 8),
        ([4, 1], 5, _FRACTION / 8),
        ([4, 1], 60, _FRACTION / 8),
        ([4, 1, 4], 60, 1 / 8),
        ([4, 6], 5, 1 / 12),
    ],
)
def test_parts_of_lost_nodes(heard, now, expected):
    """The larger half shares them after a while, the smaller one never."""
    census = RegionCensus()
    for number, nodes in enumerate(heard):
        weight = count(census, nodes, now * bool(number))
    assert weight == pytest.approx(expected)


def test_node_that_starts_alone():
    """It has heard of the others, at the store or as seeds, not from them."""
    census = RegionCensus()
    alone = count(census, 1, 0, others=0, known=31)
    assert alone == pytest.approx(_FRACTION / 2)
    # What it has heard of is forgotten, but not that there was more.
    assert count(census, 1, 60, others=0, known=1) == alone
    assert count(census, 5, 61, others=5) == pytest.approx(1 / 10)


def test_region_that_is_cut_off_goes_on():
    """A third of all nodes is no single one that sees nobody."""
    census = RegionCensus()
    assert count(census, 10, 0, others=20) == pytest.approx(1 / 20)
    cut = count(census, 10, 5, others=0, known=30)
    assert cut == pytest.approx(1 / 20)


@pytest.mark.parametrize(
    ('messages', 'expected'),
    [
        ([('a', 0, 50), ('a', 1, 51.3)], 0.3),
        ([('a', 0, 50.3), ('a', 1, 51)], 0),
        # The sender's clock starts anew with its process.
        ([('a', 900, 50), ('b', 1, 51)], 0),
        # It stood still for four seconds, while the sender was frozen.
        ([('a', 0, 50), ('a', 1, 55)], 4),
        ([('a', 0, 50), ('a', 1, 55.5), ('a', 7, 61.5)], 0),
    ],
)
def test_time_in_transit(messages, expected):
    """It is compared with that of the fastest message of late."""
    clock = TransitClock()
    for message in messages:
        seconds = clock.measure(*message)
    assert seconds == pytest.approx(expected)
