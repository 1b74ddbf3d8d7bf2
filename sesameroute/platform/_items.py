"""Items of the store as they are listed in its answers."""

import base64
import binascii
from collections.abc import Iterable, Iterator

import msgspec

from sesameroute.exceptions import InputError, describe_error
from sesameroute.mirror import MirrorItem
from sesameroute.platform._field_types import MAX_ENTRY_BYTES, Key, Revision
from sesameroute.platform._ignored_items import IgnoredItems
from sesameroute.platform._names import CONFIGURATION_KEY

__all__ = ['InvalidItem', 'Item', 'convert_items', 'decode_item']

_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)


class Item(msgspec.Struct):
    """An item of the store, or its removal.

    Attributes
    ----------
    revision : int
        Revision of the item's last change; the store may be at a later one.
    value : str
        Content in base64.
    deleted : bool
        Whether the item has been removed.

    """

    key: Key
    revision: Revision
    value: str = ''
    deleted: bool = False


class InvalidItem(msgspec.Struct):
    """An item that can't be decoded; `key` is empty if it is unknown."""

    key: str = ''
    why: str = ''


class _KeyedItem(msgspec.Struct):
    key: str = ''


def convert_items(
    items: Iterable[Item | InvalidItem], ignored_items: IgnoredItems
) -> Iterator[MirrorItem]:
    """Yield the items as the mirror stores them; record the invalid ones."""
    for item in items:
        try:
            yield _convert_item(item)
        except InputError as error:
            ignored_items.record(item.key, error)


def decode_item(raw: msgspec.Raw) -> Item | InvalidItem:
    """Return the item, or an `InvalidItem` if it can't be decoded."""
    try:
        return msgspec.json.decode(raw, type=Item)
    except _DECODING_ERRORS as error:
        return InvalidItem(_find_key(raw), describe_error(error))


def _find_key(raw: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(raw, type=_KeyedItem).key
    except _DECODING_ERRORS:
        return ''


def _convert_item(item: Item | InvalidItem) -> MirrorItem:
    if isinstance(item, InvalidItem):
        raise InputError(f'item is not valid: {item.why}')
    if item.deleted:
        return MirrorItem(item.key, item.revision, None)
    try:
        content = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise InputError(f'value is not valid base64: {error}') from error
    if len(content) > MAX_ENTRY_BYTES and item.key != CONFIGURATION_KEY:
        raise InputError(
            f'value has {len(content)} bytes, allowed: {MAX_ENTRY_BYTES}'
        )
    return MirrorItem(item.key, item.revision, content)
