"""Mirrors of a store that is restored from copies some writes old."""

import random

import pytest

from sesameroute.mirror import Mirror, MirrorItem, MirrorUpdate, Position
from sesameroute.mirror import _items_in_force as items_in_force
from sesameroute.mirror.tests.restored_store import (
    SimulatedNode,
    SimulatedStore,
    TextOrder,
)

_STEPS = 120
_NODES = 4
_SETTLING_ROUNDS = 6
_ZONES = ('op/evacuate/a', 'op/evacuate/b')
_SERVERS = ('servers/a', 'servers/b', 'servers/c')


@pytest.mark.parametrize(
    ('known', 'restored', 'expected'),
    [
        # (revision, content) before and in the restored store
        ((9, b'2:x'), (4, b'1:x'), b'2:x'),
        ((9, b'2:x'), (6, b'3:x'), b'3:x'),
        ((9, b'2:x'), (9, b'3:x'), b'3:x'),
        ((4, b'2:x'), (9, b'1:x'), b'2:x'),
        ((9, b'2:x'), (4, b'2:y'), b'2:x'),
        ((4, b'2:x'), (9, b'2:y'), b'2:y'),
        ((9, b'2:x'), None, b'2:x'),
        ((9, b':x'), None, b':x'),
        ((9, b':x'), (4, b':y'), b':y'),
        (None, (4, b':y'), b':y'),
    ],
)
def test_newer_document_is_in_force_after_a_restore(known, restored, expected):
    """An older copy undoes nothing, and a new write counts at once."""
    mirror = Mirror(bool, order=TextOrder())
    for era, written in enumerate((known, restored)):
        items = ()
        if written:
            position = Position(era, written[0]).pack()
            items = (MirrorItem('op/config', position, written[1]),)
        mirror.apply(MirrorUpdate(0, Position(era, 9).pack(), items), 0)
    assert [item.content for item in mirror.list_items('')] == [expected]


@pytest.mark.parametrize(
    ('removed', 'restored', 'expected'),
    [
        (b'1.5:x', (4, b'1.5:x'), []),
        (b'1.5:x', (3, b'1.2:x'), []),
        (b'1.5:x', (8, b'1.6:x'), [b'1.6:x']),
        (b'1.5:x', (8, b'2.1:x'), [b'2.1:x']),
        (b':x', (4, b':x'), []),
        (b':x', (5, b':x'), [b':x']),
    ],
)
def test_removed_item_stays_removed_until_it_is_written(
    removed, restored, expected
):
    """A copy from before the removal does not bring the item back."""
    mirror = Mirror(bool, order=TextOrder())
    mirror.apply(MirrorUpdate(0, 4, (MirrorItem('servers/a', 4, removed),)), 0)
    mirror.apply(MirrorUpdate(4, 9, (MirrorItem('servers/a', 9, None),)), 0)
    revision, content = restored
    item = MirrorItem('servers/a', Position(1, revision).pack(), content)
    mirror.apply(MirrorUpdate(0, Position(1, 8).pack(), (item,)), 0)
    assert [each.content for each in mirror.list_items('')] == expected


def test_changes_of_a_later_era_need_a_copy():
    """Changes alone do not tell which items the restored store lacks."""
    mirror = Mirror(bool)
    mirror.apply(MirrorUpdate(0, 9, ()), 0)
    base = Position(1, 3).pack()
    assert not mirror.apply(MirrorUpdate(base, base + 1, ()), 0)
    assert not mirror.apply(MirrorUpdate(5, base, ()), 0)
    assert mirror.apply(MirrorUpdate(0, base, ()), 0)
    assert mirror.era_ == 1


def test_updates_of_an_earlier_era_are_ignored():
    """Peers may not know yet that the store was restored."""
    mirror = Mirror(bool)
    position = Position(1, 3).pack()
    mirror.apply(MirrorUpdate(0, position, ()), 5)
    assert mirror.apply(MirrorUpdate(0, 99, (MirrorItem('a', 7, b'x'),)), 6)
    assert mirror.apply(MirrorUpdate(9, 99, (MirrorItem('a', 99, b'x'),)), 6)
    assert not mirror.list_items('')
    assert (mirror.revision_, mirror.verified_at_) == (position, 5)


