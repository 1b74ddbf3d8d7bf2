"""Items of the store and the messages that nodes send about them."""

from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = [
    'HeldItem',
    'HeldItems',
    'MirrorCopyRequest',
    'MirrorItem',
    'MirrorUpdate',
]


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """An item of the store, or its removal.

    Attributes
    ----------
    key : str
        Key in the store.
    revision : int
        Packed position of the item's last change, see `Position`.
    content : bytes or None
        Value of the item; None if it has been removed.

    """

    key: str
    revision: int
    content: bytes | None


@register_message('mirror-news')
@dataclass(frozen=True, slots=True)
class MirrorUpdate:
    """Changes of the store between two positions, or a full copy.

    Attributes
    ----------
    base : int
        Packed position after which the changes begin; 0 for a full copy.
    revision : int
        Packed position up to which the changes are complete.
    items : tuple of MirrorItem
        Changed items, or all items of a full copy.
    age : float
        Seconds since the store was known to have no later revision.
    has_held : bool
        Whether held items are in the places of the store's, for a build
        without eras.

    """

    base: int
    revision: int
    items: tuple[MirrorItem, ...]
    age: float = 0
    has_held: bool = False


@register_message('mirror-query')
@dataclass(frozen=True, slots=True)
class MirrorCopyRequest:
    """Asks a peer for a full copy.

    Attributes
    ----------
    revision : int
        Packed position that the asking node has; 0 if it has none.

    """

    revision: int


@dataclass(frozen=True, slots=True)
class HeldItem:
    """An item that stays in force although a restored store lacks it.

    Attributes
    ----------
    item : MirrorItem
        The item, or its removal, of an earlier era. One of the store's era
        says that its writer has written it since.
    replaces : int
        Packed position of the restored item that is ignored; 0 if there is
        none.

    """

    item: MirrorItem
    replaces: int


@register_message('mirror-held')
@dataclass(frozen=True, slots=True)
class HeldItems:
    """All items that a node holds since the store was restored.

    Attributes
    ----------
    revision : int
        Packed position of the sender's replica, in the present era.
    known : tuple of int
        Packed positions, one for each earlier era up to which the sender
        knows the changes of it. What it does not hold of them has been
        removed or written since.
    held : tuple of HeldItem
        The items, and some that have been written since.

    """

    revision: int
    known: tuple[int, ...]
    held: tuple[HeldItem, ...]
