"""The items that are in force: those of the store, and held ones."""

from collections.abc import Callable, Iterable

from sesameroute.mirror._held_merge import HeldMerge
from sesameroute.mirror._item_table import ItemTable
from sesameroute.mirror._messages import HeldItem, HeldItems, MirrorItem
from sesameroute.mirror._position import find_revision
from sesameroute.mirror._reporter import Reporter
from sesameroute.mirror._retention import (
    DocumentOrder,
    has_ended,
    is_still_in_force,
)

__all__ = ['ItemsInForce']


class ItemsInForce:
    """The store's items, overlaid by those that are held after a restore.

    Parameters
    ----------
    on_change : callable
        Called with each item whose content in force has changed.
    on_loss : callable
        Called with the key of each item that a restored store lacks and that
        is not held.
    order : DocumentOrder
        Tells which of two documents of different eras was written last.

    Attributes
    ----------
    stored_ : ItemTable
        The items of the store in its present era.
    held_ : dict of str to HeldItem
        By key, the items of earlier eras that stay in force.
    exchange_ : HeldMerge
        Exchanges the held items with peers.
    lost_ : set of str
        Keys of the items that were lost without being held.

    """

    def __init__(
        self,
        on_change: Callable[[MirrorItem], None],
        on_loss: Callable[[str], None],
        order: DocumentOrder,
    ) -> None:
        """Start without items."""
        self.order = order
        self.stored_ = ItemTable()
        self.held_: dict[str, HeldItem] = {}
        self.exchange_ = HeldMerge(self)
        self.lost_: set[str] = set()
        self._reporter = Reporter(self.find, on_change, on_loss)

    def find(self, key: str) -> MirrorItem | None:
        """Return the item, its removal, or None if neither is known."""
        held = self.held_.get(key)
        return held.item if held else self.stored_.find(key)

    def list_keys(self) -> set[str]:
        """Return the keys of all items and removals."""
        return self.stored_.list_keys() | self.held_.keys()

    def put(self, items: Iterable[MirrorItem]) -> None:
        """Put items of the present era; their keys are no longer held."""
        for item in items:
            with self._reporter.observe({item.key}):
                self._put(item)

    def restore(
        self,
        items: tuple[MirrorItem, ...],
        revision: int,
        known: int,
        early: Iterable[HeldItems],
    ) -> None:
        """Replace the store's items; hold what stays in force.

        Parameters
        ----------
        items : tuple of MirrorItem
            All items of the restored store.
        revision : int
            Packed position of these items.
        known : int
            Packed position up to which changes were known before.
        early : iterable of HeldItems
            What peers told of the new era before this node knew it.

        """
        offered = {item.key: item for item in items}
        keys = self.list_keys() | offered.keys()
        keys |= {told.item.key for each in early for told in each.held}
        lost = {
            key
            for key in self.list_keys() - offered.keys()
            if self.find(key).content is not None
            and not self.order.is_durable(key)
        }
        with self._reporter.observe(keys, lost):
            self.held_ = {
                key: HeldItem(
                    self.find(key),
                    offered[key].revision if key in offered else 0,
                )
                for key in self.list_keys()
                if self._is_kept(key, offered.get(key))
            }
            self.stored_ = ItemTable()
            for item in items:
                self.stored_.put(item)
            self.exchange_.known_.learn((known,))
            for message in early:
                self.exchange_.merge(message, revision)
        for key in self.lost_ - offered.keys() - lost:
            self._reporter.on_loss(key)
        self.lost_ = (self.lost_ | lost) - offered.keys() - self.held_.keys()

    def merge(self, message: HeldItems, revision: int) -> bool:
        """Merge what a peer holds.

        Parameters
        ----------
        message : HeldItems
            What the peer holds.
        revision : int
            Packed position up to which changes are applied here. What a peer
            with later ones does not hold may have been written by these.

        Returns
        -------
        bool
            Whether the peer holds items that are obsolete.

        """
        told_keys = {told.item.key for told in message.held}
        with self._reporter.observe(told_keys | self.held_.keys()):
            return self.exchange_.merge(message, revision)

    def merge_history(self, changes: Iterable[MirrorItem]) -> None:
        """End what is held for lack of items that were removed meanwhile."""
        latest = {change.key: change for change in changes}
        self.put(
            latest[key]
            for key, held in tuple(self.held_.items())
            if key in latest and _has_later_revision(latest[key], held.item)
        )

    def is_written(self, held: HeldItem) -> bool:
        """Whether the key has been written in the present era since."""
        stored = self.stored_.find(held.item.key)
        return stored is not None and has_ended(held, stored, self.order)

    def _put(self, item: MirrorItem) -> None:
        self.stored_.put(item)
        self.lost_.discard(item.key)
        held = self.held_.pop(item.key, None)
        if held is not None and not self.is_written(held):
            replaces = max(held.replaces, item.revision)
            self.held_[item.key] = HeldItem(held.item, replaces)

    def _is_kept(self, key: str, offered: MirrorItem | None) -> bool:
        past = self.stored_.list_past(key)
        restored = self.stored_.find(key)
        if key in self.held_ and restored is not None:
            past = (*past, restored)
        return is_still_in_force(self.find(key), offered, past, self.order)


def _has_later_revision(change: MirrorItem, held_item: MirrorItem) -> bool:
    """Whether a change in the present era has a higher revision.

    If the restored copy has the held item, the change came after it.
    """
    return find_revision(change.revision) > find_revision(held_item.revision)
