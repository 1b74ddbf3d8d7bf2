"""Conversion of the platform's documents and headers."""

import json

import pytest

from sesameroute.exceptions import InputError
from sesameroute.forward import AnswerMetadata, RequestMetadata
from sesameroute.mirror import MirrorItem
from sesameroute.placement import ServerLoad
from sesameroute.platform import (
    PlatformHeaderCodec,
    StoreItemDispatcher,
    encode_directory_answer,
    parse_directory_query,
)
from sesameroute.platform._documents import decode_configuration
from sesameroute.platform._entries import decode_backend
from sesameroute.ports import Answer
from sesameroute.registry import Backend, BackendState
from sesameroute.routes import RequestKind, WeightedService

ROUTE = {
    'name': 'r-1',
    'path_prefix': '/a/',
    'kind': 'safe',
    'timeout_ms': 1200,
    'target_latency_ms': 400,
    'priority': 2,
    'max_attempts': 2,
    'session_affinity': True,
    'allowed_regions': ['north'],
    'traffic_split': [
        {'service': 'one', 'weight': 90},
        {'service': 'two', 'weight': 10},
    ],
}
SERVICE = {
    'name': 'one',
    'health_path': '/health',
    'max_connections': 390,
    'protocol': 'h1',
    'tls': False,
    'cold_start_s': 3.0,
    'cold_per_s': 7.2,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
ENTRY = {
    'service': 'one',
    'address': '10.128.0.9:8080',
    'zone': 'north-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 1500,
    'sequence': 4,
    'born': 1772216211000,
}


def write_configuration(version='0000000c', **route):
    """Return a configuration document with one route."""
    return json.dumps(
        {
            'version': version,
            'services': [SERVICE],
            'limits': LIMITS,
            'virtual_hosts': [{'host': 'h.example', 'paths': [ROUTE | route]}],
        },
    ).encode()


def test_configuration_is_decoded_completely():
    """Times are converted to seconds and the version to a number."""
    configuration = decode_configuration(write_configuration())
    route = configuration.routes[0]
    assert configuration.version == 12
    assert (route.host, route.prefix, route.kind) == (
        'h.example',
        '/a/',
        RequestKind.SAFE,
    )
    assert (route.timeout, route.latency_target) == (1.2, 0.4)
    assert route.parts == (
        WeightedService('one', 90),
        WeightedService('two', 10),
    )
    assert route.homes == {'north'}
    assert configuration.limits.idle_seconds == 15
    assert configuration.services['one'].cold_rate == 7.2


def test_a_route_to_one_service_has_one_part():
    """A route without a traffic split names its service directly."""
    content = write_configuration(service='two', traffic_split=[])
    assert decode_configuration(content).routes[0].parts == (
        WeightedService('two', 1),
    )


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        write_configuration(version='xyz'),
        write_configuration().replace(b'"virtual_hosts"', b'"hosts"'),
        write_configuration()[:-2],
    ],
)
def test_invalid_configuration_is_an_error(content):
    """An error leaves the previous configuration in force."""
    with pytest.raises(InputError):
        decode_configuration(content)


@pytest.mark.parametrize('born', [0, 1772216211000, 2**63 - 1])
def test_start_times_that_messages_carry_are_valid(born):
    """Messages between nodes have integers of 64 bits."""
    content = json.dumps(ENTRY | {'born': born}).encode()
    assert decode_backend('i-1', content).incarnation == born


def test_backend_entry_is_decoded_completely():
    """The start time identifies the incarnation."""
    assert decode_backend('i-1', json.dumps(ENTRY).encode()) == Backend(
        'i-1',
        'one',
        '10.128.0.9',
        8080,
        'north-a',
        4,
        BackendState.READY,
        1.5,
        1772216211000,
    )


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'four'},
        {'slots': 0},
        {'slots': True},
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'address': ':80'},
        {'born': 'today'},
        {'born': 1.5},
        {'cold_left_ms': None},
        {'zone': 7},
    ],
)
def test_invalid_backend_entry_is_an_error(change):
    """Other programs may write entries that describe no backend server."""
    with pytest.raises(InputError):
        decode_backend('i-1', json.dumps(ENTRY | change).encode())


class RecordingReceiver:
    """Records the calls that it receives."""

    def __init__(self):
        """Start without recorded calls."""
        self.calls = []

    def __getattr__(self, name):
        """Return a function that records its call."""
        return lambda *arguments: self.calls.append((name, *arguments))


@pytest.mark.parametrize(
    ('key', 'content', 'expected_call'),
    [
        ('op/evacuate/z-1', b'{}', ('replace_evacuated', frozenset({'z-1'}))),
        ('servers/i-1', None, ('remove_backend', 'i-1')),
        ('servers/i-1', b'junk', None),
        ('op/config', b'junk', None),
        ('op/config', None, None),
        ('elsewhere', b'{}', None),
        (
            'sesameroute/members/10.0.0.1',
            b'{"ip":"10.0.0.1","zone":"z","region":"r"}',
            ('put_member', '10.0.0.1', 'z', 'r'),
        ),
        ('sesameroute/members/10.0.0.1', b'{"ip":1}', None),
    ],
)
def test_items_reach_the_receiver(key, content, expected_call):
    """Items that cannot be decoded, or have other keys, are not passed on."""
    receiver = RecordingReceiver()
    StoreItemDispatcher(receiver).dispatch(MirrorItem(key, 1, content))
    assert receiver.calls == ([expected_call] if expected_call else [])


