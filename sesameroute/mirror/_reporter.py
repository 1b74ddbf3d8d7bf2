"""Reports which items have changed."""

from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from sesameroute.mirror._messages import MirrorItem

__all__ = ['Reporter']


@dataclass(frozen=True, slots=True)
class Reporter:
    """Compares the items in force before and after a change.

    Attributes
    ----------
    find : callable
        Returns the item in force for a key, its removal or None.
    on_change : callable
        Called with each item whose content has changed, or its removal.
    on_loss : callable
        Called with the key of each item that a restored store lacks.

    """

    find: Callable[[str], MirrorItem | None]
    on_change: Callable[[MirrorItem], None]
    on_loss: Callable[[str], None]

    @contextmanager
    def observe(
        self, keys: Iterable[str], lost: Collection[str] = ()
    ) -> Iterator[None]:
        """Report the changes of some keys in the block, in their order.

        Parameters
        ----------
        keys : iterable of str
            The keys.
        lost : collection of str, optional
            Those whose items are lost if they are missing after the block.

        """
        before = {key: self._read(key) for key in sorted(keys)}
        yield
        for key, content in before.items():
            if content == self._read(key):
                continue
            present = self.find(key)
            if present is None and key in lost:
                self.on_loss(key)
            else:
                self.on_change(present or MirrorItem(key, 0, None))

    def _read(self, key: str) -> bytes | None:
        item = self.find(key)
        return item.content if item else None
