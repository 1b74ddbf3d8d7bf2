"""A fleet without threads: real membership over a fake network and store.

Tests advance the time, choose the steps and inject faults.
"""

import random
from types import MappingProxyType

from sesameroute.exceptions import (
    ConflictError,
    InputError,
    PeerError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.membership import FanOut, Membership, MembershipContext
from sesameroute.ports import PeerIdentity, StoredValue
from sesameroute.statement import Places, Policy, Statement, Vm

VMS = MappingProxyType(
    {
        f'vm{number}': Vm(f'vm{number}', domain, f'127.0.0.{number}')
        for number, domain in enumerate(('a1', 'a1', 'a1', 'b1', 'b1', 'c1'))
    },
)
ROUND_SECONDS = 0.25


def read_statement(text):
    """Return a statement; raise InputError when the text is ``bad``."""
    if text == 'bad':
        raise InputError('bad statement')
    places = Places({'a': ('a1',), 'b': ('b1',), 'c': ('c1',)}, 'a', 1, 12, 8)
    return Statement(text, places, Policy(), VMS, {}, {}, {})


class FakeClock:
    """A clock that a test advances."""

    def __init__(self):
        """Start at an arbitrary time."""
        self.now = 1000.0

    def read_monotonic(self):
        """Return the current fake time."""
        return self.now

    def read_wall(self):
        """Return the current fake time."""
        return self.now

    def sleep(self, seconds):
        """Advance the time."""
        self.now += seconds


class FakeStore:
    """A store with outages, lost answers, lagging reads and restores.

    A test restores a backup by taking the last value from `history`.
    """

    def __init__(self):
        """Create an empty store without faults."""
        self.history = []
        self.is_down = False
        self.loses_answer = False
        self.lag = 0
        self.calls = 0

    def read(self, _key):
        """Return the value, or the one `lag` writes before it."""
        self.calls += 1
        if self.is_down:
            raise StoreUnreachableError('down')
        index = len(self.history) - 1 - self.lag
        return self.history[index] if index >= 0 else None

    def watch(self, key, _revision, _timeout, tag):
        """Return a value with another tag if there is one, without waiting."""
        found = self.read(key)
        return found if found and found.tag != tag else None

    def swap(self, _key, content, revision):
        """Replace the value; lose the answer to it if the test asked so."""
        if self.is_down:
            raise StoreUnreachableError('down')
        current = self.history[-1].revision if self.history else 0
        if revision != current:
            raise ConflictError('conflict')
        self.history.append(StoredValue(content, current + 1, content.decode()))
        if self.loses_answer:
            self.loses_answer = False
            raise StoreOutcomeUnknownError('lost')
        return self.history[-1]


class FakePeers:
    """The peer streams of one node of a simulated fleet."""

    def __init__(self, fleet, name):
        """Create the node's side without streams."""
        self.fleet = fleet
        self.name = name
        self.targets = {}

    def set_targets(self, targets):  # noqa: WPS615 the port's name
        """Set the nodes to which this one dials streams."""
        self.targets = dict(targets)

    def list_connected(self):
        """Return the reachable peers to which one of both ends dials."""
        return tuple(
            other
            for other, node in self.fleet.nodes.items()
            if self.fleet.can_reach(self.name, other)
            and (
                other in self.targets or self.name in node.context.peers.targets
            )
        )

    def list_observers(self):
        """Return no processes: the fleet has entry VMs only."""
        return ()

    def call(self, vm, message, _timeout):
        """Run the other node's handler; lose its reply if the test asked so."""
        if vm not in self.list_connected():
            raise PeerError('no stream')
        reply = self.fleet.nodes[vm].handle(self.name, message)
        if self.fleet.loses_reply:
            self.fleet.loses_reply = False
            raise PeerError('lost', 'peer-silent')
        return reply

    def send_one_way(self, vm, message):
        """Queue the message; deliver it now unless delays are on."""
        if vm not in self.list_connected():
            return False
        self.fleet.queue.append((self.name, vm, message))
        if not self.fleet.delays_casts:
            self.fleet.deliver()
        return True


class SimulatedFleet:
    """Nodes, a store, and the faults between them.

    Attributes
    ----------
    partition : frozenset of str
        Nodes that can't reach the nodes outside of the set.
    without_store : frozenset of str
        Nodes that can't reach the store.
    paused : set of str
        Nodes that neither run nor answer.
    watcher_due : dict of str to float
        Time of each node's next watcher step.

    """

    def __init__(self):
        """Start all nodes, without faults."""
        self.clock = FakeClock()
        self.store = FakeStore()
        self.queue = []
        self.nodes = {}
        self.watcher_due = {}
        self.partition = frozenset()
        self.without_store = frozenset()
        self.paused = set()
        self.delays_casts = False
        self.loses_reply = False
        self.starts = 0
        for name in VMS:
            self.start(name)

    def start(self, name):
        """Start a node, or restart it with all its state lost."""
        self.starts += 1
        identity = PeerIdentity(name, f'i{self.starts}')
        context = MembershipContext(
            identity,
            VMS[name].domain,
            FakePeers(self, name),
            self.clock,
            store=ReachableStore(self, name),
            seeds={vm: ('', 0) for vm in VMS},
            fan_out=FanOut(own_domain=1, per_other_domain=1),
            rng=random.Random(self.starts),
        )
        self.nodes[name] = Membership(context, read_statement)
        self.watcher_due[name] = self.clock.now
        self.paused.discard(name)

    def heal(self):
        """End all faults except pauses."""
        self.partition = frozenset()
        self.without_store = frozenset()
        self.delays_casts = False
        self.loses_reply = False
        self.store.is_down = False
        self.store.lag = 0

    def can_reach(self, one, other):
        """Return whether two different nodes can exchange messages."""
        is_partitioned = (one in self.partition) != (other in self.partition)
        return (
            one != other
            and not is_partitioned
            and not self.paused & {one, other}
        )

    def deliver(self):
        """Deliver queued casts; drop those whose nodes can't talk by now."""
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            if self.can_reach(sender, receiver):
                self.nodes[receiver].handle(sender, message)

    def run(self, rounds=1):
        """Advance the time, and run what is due on every running node."""
        for _ in range(rounds):
            self.clock.sleep(ROUND_SECONDS)
            for name in self.nodes.keys() - self.paused:
                self._step(name)
            self.deliver()

    def _step(self, name):
        node = self.nodes[name]
        node.heartbeat_sender.step()
        if self.clock.now >= self.watcher_due[name]:
            self.watcher_due[name] = self.clock.now + node.watcher.step()
        node.fetcher.step()


class ReachableStore:
    """The store as seen by one node, which may be cut off from it."""

    def __init__(self, fleet, name):
        """Create the node's view."""
        self.fleet = fleet
        self.name = name

    def read(self, key):
        """Read the value if the store can be reached."""
        return self._get_store().read(key)

    def watch(self, key, revision, timeout, tag):
        """Watch the value if the store can be reached."""
        return self._get_store().watch(key, revision, timeout, tag)

    def _get_store(self):
        if self.name in self.fleet.without_store:
            raise StoreUnreachableError('cut')
        return self.fleet.store
