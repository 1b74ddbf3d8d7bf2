"""Positions: the store's revisions, ordered over its eras.

A store that is restored from a copy begins an era and gives out revisions
again. A position has the era in its high bits, so that any position of a later
era is above all of the earlier ones. In era 0 positions equal revisions, which
is what builds without eras send.
"""

from typing import NamedTuple

__all__ = [
    'MAX_ERA',
    'MAX_REVISION',
    'Position',
    'find_era',
    'find_revision',
]

# Positions stay within signed integers of 64 bits.
_REVISION_BITS = 40
_ERA_BITS = 22
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_ERA = (1 << _ERA_BITS) - 1


class Position(NamedTuple):
    """An era of the store and a revision in it.

    Examples
    --------
    >>> Position.unpack(Position(2, 7).pack())
    Position(era=2, revision=7)
    >>> Position(0, 7).pack()
    7
    >>> Position(1, 1).pack() > Position(0, 500).pack()
    True

    """

    era: int
    revision: int

    def pack(self) -> int:
        """Return the position as one number."""
        return self.era << _REVISION_BITS | self.revision

    @classmethod
    def unpack(cls, packed: int) -> 'Position':
        """Return the position from the number."""
        return cls(find_era(packed), find_revision(packed))


def find_era(packed: int) -> int:
    """Return the era of a packed position.

    Examples
    --------
    >>> find_era(Position(3, 9).pack())
    3

    """
    return packed >> _REVISION_BITS


def find_revision(packed: int) -> int:
    """Return the revision of a packed position in its era.

    Examples
    --------
    >>> find_revision(Position(3, 9).pack())
    9

    """
    return packed & MAX_REVISION
