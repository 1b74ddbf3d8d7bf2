"""Tests of encoding and decoding of messages between peers."""

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
class EchoMessage:
    """A message with a nested tuple."""

    text: str
    pairs: tuple[tuple[str, int], ...] = ()


def test_encoded_message_decodes_to_equal():
    """A message is unchanged after a round trip through msgpack."""
    sent = EchoMessage('a', (('b', 1),))
    packed = msgpack.packb(encode_message(sent))
    assert decode_message(msgpack.unpackb(packed)) == sent


@pytest.mark.parametrize('content', [1 << 80, object(), [{1, object()}]])
def test_message_that_cannot_be_encoded_fails_with_its_frame(content):
    """The sender of a message is no place for errors of the encoding."""
    encoded = encode_message(EchoMessage(content))
    with pytest.raises((OverflowError, TypeError)):
        msgpack.packb(encoded)


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
def test_invalid_message_raises_input_error(parts):
    """Invalid input raises InputError, never another exception."""
    with pytest.raises(InputError):
        decode_message(parts)
