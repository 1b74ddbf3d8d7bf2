"""A copy of the store's items that follows its changes.

Fed by the store's watch or by peers that have one. Items only move
forward by revision, so a late or repeated message changes nothing.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sesameroute.ports import register_message

__all__ = ['Mirror', 'MirrorItem', 'MirrorNews', 'MirrorQuery']


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """An item of the store; `content` is None after its removal."""

    key: str
    revision: int
    content: bytes | None


@register_message('mirror-news', quick=True)
@dataclass(frozen=True, slots=True)
class MirrorNews:
    """Changes since `base`; with base 0 all items.

    Attributes
    ----------
    age : float
        Seconds since the store was known to have nothing newer.

    """

    base: int
    revision: int
    items: tuple[MirrorItem, ...]
    age: float = 0


@register_message('mirror-query', quick=True)
@dataclass(frozen=True, slots=True)
class MirrorQuery:
    """Asks a peer for all items."""

    revision: int


class Mirror:
    """The items of the store as far as they are known.

    Parameters
    ----------
    on_change : callable
        Called with each item that changed, in a consistent order.

    Attributes
    ----------
    revision_ : int
        Revision up to which all changes are known; 0 before the first.
    fresh_ : float
        Monotonic time in seconds at which the store had nothing newer.

    """

    def __init__(self, on_change: Callable[[MirrorItem], None]) -> None:
        """Start empty."""
        self.on_change = on_change
        self.revision_ = 0
        self.fresh_ = float('-inf')
        self._items: dict[str, MirrorItem] = {}
        self._lock = threading.RLock()

    def take(self, news: MirrorNews, now: float) -> bool:
        """Apply news; return False if changes between are missing."""
        with self._lock:
            if news.base == 0:
                self._replace(news)
            elif news.base > self.revision_:
                return False
            else:
                self._extend(news)
            self.revision_ = max(self.revision_, news.revision)
            if news.revision >= self.revision_:
                self.fresh_ = max(self.fresh_, now - news.age)
        return True

    def dump(self, now: float) -> MirrorNews:
        """Return all items."""
        with self._lock:
            items = tuple(self._items.values())
            age = now - self.fresh_
            return MirrorNews(0, self.revision_, items, age)

    def list_items(self, prefix: str) -> list[MirrorItem]:
        """Return the items below a prefix."""
        with self._lock:
            return [
                item
                for key, item in self._items.items()
                if key.startswith(prefix)
            ]

    def _extend(self, news: MirrorNews) -> None:
        # All up to the known revision is applied already: a late copy must
        # not bring back what has been removed since.
        known = self.revision_
        for item in news.items:
            if item.revision > known:
                self._apply(item)

    def _replace(self, news: MirrorNews) -> None:
        if news.revision < self.revision_:
            return
        listed = {item.key for item in news.items}
        self._remove(self._items.keys() - listed, news.revision)
        for item in news.items:
            self._apply(item)

    def _remove(self, keys: Iterable[str], revision: int) -> None:
        for key in tuple(keys):
            self._apply(MirrorItem(key, revision, None))

    def _apply(self, item: MirrorItem) -> None:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if item.content is None:
            if known is None:
                return
            self._items.pop(item.key)
        else:
            self._items[item.key] = item
        if known is None or known.content != item.content:
            self.on_change(item)
