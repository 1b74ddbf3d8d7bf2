"""Tenants in the operator's configuration, and their headers."""

import pytest

from sesameroute.platform import PlatformHeaderCodec
from sesameroute.platform._documents import decode_configuration
from sesameroute.platform.tests.test_documents import ROUTE
from sesameroute.platform.tests.test_unreadable_parts import (
    write as write_document,
)
from sesameroute.routes import RouteTable
from sesameroute.tenants import Denial, Tenant

SOUND = {
    'name': 'school',
    'api_keys': ['k1', 'k2'],
    'priority': 1,
    'rate_per_s': 493,
    'burst': 12.5,
    'allowed_regions': ['north'],
}


def test_tenants_are_decoded():
    """Fields that may be left out mean no limit."""
    plain = {'name': 'plain', 'api_keys': []}
    content = write_document(
        ROUTE | {'anonymous': True}, tenants=[SOUND, plain]
    )
    configuration = decode_configuration(content)
    assert configuration.tenants == (
        Tenant(
            'school',
            frozenset({'k1', 'k2'}),
            1,
            493,
            12.5,
            frozenset({'north'}),
        ),
        Tenant('plain', frozenset()),
    )
    routes = configuration.routes
    assert [route.is_anonymous for route in routes] == [True, False]


@pytest.mark.parametrize('fields', [{}, {'tenants': []}, {'tenants': None}])
def test_configuration_without_tenants(fields):
    """Requests need no keys."""
    assert not RouteTable(
        decode_configuration(write_document(ROUTE, **fields))
    ).tenants.is_used


@pytest.mark.parametrize(
    'odd',
    [
        SOUND | {'name': 'two\r\nlines'},
        SOUND | {'name': ''},
        SOUND | {'name': ' padded'},
        SOUND | {'name': 'señor'},
        SOUND | {'api_keys': ['k3', 7]},
        SOUND | {'api_keys': ['']},
        SOUND | {'rate_per_s': -1},
        SOUND | {'rate_per_s': 'many'},
        SOUND | {'burst': 1e300},
        {'name': 'keyless'},
        ['no', 'tenant'],
    ],
)
def test_odd_tenant_costs_only_itself(odd):
    """Requests with other keys are turned away, since it may hold them."""
    sound = SOUND | {'name': 'sound', 'api_keys': ['own']}
    table = RouteTable(
        decode_configuration(write_document(ROUTE, tenants=[odd, sound]))
    )
    assert table.tenants.identify(['own']).name == 'sound'
    assert table.tenants.identify(['k1']) is Denial.UNCLEAR_KEY
    assert table.find('h.example', '/a/1')


@pytest.mark.parametrize('odd', ['none', 7, {'name': 'x'}])
def test_unreadable_tenants_cost_no_route(odd):
    """Anonymous routes are served on."""
    table = RouteTable(decode_configuration(write_document(ROUTE, tenants=odd)))
    assert table.tenants.identify(['k1']) is Denial.UNCLEAR_KEY
    assert table.find('h.example', '/a/1')


@pytest.mark.parametrize(
    ('headers', 'keys'),
    [
        ((('X-Api-Key', 'k1'),), ('k1',)),
        ((('x-aPI-kEY', 'k1'),), ('k1',)),
        ((('X-Api-Key', 'k1'), ('X-API-KEY', 'k2')), ('k1', 'k2')),
        ((('X-Api-Key', ''),), ('',)),
        ((('X-Api-Key', 'cl\xc3\xa9'),), ('clé',)),
        ((('X-Api-Key', '\xff'),), ('\ufffd',)),
        ((('X-Api-Keys', 'k1'),), ()),
    ],
)
def test_keys_of_a_request(headers, keys):
    """The header may be spelled in any case."""
    codec = PlatformHeaderCodec()
    metadata = codec.read_request_metadata(headers)
    assert metadata.keys == keys
    assert 'k1' not in repr(metadata)
