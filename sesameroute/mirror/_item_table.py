"""The items of the store in its present era, and recent removals."""

from collections.abc import Iterator

from sesameroute.mirror._messages import MirrorItem

__all__ = ['ItemTable']

# Removals that are remembered, the latest ones.
_MAX_REMOVALS = 1024
# Items of one key that are remembered when the last one is removed.
_MAX_PAST_ITEMS = 8


class ItemTable:
    """Items by key; only a later revision replaces an item.

    Removals are remembered for a while, with the items before them.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[str, MirrorItem] = {}
        self._removals: dict[str, MirrorItem] = {}
        self._past: dict[str, tuple[MirrorItem, ...]] = {}

    def find(self, key: str) -> MirrorItem | None:
        """Return the item, its removal, or None if neither is known."""
        return self._items.get(key) or self._removals.get(key)

    def list_past(self, key: str) -> tuple[MirrorItem, ...]:
        """Return the items before a removal, the last one at the end."""
        return self._past.get(key, ())

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
        if previous is not None:
            past = (*self._past.get(item.key, ()), previous)
            self._past[item.key] = past[-_MAX_PAST_ITEMS:]
        self._removals[item.key] = item
        if len(self._removals) > _MAX_REMOVALS:
            forgotten = next(iter(self._removals))
            self._removals.pop(forgotten)
            self._past.pop(forgotten, None)

    def list_keys(self) -> set[str]:
        """Return the keys of all items and removals."""
        return self._items.keys() | self._removals.keys()

    def __iter__(self) -> Iterator[MirrorItem]:
        """Iterate over the items, without removals."""
        return iter(tuple(self._items.values()))
