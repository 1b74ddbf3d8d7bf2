"""The items that are in force: those of the store, and held ones."""

from collections.abc import Callable, Iterable

from sesameroute.mirror._item_table import ItemTable
from sesameroute.mirror._known_positions import KnownPositions
from sesameroute.mirror._messages import HeldItem, HeldItems, MirrorItem
from sesameroute.mirror._position import Position, find_era
from sesameroute.mirror._reporter import Reporter
from sesameroute.mirror._retention import (
    DocumentOrder,
    is_repeated,
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
    known_ : KnownPositions
        Up to where the changes of earlier eras are known.

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
        self.known_ = KnownPositions()
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

    def restore(self, items: tuple[MirrorItem, ...], known: int) -> None:
        """Replace the store's items; hold what stays in force.

        Parameters
        ----------
        items : tuple of MirrorItem
            All items of the restored store.
        known : int
            Packed position up to which changes were known before.

        """
        offered = {item.key: item for item in items}
        keys = self.list_keys() | offered.keys()
        with self._reporter.observe(keys, is_restore=True):
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
        self.known_.learn((known,))

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
            if message.revision <= revision:
                self._settle(told_keys, KnownPositions(message.known))
            obsolete = [
                self._merge_item(told, find_era(revision))
                for told in message.held
            ]
        self.known_.learn(message.known)
        return any(obsolete)

    def merge_history(self, changes: Iterable[MirrorItem]) -> None:
        """End what is held for lack of items that were removed meanwhile."""
        latest = {change.key: change for change in changes}
        self.put(
            latest[key]
            for key, held in tuple(self.held_.items())
            if key in latest and _has_later_revision(latest[key], held.item)
        )

    def list_held(self, revision: int, told: Iterable[HeldItem]) -> HeldItems:
        """Return the held items, and told ones that have been written."""
        written = tuple(
            HeldItem(self.stored_.find(each.item.key), 0)
            for each in told
            if _is_written(each, self.stored_)
        )
        return HeldItems(
            revision,
            self.known_.list_packed(),
            (*self.held_.values(), *written),
        )

    def _settle(self, told_keys: set[str], known: KnownPositions) -> None:
        """Drop what a peer knows and does not hold."""
        for key, held in tuple(self.held_.items()):
            if key not in told_keys and known.settles(held.item):
                self.held_.pop(key)

    def _put(self, item: MirrorItem) -> None:
        self.stored_.put(item)
        held = self.held_.pop(item.key, None)
        if held is None:
            return
        if not _is_written(held, self.stored_):
            self.held_[item.key] = held
        elif is_repeated(held.item, item, self.order):
            self.held_[item.key] = HeldItem(held.item, item.revision)

    def _merge_item(self, told: HeldItem, era: int) -> bool:
        """Merge an item; return whether it is obsolete."""
        item = told.item
        held = self.held_.get(item.key)
        if find_era(item.revision) == era:
            if held and item.revision > held.replaces:
                self._put(item)
            return False
        if held:
            is_obsolete = held.item.revision > item.revision
        else:
            is_obsolete = self.known_.settles(item) or _is_written(
                told, self.stored_
            )
        if not is_obsolete:
            self.held_[item.key] = told
        return is_obsolete

    def _is_kept(self, key: str, offered: MirrorItem | None) -> bool:
        removed = (
            self.stored_.find(key)
            if key in self.held_
            else self.stored_.find_removed(key)
        )
        return is_still_in_force(self.find(key), offered, removed, self.order)


def _is_written(told: HeldItem, stored: ItemTable) -> bool:
    """Whether the key has been written in the present era since."""
    return stored.read_revision(told.item.key) > told.replaces


def _has_later_revision(change: MirrorItem, held_item: MirrorItem) -> bool:
    """Whether a change in the present era has a higher revision.

    If the restored copy has the held item, the change came after it.
    """
    revisions = (
        Position.unpack(item.revision).revision for item in (held_item, change)
    )
    return next(revisions) < next(revisions)
