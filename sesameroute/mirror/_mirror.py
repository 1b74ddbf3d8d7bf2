"""Replica of the store's items that is updated with each change.

Updates come from this node's own watch of the store or from a peer that
watches it. An item is only replaced by a later revision, so a late or
repeated message has no effect.
"""

import threading
from collections.abc import Callable

from sesameroute.mirror._items_in_force import ItemsInForce
from sesameroute.mirror._messages import (
    HeldItems,
    MirrorItem,
    MirrorUpdate,
)
from sesameroute.mirror._position import find_era
from sesameroute.mirror._retention import DocumentOrder, UnorderedDocuments
from sesameroute.mirror._source import MessageSource

__all__ = ['Mirror']

# Messages that are kept until the era that they are about is known.
_MAX_EARLY = 8


class Mirror:
    """Replica of the store's items.

    After the store was restored from a copy, items that the copy lacks or has
    in an older form are held: they stay in force until they are written again.

    Parameters
    ----------
    on_change : callable
        Called with each changed item, in the order of application.
    on_loss : callable, optional
        Called with the key of each item that a restored store lacks and that
        is not held. Its writer may write it again.
    order : DocumentOrder, optional
        Tells which of two documents of different eras was written last.

    Attributes
    ----------
    revision_ : int
        Packed position up to which all changes are applied; 0 before the
        first.
    verified_at_ : float
        Latest monotonic time in seconds at which the replica was known to be
        up to date; minus infinity before the first update.
    source_ : MessageSource
        Peer whose message is being applied.

    """

    def __init__(
        self,
        on_change: Callable[[MirrorItem], None],
        on_loss: Callable[[str], None] = bool,
        order: DocumentOrder | None = None,
    ) -> None:
        """Start without items."""
        self.revision_ = 0
        self.verified_at_ = float('-inf')
        self.order = order or UnorderedDocuments()
        self._items = ItemsInForce(on_change, on_loss, self.order)
        self._early: list[HeldItems] = []
        self._lock = threading.RLock()
        self.source_ = MessageSource(self._lock)

    def apply(self, update: MirrorUpdate, now: float) -> bool:
        """Apply an update.

        Parameters
        ----------
        update : MirrorUpdate
            Changes or a full copy.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False, and nothing applied, if changes are missing between the
            replica's revision and the update.

        """
        with self._lock:
            if _has_gap(update, self.revision_):
                return False
            if find_era(update.revision) > self.era_:
                self._enter_era(update)
            elif update.base == 0:
                self._apply_copy(update)
            else:
                self._apply_changes(update)
            self.revision_ = max(self.revision_, update.revision)
            if update.revision >= self.revision_:
                self.verified_at_ = max(self.verified_at_, now - update.age)
        return True

    def merge_held(self, message: HeldItems) -> HeldItems | None:
        """Hold what a peer holds; return what the peer does not know yet.

        Returns
        -------
        HeldItems or None
            What this replica holds, and what it knows to have been written
            since, if the peer holds obsolete items.

        """
        with self._lock:
            if find_era(message.revision) > self.era_:
                self._early = [*self._early[1 - _MAX_EARLY :], message]
            if find_era(message.revision) != self.era_:
                return None
            if not self._items.merge(message, self.revision_):
                return None
            return self._items.exchange_.list_held(self.revision_, message.held)

    def merge_history(self, history: MirrorUpdate) -> None:
        """End what is held though it was removed after the restored copy.

        Parameters
        ----------
        history : MirrorUpdate
            Changes of the restored store since the revisions of the items
            that it lacks.

        """
        with self._lock:
            if find_era(history.revision) == self.era_:
                self._items.merge_history(history.items)

    def list_missing(self) -> frozenset[MirrorItem]:
        """Return the held items that the store lacks.

        They were lost, or removed after the restored copy.
        """
        with self._lock:
            return frozenset(
                held.item
                for held in self._items.held_.values()
                if not held.replaces
            )

    def list_held(self) -> HeldItems:
        """Return the held items."""
        with self._lock:
            return self._items.exchange_.list_held(self.revision_, ())

    def build_full_copy(self, now: float) -> MirrorUpdate:
        """Return a full copy of what the store has.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        """
        with self._lock:
            age = now - self.verified_at_
            return MirrorUpdate(
                0, self.revision_, tuple(self._items.stored_), age
            )

    def list_items(self, prefix: str) -> list[MirrorItem]:
        """Return the items whose keys start with a prefix."""
        with self._lock:
            found = map(self._items.find, sorted(self._items.list_keys()))
            return [
                item
                for item in found
                if item.content is not None and item.key.startswith(prefix)
            ]

    @property
    def era_(self) -> int:
        """Era of the store up to which changes are applied."""
        return find_era(self.revision_)

    def _enter_era(self, update: MirrorUpdate) -> None:
        era = find_era(update.revision)
        early = [each for each in self._early if find_era(each.revision) == era]
        self._early = []
        self._items.restore(
            update.items, update.revision, self.revision_, early
        )

    def _apply_changes(self, update: MirrorUpdate) -> None:
        # Changes up to the replica's revision have been applied. Applying
        # one again would restore an item that has been removed since.
        known_revision = self.revision_
        self._items.put(
            item for item in update.items if item.revision > known_revision
        )

    def _apply_copy(self, update: MirrorUpdate) -> None:
        if update.revision < self.revision_:
            return
        present_keys = {item.key for item in update.items}
        self._items.put(
            MirrorItem(stored.key, update.revision, None)
            for stored in self._items.stored_
            if stored.key not in present_keys
        )
        self._items.put(update.items)


def _has_gap(update: MirrorUpdate, revision: int) -> bool:
    """Whether a full copy is needed before the update can be applied."""
    if update.base == 0:
        return False
    is_new_era = find_era(update.revision) > find_era(revision)
    return update.base > revision or is_new_era
