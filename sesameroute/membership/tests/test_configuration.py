"""Tests of the configuration as it is kept in the store."""

import json

import pytest

from sesameroute.exceptions import InputError
from sesameroute.membership import Digest, decode_configuration
from sesameroute.ports import encode_message


def write_json(**changes):
    """Return a stored configuration."""
    fields = {'version': 3, 'submission': 's', 'text': '[institution]'}
    return json.dumps(fields | changes).encode()


@pytest.mark.parametrize(
    'content',
    [
        pytest.param(write_json(version=10**400), id='400 digits'),
        pytest.param(write_json(version=2**63), id='64 bits'),
        pytest.param(write_json(version=-1), id='negative'),
        pytest.param(write_json(version='x' * 9000), id='text'),
        pytest.param(write_json(recent=[[]]), id='type'),
        pytest.param(b'{"a":' * 50_000, id='deep'),
        pytest.param(b'\xff', id='bytes'),
    ],
)
def test_odd_configuration_is_not_valid(content):
    """No heartbeat can carry a version of more than 64 bits."""
    with pytest.raises(InputError):
        decode_configuration(content)


def test_largest_version_is_carried():
    """Heartbeats name the version in force."""
    version = decode_configuration(write_json(version=2**63 - 1)).version
    assert encode_message(Digest('vm', 'i', version))[1]['version'] == version
