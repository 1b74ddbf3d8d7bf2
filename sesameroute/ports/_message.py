"""Messages between peers: tagged data classes."""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any, TypeVar

import msgspec

from sesameroute.exceptions import InputError

__all__ = ['decode_message', 'encode_message', 'register_message']

MessageType = TypeVar('MessageType', bound=type)

_NATIVE = (bytes,)  # msgpack carries them as they are
_CLASSES: dict[str, type] = {}  # noqa: WPS407


def register_message(
    tag: str,
    *,
    quick: bool = False,
) -> Callable[[MessageType], MessageType]:
    """Return a decorator that gives a frozen data class its wire tag.

    Parameters
    ----------
    quick : bool
        Its handler never blocks, so that calls with it run on the stream's
        own thread instead of a worker's. Casts always run there.

    """

    def decorate(cls: MessageType) -> MessageType:
        cls.wire_tag = tag
        cls.is_quick = quick
        _CLASSES[tag] = cls
        return cls

    return decorate


def encode_message(message: Any) -> list[Any]:
    """Return the tag and the fields of a message for msgpack."""
    return [message.wire_tag, asdict(message)]


def decode_message(parts: Any) -> Any:
    """Return the message that `encode_message` took apart.

    Raises
    ------
    InputError
        The tag is unknown or a field has the wrong type.

    """
    try:
        tag, fields = parts
        return msgspec.convert(fields, _CLASSES[tag], builtin_types=_NATIVE)
    except (KeyError, TypeError, ValueError) as error:
        raise InputError(f'peer message is not valid: {error}') from error
