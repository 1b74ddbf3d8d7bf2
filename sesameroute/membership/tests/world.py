"""A world without threads: real membership over fake peers and store."""

import random
from types import MappingProxyType

from sesameroute.exceptions import (
    ConflictError,
    InputError,
    PeerError,
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.membership import FanOut, Membership, Surroundings
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
    """Return a statement unless the text is bad."""
    if text == 'bad':
        raise InputError('bad statement')
    places = Places({'a': ('a1',), 'b': ('b1',), 'c': ('c1',)}, 'a', 1, 12, 8)
    return Statement(text, places, Policy(), VMS, {}, {}, {})


class FakeClock:
    """Time that a test moves."""

    def __init__(self):
        """Start at an arbitrary time."""
        self.now = 1000.0

    def read_monotonic(self):
        """Return the time set."""
        return self.now

    def read_wall(self):
        """Return the time set."""
        return self.now

    def sleep(self, seconds):
        """Move the time."""
        self.now += seconds


class FakeStore:
    """A store with outages, lost answers, lagging reads and old backups."""

    def __init__(self):
        """Start empty."""
        self.history = []
        self.is_down = False
        self.loses_answer = False
        self.lag = 0
        self.calls = 0

    def read(self, _key):
        """Return the value, or an older one while reads lag."""
        self.calls += 1
        if self.is_down:
            raise StoreDownError('down')
        place = len(self.history) - 1 - self.lag
        return self.history[place] if place >= 0 else None

    def watch(self, key, revision, _timeout):
        """Return a newer value if there is one."""
        found = self.read(key)
        return found if found and found.revision > revision else None

    def swap(self, _key, content, revision):
        """Replace the value; the answer may get lost."""
        if self.is_down:
            raise StoreDownError('down')
        current = self.history[-1].revision if self.history else 0
        if revision != current:
            raise ConflictError('conflict')
        self.history.append(StoredValue(content, current + 1))
        if self.loses_answer:
            self.loses_answer = False
            raise StoreUnknownError('lost')
        return self.history[-1]


class FakePeers:
    """Peer streams of one node, through the world."""

    def __init__(self, world, name):
        """Store the world; no targets yet."""
        self.world = world
        self.name = name
        self.targets = {}

    def set_targets(self, targets):  # noqa: WPS615 the port's name
        """Store whom to be connected to."""
        self.targets = dict(targets)

    def list_connected(self):
        """Return peers that either end dials and that can be reached."""
        return tuple(
            other
            for other, node in self.world.nodes.items()
            if self.world.can_reach(self.name, other)
            and (
                other in self.targets or self.name in node.around.peers.targets
            )
        )

    def list_observers(self):
        """Return nobody."""
        return ()

    def call(self, vm, message, _timeout):
        """Run the handler of the other node."""
        if vm not in self.list_connected():
            raise PeerError('no stream')
        reply = self.world.nodes[vm].handle(self.name, message)
        if self.world.loses_reply:
            self.world.loses_reply = False
            raise PeerError('lost', 'peer-silent')
        return reply

    def cast(self, vm, message):
        """Hand the message over now, or late when the world says so."""
        if vm not in self.list_connected():
            return False
        self.world.queue.append((self.name, vm, message))
        if not self.world.is_late:
            self.world.deliver()
        return True


class World:
    """Nodes, cuts and pauses."""

    def __init__(self):
        """Start all nodes."""
        self.clock = FakeClock()
        self.store = FakeStore()
        self.queue = []
        self.nodes = {}
        self.due = {}
        self.cut = frozenset()
        self.cut_from_store = frozenset()
        self.paused = set()
        self.is_late = False
        self.loses_reply = False
        self.starts = 0
        for name in VMS:
            self.start(name)

    def start(self, name):
        """Start a node, or start it again with nothing kept."""
        self.starts += 1
        identity = PeerIdentity(name, f'i{self.starts}')
        around = Surroundings(
            identity,
            VMS[name].domain,
            FakePeers(self, name),
            self.clock,
            store=NodeStore(self, name),
            seeds={vm: ('', 0) for vm in VMS},
            fan_out=FanOut(own=1, others=1),
            rng=random.Random(self.starts),
        )
        self.nodes[name] = Membership(around, read_statement)
        self.due[name] = self.clock.now
        self.paused.discard(name)

    def heal(self):
        """End every fault but pauses."""
        self.cut = frozenset()
        self.cut_from_store = frozenset()
        self.is_late = False
        self.loses_reply = False
        self.store.is_down = False
        self.store.lag = 0

    def can_reach(self, one, other):
        """Return whether two different nodes can talk."""
        is_apart = (one in self.cut) != (other in self.cut)
        return one != other and not is_apart and not self.paused & {one, other}

    def deliver(self):
        """Deliver what was cast, unless its way is cut by now."""
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            if self.can_reach(sender, receiver):
                self.nodes[receiver].handle(sender, message)

    def run(self, rounds=1):
        """Let time pass and every node do what is due."""
        for _ in range(rounds):
            self.clock.sleep(ROUND_SECONDS)
            for name in self.nodes.keys() - self.paused:
                self._step(name)
            self.deliver()

    def _step(self, name):
        node = self.nodes[name]
        node.spreader.step()
        if self.clock.now >= self.due[name]:
            self.due[name] = self.clock.now + node.watcher.step()
        node.fetcher.step()


class NodeStore:
    """The store as one node reaches it."""

    def __init__(self, world, name):
        """Store the world."""
        self.world = world
        self.name = name

    def read(self, key):
        """Read through the cut."""
        return self._reach().read(key)

    def watch(self, key, revision, timeout):
        """Watch through the cut."""
        return self._reach().watch(key, revision, timeout)

    def _reach(self):
        if self.name in self.world.cut_from_store:
            raise StoreDownError('cut')
        return self.world.store
