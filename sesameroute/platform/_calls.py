"""JSON bodies of the store's answers."""

import base64
import binascii
from typing import TypeVar

import msgspec

from sesameroute.exceptions import StoreOutcomeUnknownError
from sesameroute.mirror import MirrorItem

__all__ = [
    'LeaseAnswer',
    'Page',
    'TransactionAnswer',
    'WatchAnswer',
    'convert_item',
    'decode_answer',
]

AnswerBody = TypeVar('AnswerBody')


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

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class Page(msgspec.Struct):
    """One page of a listing; items may change between two pages.

    Attributes
    ----------
    current_rev : int
        Revision of the whole store when the page was read.
    has_more : bool
        Whether another page follows.

    """

    items: list[Item]
    current_rev: int
    has_more: bool = False


class WatchAnswer(msgspec.Struct):
    """Changes returned by a watch call.

    Attributes
    ----------
    events : list of Item
        Changed and removed items.
    current_rev : int
        Revision after which the next watch call continues.

    """

    events: list[Item]
    current_rev: int


class LeaseAnswer(msgspec.Struct):
    """A new lease.

    Attributes
    ----------
    lease : int
        Identifier of the lease.
    ttl_ms : float
        Time in milliseconds after which it ends unless it is renewed.

    """

    lease: int
    ttl_ms: float


class TransactionAnswer(msgspec.Struct):
    """A transaction that took effect.

    Attributes
    ----------
    revision : int
        Revision of the store after the transaction.

    """

    revision: int


def decode_answer(content: bytes, body: type[AnswerBody]) -> AnswerBody:
    """Return the decoded body of an answer.

    Parameters
    ----------
    content : bytes
        The body as received.
    body : type
        Type to decode it to.

    Raises
    ------
    StoreOutcomeUnknownError
        The body is not valid JSON of this type.

    """
    try:
        return msgspec.json.decode(content, type=body)
    except msgspec.MsgspecError as error:
        raise StoreOutcomeUnknownError(
            f'store sent no valid body: {error}'
        ) from error


def convert_item(item: Item) -> MirrorItem:
    """Return the item as the mirror stores it.

    Raises
    ------
    StoreOutcomeUnknownError
        The value is not valid base64.

    """
    if item.deleted:
        return MirrorItem(item.key, item.revision, None)
    try:
        content = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise StoreOutcomeUnknownError(
            f'value of {item.key} is not valid base64: {error}'
        ) from error
    return MirrorItem(item.key, item.revision, content)
