"""A part of a configuration that is not understood costs only itself."""

import json

import pytest

from sesameroute.mirror import MirrorItem
from sesameroute.platform import StoreItemDispatcher
from sesameroute.platform._documents import decode_configuration
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform.tests.test_documents import (
    LIMITS,
    ROUTE,
    SERVICE,
    RecordingReceiver,
)
from sesameroute.routes import RequestKind, RouteTable

SOUND = ROUTE | {'name': 'sound', 'path_prefix': '/sound/'}
MISSING = object()


def write(*routes, **fields):
    """Return a document with routes of one host beside a sound host."""
    document = {
        'version': '0000000c',
        'services': [SERVICE],
        'limits': LIMITS,
        'virtual_hosts': [
            {'host': 'h.example', 'paths': list(routes)},
            {'host': 'sound.example', 'paths': [SOUND]},
        ],
    }
    return json.dumps(document | fields).encode()


def change(table, **fields):
    """Return a table with changed fields, without the missing ones."""
    return {
        name: value
        for name, value in (table | fields).items()
        if value is not MISSING
    }


@pytest.mark.parametrize(
    'fields',
    [
        {'kind': 'stream'},
        {'kind': 7},
        {'timeout_ms': -1},
        {'timeout_ms': 'soon'},
        {'timeout_ms': MISSING},
        {'priority': -1},
        {'max_attempts': 1.5},
        {'traffic_split': []},
        {'traffic_split': [{'service': 'one'}]},
        {'allowed_regions': [7]},
        {'name': MISSING},
        {'service': 'lame', 'traffic_split': []},
    ],
)
def test_odd_route_costs_only_itself(fields):
    """Its requests are not refused for good; those of others are served."""
    lame = change(SERVICE, name='lame', health_path=MISSING)
    content = write(change(ROUTE, **fields), SOUND, services=[SERVICE, lame])
    configuration = decode_configuration(content)
    table = RouteTable(configuration)
    assert table.find('h.example', '/a/1') is None
    assert table.may_have_route('h.example', '/a/1')
    assert table.find('h.example', '/sound/1').name == 'sound'
    assert not table.may_have_route('h.example', '/elsewhere/1')
    assert not table.may_have_route('other.example', '/a/1')


@pytest.mark.parametrize(
    ('host', 'unclear_hosts'),
    [
        ({'host': 'h.example', 'paths': 'none'}, ['h.example']),
        ({'host': 'h.example'}, ['h.example']),
        ({'host': 7, 'paths': []}, ['h.example', 'any.example']),
        ('text', ['h.example', 'any.example']),
    ],
)
def test_odd_host_costs_only_itself(host, unclear_hosts):
    """Without a readable name it may be any host that has no route."""
    sound = {'host': 'sound.example', 'paths': [SOUND]}
    table = RouteTable(decode_configuration(write(virtual_hosts=[host, sound])))
    assert table.find('sound.example', '/sound/').name == 'sound'
    for name in ('h.example', 'any.example'):
        assert table.may_have_route(name, '/x/') == (name in unclear_hosts)


def test_odd_prefix_leaves_the_routes_of_its_host():
    """Paths without a route may belong to it."""
    table = RouteTable(
        decode_configuration(write(change(ROUTE, path_prefix=7), SOUND))
    )
    assert table.find('h.example', '/sound/1').name == 'sound'
    assert table.may_have_route('h.example', '/a/1')


def test_odd_route_hides_shorter_prefixes():
    """A request of the odd route must not run by the rules of another one."""
    inner = change(ROUTE, path_prefix='/sound/inner/', kind='stream')
    table = RouteTable(decode_configuration(write(inner, SOUND)))
    assert table.find('h.example', '/sound/inner/1') is None
    assert table.may_have_route('h.example', '/sound/inner/1')
    assert table.find('h.example', '/sound/1').name == 'sound'


@pytest.mark.parametrize(
    'fields',
    [{'limits': LIMITS | {'idle_timeout_ms': 0}}, {'limits': None}],
)
def test_odd_limits_leave_the_routes(fields):
    """The usual limits hold instead."""
    configuration = decode_configuration(write(**fields))
    assert [part.where for part in configuration.unreadable] == ['limits']
    assert configuration.limits.idle_seconds == 15
    assert configuration.routes


def test_nameless_service_may_be_any_that_is_not_defined():
    """Routes to services that are defined stay in force."""
    content = write(
        change(SOUND, service='three', traffic_split=[]),
        change(ROUTE, service='one', traffic_split=[]),
        services=[SERVICE, {'name': 7}],
    )
    table = RouteTable(decode_configuration(content))
    assert table.find('h.example', '/sound/1') is None
    assert table.find('h.example', '/a/1').parts[0].service == 'one'


def test_each_odd_part_is_counted():
    """An operator sees how many there are, and by the log which."""
    counted = []
    ignored_items = IgnoredItems()
    ignored_items.observer_ = counted.append
    receiver = RecordingReceiver()
    content = write(change(ROUTE, kind='stream'), change(ROUTE, kind='x'))
    StoreItemDispatcher(receiver, ignored_items).dispatch(
        MirrorItem('op/config', 1, content)
    )
    assert counted == ['part', 'part']
    assert receiver.calls[0][0] == 'put_configuration'


def test_uploads_run_once_at_most():
    """What has a large body is never sent a second time."""
    assert not RequestKind('upload').is_idempotent
    assert not RequestKind('unsafe').is_idempotent


def test_the_example_of_the_users_is_read_whole():
    """Nothing of the present pages is an odd part."""
    content = write(change(ROUTE, kind='upload'), tenants=[])
    assert decode_configuration(content).unreadable == ()
