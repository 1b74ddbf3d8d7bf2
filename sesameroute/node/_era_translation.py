"""Lets builds that know no eras follow the store beside those that do.

A build without eras sends and expects plain revisions. While the store is in
the first era that the fleet has known, plain revisions order all changes, so
they are translated at the border. Once the store has been restored, such a
build gets positions, which it takes for later revisions, and nothing that it
sends is used.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from sesameroute.mirror import (
    HeldItem,
    MirrorUpdate,
    Position,
    find_era,
    find_revision,
    put_held,
)

__all__ = ['EraTranslation']


class EraTranslation:
    """Translates revisions for peers of builds that know no eras.

    Parameters
    ----------
    read_first_era : callable
        Returns the first era that the store has named to this node, -1 if it
        has not been reached yet.

    """

    def __init__(self, read_first_era: Callable[[], int]) -> None:
        """Start without peers."""
        self.read_first_era = read_first_era
        self._first_eras: dict[str, int] = {}

    @property
    def first_era_(self) -> int:
        """First era that any node is known to have met; -1 if there is none."""
        eras = (self.read_first_era(), *self._first_eras.values())
        return min((era for era in eras if era >= 0), default=-1)

    def observe_peer(self, peer: str, first_era: int | None) -> None:
        """Note what a peer says; None for a build that knows no eras."""
        if first_era is None:
            self._first_eras.pop(peer, None)
        else:
            self._first_eras[peer] = first_era

    def has_eras(self, peer: str) -> bool:
        """Whether a peer is of a build that knows eras."""
        return peer in self._first_eras

    def encode(
        self, peer: str, update: MirrorUpdate, held: Iterable[HeldItem] = ()
    ) -> MirrorUpdate:
        """Return an update as a peer understands it.

        Parameters
        ----------
        peer : str
            Address of the peer.
        update : MirrorUpdate
            Changes or a full copy.
        held : iterable of HeldItem, optional
            What this node holds. Peers of builds without eras get it in full
            copies, since they understand no other message about it.

        """
        if update.base == 0 and not self.has_eras(peer):
            update = put_held(update, held)
        if self.is_plain(peer, update.revision):
            return _move(update, -_compute_shift(update.revision))
        return update

    def decode(
        self, peer: str, update: MirrorUpdate, revision: int
    ) -> MirrorUpdate:
        """Return a peer's update with the positions of this node's era.

        Parameters
        ----------
        peer : str
            Address of the peer.
        update : MirrorUpdate
            What it has sent.
        revision : int
            Packed position of this node's replica.

        """
        if find_era(update.revision) or not self.is_plain(peer, revision):
            return update
        return _move(update, _compute_shift(revision))

    def encode_revision(self, peer: str, revision: int) -> int:
        """Return a packed position as a peer understands it."""
        if self.is_plain(peer, revision):
            return find_revision(revision)
        return revision

    def decode_revision(self, peer: str, told: int, revision: int) -> int:
        """Return what a peer has told as a position of this node's era."""
        if told and not find_era(told) and self.is_plain(peer, revision):
            return told + _compute_shift(revision)
        return told

    def is_plain(self, peer: str, revision: int) -> bool:
        """Whether a peer's plain revisions belong to the era of a position."""
        is_first = find_era(revision) == self.first_era_
        return is_first and not self.has_eras(peer)


def _compute_shift(revision: int) -> int:
    return Position(find_era(revision), 0).pack()


def _move(update: MirrorUpdate, distance: int) -> MirrorUpdate:
    """Return the update with all positions moved; a base of 0 stays."""
    items = tuple(
        replace(item, revision=item.revision + distance)
        for item in update.items
    )
    base = update.base + distance if update.base else 0
    return replace(
        update, base=base, revision=update.revision + distance, items=items
    )
