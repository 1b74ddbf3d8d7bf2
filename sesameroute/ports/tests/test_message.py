"""Messages survive the wire and bad ones are refused."""

from dataclasses import dataclass

import msgpack
import pytest

from sesameroute.exceptions import InputError
from sesameroute.ports import (
    decode_message,
    encode_message,
    register_message,
)


@register_message('test-echo')
@dataclass(frozen=True, slots=True)
class Echo:
    """A message with a nested tuple."""

    text: str
    pairs: tuple[tuple[str, int], ...] = ()


def test_message_round_trip():
    """A message comes back equal from msgpack."""
    sent = Echo('a', (('b', 1),))
    packed = msgpack.packb(encode_message(sent))
    assert decode_message(msgpack.unpackb(packed)) == sent


@pytest.mark.parametrize(
    'parts',
    [
        None,
        [],
        ['unknown', {}],
        ['test-echo', {}],
        ['test-echo', {'text': 1}],
        ['test-echo', {'text': 'a', 'pairs': [['b']]}],
        [['list'], {}],
    ],
)
def test_message_garbage(parts):
    """Anything else raises InputError and nothing more."""
    with pytest.raises(InputError):
        decode_message(parts)
