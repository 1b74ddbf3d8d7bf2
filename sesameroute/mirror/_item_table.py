"""The items of the store in its present era, and recent removals."""

from collections.abc import Iterator

from sesameroute.mirror._messages import MirrorItem

__all__ = ['ItemTable']

# Removals that are remembered, the latest ones.
_MAX_REMOVALS = 1024

_Removal = tuple[MirrorItem | None, MirrorItem | None]
_UNKNOWN: _Removal = (None, None)


class ItemTable:
    """Items by key; only a later revision replaces an item.

    Removals are remembered for a while, with the items that were removed.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[str, MirrorItem] = {}
        self._removals: dict[str, _Removal] = {}

    def find(self, key: str) -> MirrorItem | None:
        """Return the item, its removal, or None if neither is known."""
        removal, _removed = self._removals.get(key, _UNKNOWN)
        return self._items.get(key, removal)

    def find_removed(self, key: str) -> MirrorItem | None:
        """Return the item that was removed; None if it is not known."""
        return self._removals.get(key, _UNKNOWN)[1]

    def read_revision(self, key: str) -> int:
        """Return the revision of the last known change; 0 if there is none."""
        known = self.find(key)
        return known.revision if known else 0

    def put(self, item: MirrorItem) -> None:
        """Replace an item or remove it, unless a later change is known."""
        if item.revision <= self.read_revision(item.key):
            return
        previous = self._items.pop(item.key, None)
        self._removals.pop(item.key, None)
        if item.content is not None:
            self._items[item.key] = item
            return
        self._removals[item.key] = (item, previous)
        if len(self._removals) > _MAX_REMOVALS:
            self._removals.pop(next(iter(self._removals)))

    def list_keys(self) -> set[str]:
        """Return the keys of all items and removals."""
        return self._items.keys() | self._removals.keys()

    def __iter__(self) -> Iterator[MirrorItem]:
        """Iterate over the items, without removals."""
        return iter(tuple(self._items.values()))