class Fuzz:
    """Random writes, restores, cuts and restarts.

    Attributes
    ----------
    orders : list of tuple
        Operator's writes, which it repeats after a restore in this order.

    """

    def __init__(self, seed):
        """Start nodes with an empty store."""
        self.rng = random.Random(seed)
        self.store = SimulatedStore()
        self.nodes = [SimulatedNode(self.store) for _ in range(_NODES)]
        self.version = 0
        self.orders = []
        self.servers = {}
        self.seen_versions = {}
        self.seen_leaving = {}
        self.copies = [(0, self.store.copy_state())]
        self.restored_from = None

    def run(self):
        """Play all steps, then let the fleet settle."""
        actions = (
            [self.order_version, self.order_evacuation, self.write_server] * 3
            + [self.step_node] * 12
            + [self.cut, self.restart, self.copy, self.restore, self.repeat]
        )
        for _ in range(_STEPS):
            self.rng.choice(actions)()
            self.check()
        self.settle()

    def order_version(self):
        """Write the next version of the configuration."""
        self.version += 1
        self.order('op/config', f'{self.version}:v'.encode())

    def order_evacuation(self):
        """Evacuate a zone, or take that back."""
        self.order(self.rng.choice(_ZONES), self.rng.choice((b':', None)))

    def order(self, key, content):
        """Write as the operator, after all that was lost."""
        self.repeat()
        self.orders.append((key, content))
        self.write_order(key, content)

    def write_order(self, key, content):
        """Write as the operator; a removal after some node has read.

        What is put and removed again before any node has read the restored
        store leaves no trace there: only the next write ends what nodes hold.
        """
        if content is None:
            node = self.rng.choice(self.nodes)
            reached, node.reaches_store = node.reaches_store, True
            self.step(node)
            node.reaches_store = reached
        self.store.write(key, content)

    def write_server(self):
        """Let a server start, leave or end."""
        self.repeat()
        key = self.rng.choice(_SERVERS)
        born, sequence, state = self.servers.get(key, (0, 0, 'gone'))
        state = {'gone': 'ready', 'ready': 'leaving', 'leaving': 'gone'}[state]
        if state == 'ready':
            born, sequence = born + 1, 0
        self.servers[key] = born, sequence + 1, state
        self.write_entry(key)

    def write_entry(self, key):
        """Write the entry of a server as it is now."""
        born, sequence, state = self.servers[key]
        content = f'{born}.{sequence}:{state}'.encode()
        self.store.write(key, None if state == 'gone' else content)

    def copy(self):
        """Take a copy of the store, unless what was lost is missing."""
        if self.restored_from is None:
            self.copies = [(len(self.orders), self.store.copy_state())]

    def restore(self):
        """Let the store come back from the last copy."""
        self.restored_from, state = self.copies[-1]
        self.store.restore(state)

    def repeat(self):
        """Write again what a restore has lost, as the writers do."""
        if self.restored_from is None:
            return
        for key, content in self.orders[self.restored_from :]:
            self.write_order(key, content)
        for key, (born, sequence, state) in self.servers.items():
            self.servers[key] = born, sequence + 1, state
            self.write_entry(key)
        self.restored_from = None
        self.copies = [(len(self.orders), self.store.copy_state())]

    def cut(self):
        """Cut a node off, or connect it again."""
        node = self.rng.choice(self.nodes)
        node.reaches_store = self.rng.random() < 0.6
        node.reaches_peers = self.rng.random() < 0.6

    def restart(self):
        """Restart a node, which loses all that it knows."""
        index = self.rng.randrange(_NODES)
        self.nodes[index] = SimulatedNode(self.store)
        self.seen_versions.pop(index, None)
        self.seen_leaving.pop(index, None)

    def step_node(self):
        """Let a node read the store and tell its peers."""
        self.step(self.rng.choice(self.nodes))

    def step(self, node):
        """Let one node read the store and tell its peers."""
        node.step([peer for peer in self.nodes if peer is not node])

    def check(self):
        """No node goes back, and no server that leaves is used again."""
        for index, node in enumerate(self.nodes):
            version = node.in_force.get('op/config', b'0:')
            number = int(version.partition(b':')[0])
            assert number >= self.seen_versions.get(index, 0)
            self.seen_versions[index] = number
            seen = self.seen_leaving.setdefault(index, set())
            for key in _SERVERS:
                stamp, _, state = node.in_force.get(key, b'0.0:').partition(
                    b':'
                )
                incarnation = key, stamp.partition(b'.')[0]
                assert state != b'ready' or incarnation not in seen
                if state == b'leaving':
                    seen.add(incarnation)

    def settle(self):
        """All nodes have what the store has, and hold nothing else."""
        self.repeat()
        for node in self.nodes:
            node.reaches_store = node.reaches_peers = True
        for _ in range(_SETTLING_ROUNDS):
            for node in self.nodes:
                self.step(node)
        expected = {
            key: written.content for key, written in self.store.items.items()
        }
        for node in self.nodes:
            assert node.in_force == expected
            assert not node.mirror.list_held().held


@pytest.mark.parametrize('seed', range(60))
def test_no_node_goes_back_and_all_agree_in_the_end(seed):
    """The unmodified code passes the fuzz."""
    Fuzz(seed).run()


@pytest.mark.parametrize(
    'guard',
    [
        lambda _known, _offered, _removed, _order: False,
        lambda known, offered, _removed, order: (
            offered is None and order.is_durable(known.key)
        ),
        lambda _known, offered, _removed, _order: offered is not None,
    ],
)
def test_fuzz_finds_mutants(monkeypatch, guard):
    """Without the decision what is kept, or a part of it, the fuzz fails."""
    monkeypatch.setattr(items_in_force, 'is_still_in_force', guard)

    def run_all():
        for seed in range(60):
            Fuzz(seed).run()

    with pytest.raises(AssertionError):
        run_all()
