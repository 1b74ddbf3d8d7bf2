"""Copies of and for peers of builds that know neither eras nor held items."""

from collections.abc import Iterable
from dataclasses import replace

from sesameroute.mirror._messages import HeldItem, HeldItems, MirrorUpdate
from sesameroute.mirror._mirror import Mirror
from sesameroute.mirror._position import Position, find_era

__all__ = ['find_later_documents', 'put_held']


def find_later_documents(mirror: Mirror, copy: MirrorUpdate) -> HeldItems:
    """Return the items of a copy that a replica should hold.

    Parameters
    ----------
    mirror : Mirror
        An up-to-date replica.
    copy : MirrorUpdate
        Full copy with revisions of unknown eras. Only the stamps of the
        documents tell which were written later; the store decides on all
        others.

    """
    in_force = {item.key: item for item in mirror.list_items('')}
    held = []
    for item in copy.items:
        stamp = mirror.order.read_stamp(item)
        known = in_force.get(item.key)
        known_stamp = known and mirror.order.read_stamp(known)
        if stamp and known_stamp and stamp > known_stamp:
            held.append(HeldItem(item, known.revision))
    return HeldItems(mirror.revision_, (), tuple(held))


def put_held(copy: MirrorUpdate, held: Iterable[HeldItem]) -> MirrorUpdate:
    """Return a copy of the store with the held items in their places.

    Each gets the position of what it replaces, so that the next write of its
    key is later.
    """
    items = {item.key: item for item in copy.items}
    start = Position(find_era(copy.revision), 0).pack()
    has_held = False
    for each in held:
        has_held = True
        key = each.item.key
        if each.item.content is None:
            items.pop(key, None)
        else:
            items[key] = replace(each.item, revision=each.replaces or start)
    return replace(copy, items=tuple(items.values()), has_held=has_held)
