"""Tests of frames with values that msgpack can't carry."""

import pytest

from sesameroute.adapters._peer_frames import (
    Frame,
    FrameKind,
    pack_frame,
    unpack_frame,
)
from sesameroute.exceptions import PeerError


def nest(depth):
    """Return a list nested to this depth."""
    nested = []
    for _ in range(depth):
        nested = [nested]
    return nested


@pytest.mark.parametrize(
    'content',
    [
        pytest.param(2**64, id='65 bits'),
        pytest.param(-(2**63) - 1, id='negative'),
        pytest.param(10**400, id='400 digits'),
        pytest.param(10**5000, id='5000 digits'),
        pytest.param({'born': [10**400]}, id='inner'),
        pytest.param(nest(5000), id='nested'),
        pytest.param('\ud800', id='surrogate'),
        pytest.param(object(), id='object'),
        pytest.param({1, 2}, id='set'),
        pytest.param(b'z' * 3_000_000, id='long'),
    ],
)
def test_unencodable_frame_is_a_peer_error(content):
    """Another error ended the threads that read the streams."""
    with pytest.raises(PeerError) as caught:
        pack_frame(Frame(FrameKind.ONE_WAY, 0, content))
    assert len(caught.value.message) < 300


@pytest.mark.parametrize(
    'content',
    [2**64 - 1, -(2**63), 1e308, pytest.param(nest(300), id='nested')],
)
def test_largest_values_are_carried(content):
    """Values in range arrive unchanged."""
    frame = Frame(FrameKind.CALL, 1, content)
    assert unpack_frame(pack_frame(frame)) == frame


@pytest.mark.parametrize(
    ('content', 'max_bytes'),
    [
        ([f'10.1.{number}.34' for number in range(140)], 700),
        ([[f'servers/{each}', b'{"zone":"a"}'] for each in range(30)], 300),
        ('short', 9),
    ],
)
def test_lists_take_little_of_a_narrow_link(content, max_bytes):
    """Lists of 140 nodes were most of the bytes between regions."""
    packed = pack_frame(Frame(FrameKind.ONE_WAY, 0, content))
    assert len(packed) <= max_bytes
    assert unpack_frame(packed).content == content
