"""Mirrors of a restored store that read and tell peers at any time."""

import random

import pytest

from sesameroute.mirror.tests import test_restores
from sesameroute.mirror.tests.restored_store import SimulatedNode

_READ_PART, _UPDATE_PART, _COMPARE_PART, _SHARE_PART = 0.5, 0.5, 0.3, 0.3


class OutOfStepNode(SimulatedNode):
    """A node whose messages to peers are independent of its reads."""

    rng = random.Random(0)
    is_in_step = False

    def step(self, peers):
        """Do some of what is due."""
        if OutOfStepNode.is_in_step:
            super().step(peers)
            return
        reached = [
            peer for peer in peers if peer.reaches_peers and self.reaches_peers
        ]
        if self.reaches_store and self.rng.random() < _READ_PART:
            self.read(reached)
        for peer in reached:
            if self.rng.random() < _COMPARE_PART:
                self.compare(peer)
            if self.rng.random() < _SHARE_PART:
                self.share(peer)

    def read(self, reached):
        """Read the store, and tell some peers."""
        update = self.store.read(self.mirror.revision_)
        self.mirror.apply(update, 0)
        self.read_history()
        for peer in reached:
            if self.rng.random() < _UPDATE_PART:
                peer.receive(self, update)

    def share(self, peer):
        """Tell a peer what is held, and take its answer."""
        later = peer.mirror.merge_held(self.mirror.list_held())
        if later:
            self.mirror.merge_held(later)


class OutOfStepFuzz(test_restores.Fuzz):
    """Random writes, restores, cuts and restarts, out of step."""

    def write_order(self, key, content):
        """Write as the operator; a removal after some node has read."""
        self.run_in_step(super().write_order, key, content)

    def settle(self):
        """All nodes have what the store has, and hold nothing else."""
        self.run_in_step(super().settle)

    def run_in_step(self, act, *arguments):
        """Do something for which nodes read and tell all of it."""
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(OutOfStepNode, 'is_in_step', True)
            act(*arguments)


@pytest.mark.parametrize('seed', [*range(30), 257, 477, 580, 581, 997, 1167])
def test_no_node_goes_back_out_of_step(monkeypatch, seed):
    """Nodes at different positions ended what others held."""
    monkeypatch.setattr(test_restores, 'SimulatedNode', OutOfStepNode)
    OutOfStepNode.rng.seed(seed)
    OutOfStepFuzz(seed).run()
