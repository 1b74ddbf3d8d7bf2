"""Encoding of messages between peers: data classes with a tag."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

import msgspec

from sesameroute.exceptions import InputError, describe_error

__all__ = ['decode_message', 'encode_message', 'register_message']

MessageType = TypeVar('MessageType', bound=type)

_NATIVE_TYPES = (bytes,)  # Types that msgpack encodes without a conversion.
_ENCODING_ERRORS = (OverflowError, RecursionError, TypeError, ValueError)
_DECODING_ERRORS = (KeyError, RecursionError, TypeError, ValueError)
_CLASSES_BY_TAG: dict[str, type] = {}  # noqa: WPS407


def register_message(
    tag: str,
    *,
    is_nonblocking: bool = False,
) -> Callable[[MessageType], MessageType]:
    """Return a decorator that registers a data class as a message.

    Parameters
    ----------
    tag : str
        Identifies the class in encoded messages.
    is_nonblocking : bool
        Whether the handler of the message never blocks. Calls with it then
        run on the thread that reads the stream instead of on a worker
        thread. Messages without a reply always run there.

    """

    def decorate(cls: MessageType) -> MessageType:
        cls.wire_tag = tag
        cls.is_nonblocking = is_nonblocking
        _CLASSES_BY_TAG[tag] = cls
        return cls

    return decorate


def encode_message(message: Any) -> list[Any]:
    """Return the tag and the fields of a message, ready for msgpack."""
    try:
        fields = msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES)
    except _ENCODING_ERRORS:  # the frame can't be packed, and tells why
        fields = asdict(message)
    return [message.wire_tag, fields]


def decode_message(parts: Any) -> Any:
    """Return the message from the output of `encode_message`.

    Raises
    ------
    InputError
        The tag is unknown or a field has the wrong type.

    """
    try:
        tag, fields = parts
        return msgspec.convert(
            fields, _CLASSES_BY_TAG[tag], builtin_types=_NATIVE_TYPES
        )
    except _DECODING_ERRORS as error:
        raise InputError(
            f'peer message is not valid: {describe_error(error)}'
        ) from error
