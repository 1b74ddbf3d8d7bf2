"""Finds what a copy without era has that was written later than the store's."""

from sesameroute.mirror._messages import HeldItem, HeldItems, MirrorUpdate
from sesameroute.mirror._mirror import Mirror

__all__ = ['find_later_documents']


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
            held.append(HeldItem(item, 0))
    return HeldItems(mirror.revision_, (), tuple(held))
