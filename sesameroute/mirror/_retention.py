"""Decides what stays in force when the store is restored from a copy.

A copy is some seconds old. What was written since is lost in the store, but
nodes have acted on it: a configuration, an evacuation or a server that leaves
must not be undone by an older item, nor by its absence. It stays in force until
its writer writes again, which shows in the new era.
"""

from typing import Protocol

from sesameroute.mirror._messages import MirrorItem
from sesameroute.mirror._position import Position

__all__ = [
    'DocumentOrder',
    'UnorderedDocuments',
    'is_repeated',
    'is_still_in_force',
]


class DocumentOrder(Protocol):
    """What documents tell of the order in which they were written."""

    def read_stamp(self, document: MirrorItem) -> tuple[int, ...] | None:
        """Return a stamp that rises with each write of the document's key.

        None if the document has none.
        """

    def is_durable(self, key: str) -> bool:
        """Whether an item outlives a restore without it."""


class UnorderedDocuments:
    """Documents without stamps; none outlives a restore without it."""

    def read_stamp(self, _document: MirrorItem) -> None:
        """Return no stamp."""

    def is_durable(self, _key: str) -> bool:
        """Return False."""
        return False


def is_still_in_force(
    known: MirrorItem,
    offered: MirrorItem | None,
    last: MirrorItem | None,
    order: DocumentOrder,
) -> bool:
    """Return whether a known item stays in force after a restore.

    Parameters
    ----------
    known : MirrorItem
        The item, or its removal, as known from the era before.
    offered : MirrorItem or None
        The item in the restored store.
    last : MirrorItem or None
        The item before its removal, if `known` is a removal.
    order : DocumentOrder
        Reads the stamps of the documents.

    """
    if offered is None:
        return known.content is not None and order.is_durable(known.key)
    if known.content is not None:
        return known.content != offered.content and _is_overtaken(
            offered, known, order
        )
    return last is not None and _is_removed(offered, last, order)


def is_repeated(
    held: MirrorItem, written: MirrorItem, order: DocumentOrder
) -> bool:
    """Return whether a write only repeats what came before a held item.

    The operator may write all again that was lost, the oldest first.
    """
    if None in {held.content, written.content}:
        return False
    stamps = order.read_stamp(written), order.read_stamp(held)
    return (
        order.is_durable(held.key)
        and None not in stamps
        and stamps[0] < stamps[1]
    )


def _is_overtaken(
    offered: MirrorItem, known: MirrorItem, order: DocumentOrder
) -> bool:
    """Whether the restored item was written before the known one."""
    stamps = order.read_stamp(offered), order.read_stamp(known)
    if None in stamps:
        return False
    # Equal stamps: the copy has the lower revision.
    return (stamps[0], _read_revision(offered)) < (
        stamps[1],
        _read_revision(known),
    )


def _is_removed(
    offered: MirrorItem, last: MirrorItem, order: DocumentOrder
) -> bool:
    """Whether the restored item is the removed one or an earlier one."""
    stamps = order.read_stamp(offered), order.read_stamp(last)
    if None in stamps:
        return _read_revision(offered) == _read_revision(last)
    return stamps[0] <= stamps[1]


def _read_revision(item: MirrorItem) -> int:
    return Position.unpack(item.revision).revision
