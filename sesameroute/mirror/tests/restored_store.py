"""A simulated store that is restored from copies, and nodes with mirrors."""

from collections import namedtuple

from sesameroute.mirror import (
    MAX_REVISION,
    Mirror,
    MirrorItem,
    MirrorUpdate,
    Position,
)

Written = namedtuple('Written', ('revision', 'content'))


class TextOrder:
    """Order of documents whose content is ``STAMP.STAMP:TEXT``."""

    def read_stamp(self, document):
        """Return the numbers before the colon; None if there are none."""
        stamp, _, _text = (document.content or b'').partition(b':')
        return tuple(map(int, stamp.split(b'.'))) if stamp else None

    def is_durable(self, key):
        """Whether the operator has written the key."""
        return key.startswith('op/')


class SimulatedStore:
    """Items and their history, by revision."""

    def __init__(self):
        """Start without items, in era 0."""
        self.era = 0
        self.revision = 1
        self.items = {}
        self.events = []

    def write(self, key, content):
        """Write a key, or remove it if the content is None."""
        if content is None and key not in self.items:
            return
        self.revision += 1
        if content is None:
            self.items.pop(key)
        else:
            self.items[key] = Written(self.revision, content)
        self.events.append((key, Written(self.revision, content)))

    def copy_state(self):
        """Return a copy of all contents."""
        return self.revision, dict(self.items), list(self.events)

    def restore(self, state):
        """Come back from a copy, in the next era."""
        self.revision, self.items, self.events = (
            state[0],
            dict(state[1]),
            list(state[2]),
        )
        self.era += 1

    def read(self, known):
        """Return the update for a replica at a packed position."""
        position = Position.unpack(known)
        now = Position(self.era, self.revision).pack()
        if not known or position.era != self.era:
            written = self.items.items()
            return MirrorUpdate(0, now, self._build_items(written))
        written = (
            each for each in self.events if each[1].revision > position.revision
        )
        return MirrorUpdate(known, now, self._build_items(written))

    def _build_items(self, written):
        return tuple(
            MirrorItem(
                key,
                Position(self.era, each.revision).pack(),
                each.content,
            )
            for key, each in written
        )


class SimulatedNode:
    """A node with a mirror; it may be cut off from the store or from peers.

    Attributes
    ----------
    in_force : dict of str to bytes
        Contents by key, as reported by the mirror.

    """

    def __init__(self, store):
        """Start without items and reach everything."""
        self.store = store
        self.reaches_store = True
        self.reaches_peers = True
        self.in_force = {}
        self.mirror = Mirror(self._change, self._lose, TextOrder())

    def step(self, peers):
        """Read the store, and tell the peers that can be reached."""
        reached = [
            peer for peer in peers if peer.reaches_peers and self.reaches_peers
        ]
        if self.reaches_store:
            update = self.store.read(self.mirror.revision_)
            self.mirror.apply(update, 0)
            self.read_history()
            for peer in reached:
                peer.receive(self, update)
                self.share(peer)
        for peer in reached:
            self.compare(peer)
            self.share(peer)

    def read_history(self):
        """Read whether items that the store lacks have been removed."""
        missing = self.mirror.list_missing()
        if missing:
            first = min(each.revision & MAX_REVISION for each in missing)
            since = Position(self.store.era, first).pack()
            self.mirror.merge_history(self.store.read(since))

    def receive(self, sender, update):
        """Apply an update of a peer, or the peer's copy."""
        if not self.mirror.apply(update, 0):
            self.mirror.apply(sender.mirror.build_full_copy(0), 0)

    def compare(self, peer):
        """Take the copy of a peer that knows more."""
        if peer.mirror.revision_ > self.mirror.revision_:
            self.mirror.apply(peer.mirror.build_full_copy(0), 0)

    def share(self, peer):
        """Tell a peer what is held; learn what it knows better."""
        later = peer.mirror.merge_held(self.mirror.list_held())
        if later:
            assert self.mirror.merge_held(later) is None

    def _change(self, item):
        if item.content is None:
            self.in_force.pop(item.key, None)
        else:
            self.in_force[item.key] = item.content

    def _lose(self, key):
        assert not key.startswith('op/')
        self.in_force.pop(key, None)