def test_evacuated_zones_are_added_and_removed():
    """Each zone has its own key in the store."""
    receiver = RecordingReceiver()
    dispatcher = StoreItemDispatcher(receiver)
    for revision, (zone, content) in enumerate(
        [('a', b'{}'), ('b', b'{}'), ('a', None)],
    ):
        dispatcher.dispatch(
            MirrorItem(f'op/evacuate/{zone}', revision, content)
        )
    assert receiver.calls[-1] == ('replace_evacuated', frozenset({'b'}))


@pytest.mark.parametrize(
    ('headers', 'request_metadata'),
    [
        (
            (
                ('Sesameroute-Attempt-Id', 'a'),
                ('sesameroute-affinity-key', '17'),
                ('Sesameroute-Deadline-Ms', '1200'),
            ),
            RequestMetadata('a', '17', 1.2),
        ),
        ((('Sesameroute-Deadline-Ms', 'soon'),), RequestMetadata('', '', None)),
        ((('Sesameroute-Deadline-Ms', '²'),), RequestMetadata('', '', None)),
        (
            (('Sesameroute-Deadline-Ms', '9' * 400),),
            RequestMetadata('', '', None),
        ),
        (
            (('Sesameroute-Deadline-Ms', '9' * 5000),),
            RequestMetadata('', '', None),
        ),
        ((), RequestMetadata('', '', None)),
    ],
)
def test_request_metadata_is_read(headers, request_metadata):
    """The case of header names is ignored; invalid values are left out."""
    assert (
        PlatformHeaderCodec().read_request_metadata(headers) == request_metadata
    )


@pytest.mark.parametrize(
    ('status', 'headers', 'answer_metadata'),
    [
        (
            421,
            (),
            AnswerMetadata(
                '', is_not_run=True, is_misdirected=True, is_sealed=False
            ),
        ),
        (
            503,
            (('Sesameroute-Not-Run', '1'),),
            AnswerMetadata(
                '', is_not_run=True, is_misdirected=False, is_sealed=False
            ),
        ),
        (
            503,
            (),
            AnswerMetadata(
                '', is_not_run=False, is_misdirected=False, is_sealed=False
            ),
        ),
        (
            200,
            (
                ('Sesameroute-Server-Seal', 's'),
                ('Sesameroute-Attempt-Id', 'a'),
                ('Sesameroute-Server-Load', '3,2,8'),
                ('Server-Limit', '7.1'),
            ),
            AnswerMetadata(
                'a',
                is_not_run=False,
                is_misdirected=False,
                is_sealed=True,
                queue_length=2,
                request_limit=7.1,
            ),
        ),
        (
            503,
            (('Sesameroute-Not-Run', '1'), ('server-leaving', ' 1 ')),
            AnswerMetadata(
                '',
                is_not_run=True,
                is_misdirected=False,
                is_sealed=False,
                is_leaving=True,
            ),
        ),
    ],
)
def test_answer_metadata_is_read(status, headers, answer_metadata):
    """A status of 503 alone doesn't show that the request has not run."""
    assert (
        PlatformHeaderCodec().read_answer_metadata(Answer(status, headers))
        == answer_metadata
    )


@pytest.mark.parametrize('waiting', ['', '-1', '²', '9' * 400, '9' * 5000])
def test_odd_load_header_is_left_out(waiting):
    """A digit that `int` refuses, or too many, raised an error."""
    headers = (('Sesameroute-Server-Load', f'3,{waiting},8'),)
    answer_metadata = PlatformHeaderCodec().read_answer_metadata(
        Answer(200, headers)
    )
    assert answer_metadata.queue_length == -1


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,2,8', ServerLoad(3, 2, 8)),
        ('3, 2, 8, 250', ServerLoad(3, 2, 8, 2.5)),
        ('3,2,8,0', ServerLoad(3, 2, 8)),
        ('3,2,8,nan', ServerLoad(3, 2, 8)),
        ('3,2,8,', ServerLoad(3, 2, 8)),
        ('3,2,8,1000000000', ServerLoad(3, 2, 8, 1e7)),
        ('3,2,8,100,5', None),
        ('3,2', None),
        ('3,-2,8,100', None),
    ],
)
def test_load_header_may_have_a_pace(text, load):
    """A pace that is not valid costs only itself."""
    headers = (('Sesameroute-Server-Load', text),)
    answer_metadata = PlatformHeaderCodec().read_answer_metadata(
        Answer(200, headers)
    )
    assert answer_metadata.load == load
    assert answer_metadata.queue_length == (load.waiting if load else -1)


@pytest.mark.parametrize(
    'text', ['', '0', '01', '-1', '1.0', '1, 1', 'true', 'yes', '1;', '²', '１']
)
def test_unreadable_word_of_leaving_does_not_count(text):
    """Only `1` says that a backend server leaves."""
    answer = Answer(200, (('Server-Leaving', text),))
    metadata = PlatformHeaderCodec().read_answer_metadata(answer)
    assert not metadata.is_leaving


def test_headers_to_a_backend_server():
    """They state the remaining time and the backend server's name."""
    header_codec = PlatformHeaderCodec()
    assert header_codec.build_backend_headers(0.7504, 'i-1') == (
        ('Sesameroute-Deadline-Ms', '750'),
        ('Sesameroute-Expect-Instance', 'i-1'),
    )
    assert header_codec.is_replaced_per_hop('sesameroute-deadline-ms')
    assert not header_codec.is_replaced_per_hop('Sesameroute-Attempt-Id')


def test_directory_messages():
    """The directory's query is parsed and its answer encoded."""
    query = 'name=h.example&region=north&zone=north-a'
    assert parse_directory_query(query) == ('north', 'north-a')
    assert parse_directory_query('') == ('', '')
    assert json.loads(encode_directory_answer(['10.0.0.1:80'], 2)) == {
        'addresses': ['10.0.0.1:80'],
        'ttl_s': 2,
    }
