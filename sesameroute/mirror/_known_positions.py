"""Up to where a node knows the changes of earlier eras."""

from collections.abc import Iterable

from sesameroute.mirror._messages import MirrorItem
from sesameroute.mirror._position import find_era

__all__ = ['KnownPositions']

# Eras that are remembered, the latest ones.
_MAX_ERAS = 8


class KnownPositions:
    """The highest known position of each earlier era.

    Parameters
    ----------
    packed : iterable of int, optional
        Packed positions.

    Examples
    --------
    >>> KnownPositions((3, 7)).list_packed()
    (7,)

    """

    def __init__(self, packed: Iterable[int] = ()) -> None:
        """Store the positions."""
        self._by_era: dict[int, int] = {}
        self.learn(packed)

    def learn(self, packed: Iterable[int]) -> None:
        """Add packed positions."""
        for position in packed:
            era = find_era(position)
            self._by_era[era] = max(position, self._by_era.get(era, 0))
        for forgotten in sorted(self._by_era)[:-_MAX_ERAS]:
            self._by_era.pop(forgotten)

    def list_packed(self) -> tuple[int, ...]:
        """Return the packed positions."""
        return tuple(self._by_era.values())

    def settles(self, held_item: MirrorItem) -> bool:
        """Whether a node with these positions would hold an item if needed.

        Of a removal it would not: there, an item may never have been.
        """
        era = find_era(held_item.revision)
        return (
            held_item.content is not None
            and held_item.revision <= self._by_era.get(era, -1)
        )
