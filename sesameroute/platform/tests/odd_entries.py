"""Entries that no node can use, as another writer may leave them."""

import base64
import json

DEEP = b'{"a":' * 10_000
NO_TEXT = b'\xff\xfe\x00{'
BACKEND = {
    'service': 's',
    'address': '127.0.0.1:9',
    'zone': 'north-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'sequence': 4,
    'born': 1772216211000,
}
MEMBER = {'ip': '10.0.0.1', 'zone': 'north-a', 'region': 'north'}
CONFIGURATION = {
    'version': '0000000c',
    'services': [
        {
            'name': 's',
            'health_path': '/health',
            'max_connections': 99,
            'cold_start_s': 3.0,
            'cold_per_s': 7.0,
        },
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1048576,
        'header_timeout_ms': 1000,
        'idle_timeout_ms': 5000,
    },
    'virtual_hosts': [],
}
MAX_LINE_CHARACTERS = 700
# Stands for an integer that Python refuses to convert from text.
DIGITS = '@digits'

_LONG = 'x' * 30_000
_NUMBERS = [10**400, DIGITS, -1, 1e300, 1.5, True, None, '4', [], {}]
_TEXTS = [7, None, [], '', _LONG]
_ADDRESSES = [
    'nowhere',
    ':80',
    '127.0.0.1',
    '127.0.0.1:',
    'host.example:80',
    '127.0.0.1:²',
    f'{"a" * 70}:80',
    *(
        f'127.0.0.1:{port}'
        for port in ('0', '-1', '+80', '8_0', '65536', '99999', '9' * 5000)
    ),
]
_BACKEND_VALUES = {
    'service': _TEXTS,
    'address': [*_TEXTS, *_ADDRESSES],
    'zone': _TEXTS,
    'slots': [*_NUMBERS, 0, 10**9],
    'state': [*_TEXTS, 'asleep'],
    'cold_left_ms': [10**400, DIGITS, 1e300, None, '4', []],
    'sequence': _NUMBERS,
    'born': [*_NUMBERS, 2**63, 2**64],
}
_MEMBER_VALUES = {
    'ip': [*_TEXTS, 'nowhere', 'a' * 70, '10.0.0.1:80', '10.0.0.256'],
    'zone': _TEXTS,
    'region': _TEXTS,
}
_LIMIT_VALUES = [10**400, DIGITS, 1e300, -1, None, 'many']
_SERVICE_VALUES = {'name': _TEXTS, 'cold_per_s': [1e300, DIGITS, -1]}


def write_json(document):
    """Return the JSON of a document; `DIGITS` become 5,000 digits."""
    text = json.dumps(document)
    return text.replace(f'"{DIGITS}"', '9' * 5000).encode()


def write_item(key, content, revision=5):
    """Return an item as the store writes it."""
    return {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'revision': revision,
        'created': 1,
        'lease': 0,
    }


def list_lines(log):
    """Return the lines of a log; each must be short."""
    lines = log.getvalue().splitlines()
    assert all(len(line) < MAX_LINE_CHARACTERS for line in lines)
    return lines


def list_odd_backends():
    """Yield contents of entries that name no backend server to use."""
    yield from _list_changed(BACKEND, _BACKEND_VALUES)
    for name in BACKEND.keys() - {'version', 'born'}:
        yield write_json({key: BACKEND[key] for key in BACKEND if key != name})
    yield from _list_junk(BACKEND)


def list_odd_members():
    """Yield contents of entries that name no node."""
    yield from _list_changed(MEMBER, _MEMBER_VALUES)
    yield from _list_junk(MEMBER)


def list_odd_configurations():
    """Yield contents that are no configuration."""
    versions = ['xyz', '', '-1', '0_1', ' 1', 'f' * 200_000, 12]
    yield from _list_changed(CONFIGURATION, {'version': versions})
    yield from _list_junk(CONFIGURATION)


def list_configurations_with_odd_parts():
    """Yield contents of which one part can't be read."""
    limits = CONFIGURATION['limits']
    for content in _list_changed(limits, dict.fromkeys(limits, _LIMIT_VALUES)):
        yield write_json(CONFIGURATION).replace(write_json(limits), content)
    service = CONFIGURATION['services'][0]
    for content in _list_changed(service, _SERVICE_VALUES):
        yield write_json(CONFIGURATION).replace(write_json(service), content)


def _list_changed(document, values):
    for name, odd_values in values.items():
        for odd_value in odd_values:
            yield write_json(document | {name: odd_value})


def _list_junk(document):
    yield b''
    yield b'[]'
    yield b'null'
    yield DEEP
    yield NO_TEXT
    yield write_json(document)[:-1]
    yield b''.join((write_json(document)[:-1], b',"more":', DEEP))
    yield write_json(_LONG)[:-1]
