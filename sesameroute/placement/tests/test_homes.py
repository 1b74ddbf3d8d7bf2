"""Routes with homes run nowhere else, whatever is known or lost."""

import pytest

from sesameroute.placement import Ask, Grant, Reason, Refusal
from sesameroute.placement.tests.world import World


def build_ask(homes, key='k'):
    """Return an ask with homes."""
    return Ask('service', 'flow', key, 1, 0.2, 0.2, 0.8, homes=homes)


@pytest.mark.parametrize(
    ('homes', 'region'),
    [
        (('north',), 'north'),
        (('south',), 'south'),
        (('south', 'west'), None),
        ((), 'north'),
    ],
)
def test_homes_are_kept(homes, region):
    """The own region first; other homes where it is none."""
    world = World({'north': 2, 'south': 2, 'west': 2})
    for number in range(8):
        ask = build_ask(homes, f'k{number}')
        placed = world.pools['north'].place(ask, 'n', print, 0)
        assert isinstance(placed, Grant)
        ran = world.servers[placed.backend].zone.removesuffix('-a')
        assert ran in ((region,) if region else homes)


def test_without_a_server_at_home_nothing_runs():
    """All servers of the homes are evacuated, or not known yet."""
    world = World({'north': 2, 'south': 2})
    for name in ('south-0', 'south-1'):
        world.remove_server(name)
    ask = build_ask(('south',))
    placed = world.pools['north'].place(ask, 'n', print, 0)
    assert isinstance(placed, Refusal)
    assert placed.reason is Reason.NO_BACKEND
