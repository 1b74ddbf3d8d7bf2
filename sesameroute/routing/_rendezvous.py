"""Rendezvous hashing: every node computes the same ranking of names."""

from collections.abc import Iterable

import xxhash

__all__ = ['rank_names']


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return the names sorted by their hash with a key.

    Parameters
    ----------
    key : str
        Item to assign, such as the name of a backend server.
    names : iterable of str
        Candidates, such as names of VMs.

    Returns
    -------
    tuple of str
        All names, the preferred one first. Removing a name does not change
        the order of the others.

    Examples
    --------
    >>> full = rank_names('tally-1', ['a', 'b', 'c'])
    >>> rank_names('tally-1', full[1:]) == full[1:]
    True

    """
    return tuple(
        sorted(
            names,
            key=lambda name: (
                xxhash.xxh64_intdigest(f'{key}/{name}'.encode()),
                name,
            ),
        ),
    )
