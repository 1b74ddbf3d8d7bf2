"""Replica of the store's items that is updated with each change.

Updates come from this node's own watch of the store or from a peer that
watches it. An item is only replaced by a later revision, so a late or
repeated message has no effect.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = ['Mirror', 'MirrorItem', 'MirrorUpdate', 'MirrorCopyRequest']


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """An item of the store, or its removal.

    Attributes
    ----------
    key : str
        Key in the store.
    revision : int
        Revision of the store at the item's last change.
    content : bytes or None
        Value of the item; None if it has been removed.

    """

    key: str
    revision: int
    content: bytes | None


@register_message('mirror-news', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class MirrorUpdate:
    """Changes of the store between two revisions, or a full copy.

    Attributes
    ----------
    base : int
        Revision after which the changes begin; 0 for a full copy.
    revision : int
        Revision up to which the changes are complete.
    items : tuple of MirrorItem
        Changed items, or all items of a full copy.
    age : float
        Seconds since the store was known to have no later revision.

    """

    base: int
    revision: int
    items: tuple[MirrorItem, ...]
    age: float = 0


@register_message('mirror-query', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class MirrorCopyRequest:
    """Asks a peer for a full copy.

    Attributes
    ----------
    revision : int
        Revision that the asking node has; 0 if it has none.

    """

    revision: int


class Mirror:
    """Replica of the store's items.

    Parameters
    ----------
    on_change : callable
        Called with each changed item, in the order of application.

    Attributes
    ----------
    revision_ : int
        Revision up to which all changes are applied; 0 before the first.
    verified_at_ : float
        Latest monotonic time in seconds at which the replica was known to be
        up to date; minus infinity before the first update.

    """

    def __init__(self, on_change: Callable[[MirrorItem], None]) -> None:
        """Start without items."""
        self.on_change = on_change
        self.revision_ = 0
        self.verified_at_ = float('-inf')
        self._items: dict[str, MirrorItem] = {}
        self._lock = threading.RLock()

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
            if update.base == 0:
                self._apply_copy(update)
            elif update.base > self.revision_:
                return False
            else:
                self._apply_changes(update)
            self.revision_ = max(self.revision_, update.revision)
            if update.revision >= self.revision_:
                self.verified_at_ = max(self.verified_at_, now - update.age)
        return True

    def build_full_copy(self, now: float) -> MirrorUpdate:
        """Return a full copy.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        """
        with self._lock:
            items = tuple(self._items.values())
            age = now - self.verified_at_
            return MirrorUpdate(0, self.revision_, items, age)

    def list_items(self, prefix: str) -> list[MirrorItem]:
        """Return the items whose keys start with a prefix."""
        with self._lock:
            return [
                item
                for key, item in self._items.items()
                if key.startswith(prefix)
            ]

    def _apply_changes(self, update: MirrorUpdate) -> None:
        # Changes up to the replica's revision have been applied. Applying
        # one again would restore an item that has been removed since.
        known_revision = self.revision_
        for item in update.items:
            if item.revision > known_revision:
                self._apply_item(item)

    def _apply_copy(self, update: MirrorUpdate) -> None:
        if update.revision < self.revision_:
            return
        present_keys = {item.key for item in update.items}
        self._remove(self._items.keys() - present_keys, update.revision)
        for item in update.items:
            self._apply_item(item)

    def _remove(self, keys: Iterable[str], revision: int) -> None:
        for key in tuple(keys):
            self._apply_item(MirrorItem(key, revision, None))

    def _apply_item(self, item: MirrorItem) -> None:
        current = self._items.get(item.key)
        if current is not None and current.revision >= item.revision:
            return
        if item.content is None:
            if current is None:
                return
            self._items.pop(item.key)
        else:
            self._items[item.key] = item
        if current is None or current.content != item.content:
            self.on_change(item)
