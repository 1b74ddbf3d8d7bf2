"""Bodies of the store's answers."""

import base64
import binascii
from typing import TypeVar

import msgspec

from sesameroute.exceptions import StoreUnknownError
from sesameroute.mirror import MirrorItem

__all__ = [
    'Changes',
    'Leased',
    'Page',
    'Written',
    'convert_item',
    'decode_answer',
]

Body = TypeVar('Body')


class Item(msgspec.Struct):
    """An item, or a removal if `deleted`."""

    key: str
    # Revision of the item's last change, not of the store.
    revision: int
    value: str = ''
    deleted: bool = False


class Page(msgspec.Struct):
    """One page of items; pages are not a snapshot."""

    items: list[Item]
    # Revision of the whole store as the page was read.
    current_rev: int
    has_more: bool = False


class Changes(msgspec.Struct):
    """Events of a watch; continue from `current_rev`."""

    events: list[Item]
    current_rev: int


class Leased(msgspec.Struct):
    """A lease that was granted."""

    # Identifier of the lease.
    lease: int
    ttl_ms: float


class Written(msgspec.Struct):
    """A transaction that took effect."""

    revision: int


def decode_answer(content: bytes, body: type[Body]) -> Body:
    """Return the body of an answer; raise StoreUnknownError."""
    try:
        return msgspec.json.decode(content, type=body)
    except msgspec.MsgspecError as error:
        raise StoreUnknownError(f'store sent no valid body: {error}') from error


def convert_item(wire: Item) -> MirrorItem:
    """Return the product's item."""
    if wire.deleted:
        return MirrorItem(wire.key, wire.revision, None)
    try:
        content = base64.b64decode(wire.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise StoreUnknownError(f'{wire.key} is not base64: {error}') from error
    return MirrorItem(wire.key, wire.revision, content)
