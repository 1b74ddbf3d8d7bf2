"""Rendezvous hashing: every node ranks names alike without talking."""

from collections.abc import Iterable
from zlib import crc32

__all__ = ['rank_names']

_MIX = 2654435761  # spreads CRC values of similar names
_SHIFT = 15
_MASK = 0xFFFFFFFF


def rank_names(seed: str, names: Iterable[str]) -> list[str]:
    """Return the names, best first, for one seed.

    Removing a name moves no other name, so that few choices change.

    Examples
    --------
    >>> ranked = rank_names('watch', ['a', 'b', 'c'])
    >>> [name for name in ranked if name != 'b'] == rank_names(
    ...     'watch', ['a', 'c']
    ... )
    True

    """
    return sorted(names, key=lambda name: (_score(seed, name), name))


def _score(seed: str, name: str) -> int:
    mixed = crc32(f'{seed}/{name}'.encode()) * _MIX & _MASK
    return mixed ^ mixed >> _SHIFT
