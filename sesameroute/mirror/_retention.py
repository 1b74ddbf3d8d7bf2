"""Decides what stays in force when the store is restored from a copy.

A copy is some seconds old. What was written since is lost in the store, but
nodes have acted on it: a configuration, an evacuation or a server that leaves
must not be undone by an older item, nor by its absence. It stays in force until
its writer writes again, which shows in the new era.
"""

from typing import Protocol

from sesameroute.mirror._messages import HeldItem, MirrorItem
from sesameroute.mirror._position import find_revision

__all__ = [
    'DocumentOrder',
    'UnorderedDocuments',
    'has_ended',
    'is_later',
    'is_still_in_force',
]


class DocumentOrder(Protocol):
    """What documents tell of the order in which they were written."""

    def read_stamp(self, document: MirrorItem) -> tuple[int, ...] | None:
        """Return a stamp that rises with each write of the document's key.

        Its last number counts the writes of one writer. None if the document
        has no stamp.
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
    past: tuple[MirrorItem, ...],
    order: DocumentOrder,
) -> bool:
    """Return whether a known item stays in force after a restore.

    Parameters
    ----------
    known : MirrorItem
        The item, or its removal, as known from the era before.
    offered : MirrorItem or None
        The item in the restored store.
    past : tuple of MirrorItem
        The items before its removal, if `known` is a removal, the last one
        at the end.
    order : DocumentOrder
        Reads the stamps of the documents.

    """
    if offered is None:
        return known.content is not None and order.is_durable(known.key)
    if known.content is not None:
        return known.content != offered.content and _is_overtaken(
            offered, known, order
        )
    return bool(past) and _is_removed(offered, past, order)


def is_later(one: MirrorItem, other: MirrorItem, order: DocumentOrder) -> bool:
    """Return whether an item was written after another one of its key.

    The position decides only without stamps: after a restore, an earlier
    document may be written again in a later era.
    """
    stamps = order.read_stamp(one), order.read_stamp(other)
    if None in stamps or stamps[0] == stamps[1]:
        return one.revision > other.revision
    return stamps[0] > stamps[1]


def has_ended(
    held: HeldItem, written: MirrorItem, order: DocumentOrder
) -> bool:
    """Return whether a write in the present era ends what is held.

    A writer may write all again that was lost, the oldest first. Only the
    count of its writes tells that, the last number of a stamp.
    """
    if written.revision <= held.replaces:
        return False
    stamps = order.read_stamp(written), order.read_stamp(held.item)
    if None in stamps:
        return True
    (*writer, count), (*held_writer, held_count) = stamps
    return writer != held_writer or count >= held_count


def _is_overtaken(
    offered: MirrorItem, known: MirrorItem, order: DocumentOrder
) -> bool:
    """Whether the restored item was written before the known one."""
    stamps = order.read_stamp(offered), order.read_stamp(known)
    if None in stamps:
        return False
    # Equal stamps: the copy has the lower revision.
    return (stamps[0], find_revision(offered.revision)) < (
        stamps[1],
        find_revision(known.revision),
    )


def _is_removed(
    offered: MirrorItem, past: tuple[MirrorItem, ...], order: DocumentOrder
) -> bool:
    """Whether the restored item is one of those before the removal."""
    stamps = order.read_stamp(offered), order.read_stamp(past[-1])
    if None in stamps:
        return find_revision(offered.revision) in {
            find_revision(item.revision) for item in past
        }
    return stamps[0] <= stamps[1]
