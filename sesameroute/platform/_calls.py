"""JSON bodies of the store's answers."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, TypeVar

import msgspec

from sesameroute.exceptions import StoreOutcomeUnknownError, describe_error
from sesameroute.platform._field_types import Revision
from sesameroute.platform._items import Item, decode_item

__all__ = [
    'LeaseAnswer',
    'Page',
    'TransactionAnswer',
    'WatchAnswer',
    'decode_answer',
]

AnswerBody = TypeVar('AnswerBody')

_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError)


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
    current_rev: Revision
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
    current_rev: Revision


class _RawPage(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: Revision
    has_more: bool = False


class _RawWatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: Revision


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

    An item that can't be decoded becomes an `InvalidItem`.

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
        return _decode_body(content, body)
    except _DECODING_ERRORS as error:
        raise StoreOutcomeUnknownError(
            f'store sent no valid body: {describe_error(error)}'
        ) from error


def _decode_body(content: bytes, body: type[AnswerBody]) -> AnswerBody:
    """Decode a body, item by item if one of them is not valid."""
    try:
        return msgspec.json.decode(content, type=body)
    except msgspec.MsgspecError:
        if body not in _ITEMWISE_DECODERS:
            raise
    return _ITEMWISE_DECODERS[body](content)


def _decode_page(content: bytes) -> Page:
    page = msgspec.json.decode(content, type=_RawPage)
    items = [decode_item(each) for each in page.items]
    # The next page begins after the key of the last item.
    items.sort(key=lambda item: (isinstance(item, Item), item.key))
    if page.has_more and not items[-1].key:
        raise msgspec.ValidationError('no item of the page has a key')
    return Page(items, page.current_rev, page.has_more)


def _decode_watch_answer(content: bytes) -> WatchAnswer:
    answer = msgspec.json.decode(content, type=_RawWatchAnswer)
    events = [decode_item(each) for each in answer.events]
    return WatchAnswer(events, answer.current_rev)


_ITEMWISE_DECODERS: Mapping[type, Callable[[bytes], Any]] = MappingProxyType(
    {Page: _decode_page, WatchAnswer: _decode_watch_answer}
)
