"""Requests of routes with homes run only there, even if servers are lost."""

import pytest

from sesameroute.placement import Grant, Reason, Refusal, SlotRequest
from sesameroute.placement.tests.simulation import Simulation


def build_slot_request(homes, key='k'):
    """Return a request for a slot that is restricted to homes."""
    return SlotRequest('service', 'flow', key, 1, 0.2, 0.2, 0.8, homes=homes)


@pytest.mark.parametrize(
    ('homes', 'region'),
    [
        (('north',), 'north'),
        (('south',), 'south'),
        (('south', 'west'), None),
        ((), 'north'),
    ],
)
def test_runs_only_in_homes(homes, region):
    """The own region is preferred, unless it is not one of the homes."""
    world = Simulation({'north': 2, 'south': 2, 'west': 2})
    for number in range(8):
        slot_request = build_slot_request(homes, f'k{number}')
        placed = world.pools['north'].place(slot_request, 'n', print, 0)
        assert isinstance(placed, Grant)
        ran = world.servers[placed.backend].zone.removesuffix('-a')
        assert ran in ((region,) if region else homes)


def test_refused_without_server_in_homes():
    """Requests are refused if no server in their homes is known.

    That happens when all of them are evacuated or not registered yet.
    """
    world = Simulation({'north': 2, 'south': 2})
    for name in ('south-0', 'south-1'):
        world.remove_server(name)
    slot_request = build_slot_request(('south',))
    placed = world.pools['north'].place(slot_request, 'n', print, 0)
    assert isinstance(placed, Refusal)
    assert placed.reason is Reason.NO_BACKEND
