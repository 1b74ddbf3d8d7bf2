"""Merges what peers hold after a restore of the store."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from sesameroute.mirror._known_positions import KnownPositions
from sesameroute.mirror._messages import HeldItem, HeldItems, MirrorItem
from sesameroute.mirror._position import find_era
from sesameroute.mirror._retention import has_ended, is_later

if TYPE_CHECKING:
    from sesameroute.mirror._items_in_force import ItemsInForce

__all__ = ['HeldMerge']


class HeldMerge:
    """Exchanges the held items of a replica with peers.

    Parameters
    ----------
    items : ItemsInForce
        The items of the replica.

    Attributes
    ----------
    known_ : KnownPositions
        Up to where the changes of earlier eras are known.

    """

    def __init__(self, items: 'ItemsInForce') -> None:
        """Start without earlier eras."""
        self.items = items
        self.known_ = KnownPositions()

    def merge(self, message: HeldItems, revision: int) -> bool:
        """Merge a message; return whether it has obsolete items."""
        if message.revision <= revision:
            told_keys = {told.item.key for told in message.held}
            known = KnownPositions(message.known)
            for key, held in tuple(self.items.held_.items()):
                if key not in told_keys and known.settles(held.item):
                    self._settle(key, held)
        obsolete = [self._merge_item(told, revision) for told in message.held]
        if message.revision <= revision:
            self.known_.learn(message.known)
        return any(obsolete)

    def list_held(self, revision: int, told: Iterable[HeldItem]) -> HeldItems:
        """Return the held items, and told ones that have been written."""
        written = tuple(
            HeldItem(self.items.stored_.find(each.item.key), 0)
            for each in told
            if self.items.is_written(each)
        )
        return HeldItems(
            revision,
            self.known_.list_packed(),
            (*self.items.held_.values(), *written),
        )

    def _settle(self, key: str, held: HeldItem) -> None:
        """End what is held, since it was removed in an earlier era."""
        if held.replaces:
            removal = MirrorItem(key, held.item.revision, None)
            self.items.held_[key] = HeldItem(removal, held.replaces)
        else:
            self.items.held_.pop(key)

    def _merge_item(self, told: HeldItem, revision: int) -> bool:
        """Merge an item; return whether it is obsolete."""
        item = told.item
        held = self.items.held_.get(item.key)
        if find_era(item.revision) == find_era(revision):
            # Later writes come with the changes of the store.
            is_known = item.revision <= revision
            if held and is_known and has_ended(held, item, self.items.order):
                self.items.held_.pop(item.key)
            return False
        if held:
            is_obsolete = is_later(held.item, item, self.items.order)
        else:
            is_obsolete = self.known_.settles(item) or self.items.is_written(
                told
            )
        # A removal is of use only where the store still has the item.
        stored = self.items.stored_.find(item.key) or item
        if not is_obsolete and {item.content, stored.content} != {None}:
            replaces = max(
                told.replaces, self.items.stored_.read_revision(item.key)
            )
            self.items.held_[item.key] = HeldItem(item, replaces)
        return is_obsolete
