"""Order of the servers for an object, by weighted rendezvous hashing.

Answers servers that come and go while callers ask for the same objects: a new
server comes before the others for its part of the objects only, the objects of
a lost one go to the next in their own order, and all others keep their server.
The parts follow the sizes of the servers.
"""

import math
from collections.abc import Iterable, Mapping

import xxhash

__all__ = ['hash_key', 'rank_by_weight']

_HASH_BITS = 64
_HASH_RANGE = float(1 << _HASH_BITS)
_MIN_WEIGHT = 1e-9


def rank_by_weight(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the names of servers in the order for an object.

    With equal weights, the order is that of the hashes alone.

    Parameters
    ----------
    key : str
        Identifies the object.
    weights : mapping of str to float
        Size of each server by name, in any unit.

    Examples
    --------
    >>> rank_by_weight('k', {'a': 1, 'b': 1}) == rank_by_weight(
    ...     'k', {'b': 5, 'a': 5}
    ... )
    True

    """
    return _sort_names(
        (_compute_distance(key, name, weight), name)
        for name, weight in weights.items()
    )


def hash_key(text: str) -> int:
    """Return a 64-bit hash that is the same on all nodes."""
    return xxhash.xxh64_intdigest(text.encode())


def _sort_names(scored: Iterable[tuple[float, str]]) -> list[str]:
    return [name for _distance, name in sorted(scored)]


def _compute_distance(key: str, name: str, weight: float) -> float:
    """Return the time of the first event of a process of rate `weight`."""
    position = hash_key(f'{key}/{name}') / _HASH_RANGE
    return -math.log1p(-min(position, 1 - _MIN_WEIGHT)) / max(
        weight, _MIN_WEIGHT
    )
