"""The state of backend servers follows their entries and the zones."""

import pytest

from sesameroute.placement import Grant, Pool, PoolIdentity, SlotRequest
from sesameroute.registry import Backend, BackendState, RegistryEntry

REGIONS = {'north-a': 'north'}


def list_entries(zone, incarnation):
    """Return the registry's entries of a service with one server."""
    backend = Backend(
        'b', 's', '127.0.0.1', 80, zone, 4, BackendState.READY, 0, incarnation
    )
    return [RegistryEntry(backend, 0)]


@pytest.mark.parametrize(
    ('entry_before', 'regions_before'),
    [
        (('nowhere', 1), REGIONS),
        (('nowhere', 2), REGIONS),
        (('north-a', 1), {}),
        (('north-a', 2), {}),
    ],
)
def test_server_is_used_once_its_zone_is_known(entry_before, regions_before):
    """A server whose zone was unknown at first was never used."""
    pool = Pool(PoolIdentity('s', 'north', '10.0.0.1'))
    pool.update_backends(list_entries(*entry_before), regions_before, 0)
    pool.update_backends(list_entries('north-a', 2), REGIONS, 1)
    request = SlotRequest('s', 'r', 'k', 1, 0.2, 0.2, 0.8, homes=('north',))
    assert isinstance(pool.place(request, '10.0.0.1', print, 1), Grant)
