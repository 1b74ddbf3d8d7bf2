"""Nodes that move tokens in simulated time, without a network."""

import heapq
import itertools
import random
import threading
from contextlib import ExitStack
from types import SimpleNamespace

from sesameroute.exceptions import PeerError
from sesameroute.node._allowances import FleetAllowances
from sesameroute.tenants import QuotaBounds, Tenant

REFRESH_SECONDS = 0.25
DETECT_SECONDS = 3.5  # age at which a silent node counts as lost
NEAR_SECONDS, FAR_SECONDS = 0.0014, 0.055


class SimulatedFleet:
    """Nodes of several regions, with the code of real ones.

    Attributes
    ----------
    admitted : list of float
        Times at which a request was let through.
    refused : int
        Requests that were not.
    unanswered : int
        Asks that were not answered in time.

    """

    def __init__(self, sizes, tenant, seed=1, bounds=None):
        """Start nodes in as many regions as there are sizes."""
        self.now = 0.0
        self.tenant = tenant
        self.bounds = bounds or QuotaBounds()
        self.random = random.Random(seed)
        self.regions = [f'region-{each}' for each in range(len(sizes))]
        self.admitted = []
        self.refused = 0
        self.unanswered = 0
        self.loss = 0.0
        self.jitter = 0.0
        # Least and most seconds by which a node that is short of processor
        # time handles messages late, and how often a node is so.
        self.lateness = (0.0, 0.0)
        self.late_fraction = 0.0
        self._turn = None
        self._events = []
        self._numbers = itertools.count()
        self.nodes = {}
        for region, size in zip(self.regions, sizes, strict=True):
            for number in range(size):
                name = f'{region}/{number}'
                self.nodes[name] = SimulatedNode(self, name, region)

    def schedule(self, seconds, action):
        """Run an action after some seconds."""
        event = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _number, action = heapq.heappop(self._events)
            action()
        self.now = until

    def cut(self, *groups):
        """Let only nodes of the same group reach each other."""
        for number, group in enumerate(groups):
            for name in group:
                self.nodes[name].side = number

    def load(self, rate, seconds, choose=None):
        """Send requests at random times to nodes that a function chooses."""
        names = list(self.nodes)
        choose = choose or (lambda _now: self.random.choice(names))
        ends = self.now + seconds
        self._plan_request(rate, ends, choose)
        self.run(ends)

    def compute_limit(self):
        """Return the most requests that may run in any window."""
        rate, burst = self.tenant.rate, self.tenant.burst
        allowed = rate * self.bounds.window + burst
        return allowed * (1 + self.bounds.excess) + self.bounds.slack

    def count_most(self):
        """Return the most requests let through in any window."""
        self.admitted.sort()
        most = first = 0
        for last, moment in enumerate(self.admitted):
            while self.admitted[first] <= moment - self.bounds.window:
                first += 1
            most = max(most, last - first + 1)
        return most

    def draw_delay(self, sender, receiver):
        """Return the seconds that a message takes."""
        seconds = (
            NEAR_SECONDS if sender.region == receiver.region else FAR_SECONDS
        )
        seconds += self.random.expovariate(1) * self.jitter
        if receiver.is_short_of_time:
            seconds += self.random.uniform(*self.lateness)
        return seconds

    def wait_for_reply(self, sender, receiver, message, timeout):
        """Let a request wait for the reply of a node; None if it is late."""
        turn = self._turn
        replies = []

        def arrive():
            reply = receiver.allowances.handle(sender.name, message)
            seconds = self.draw_delay(receiver, sender)
            self.schedule(seconds, lambda: end(reply))

        def end(reply=None):
            if not replies:
                replies.append(reply)
                self._turn = turn
                turn.go_on()

        self.schedule(self.draw_delay(sender, receiver), arrive)
        self.schedule(timeout, end)
        turn.pause()
        return replies[0]

    def _plan_request(self, rate, ends, choose):
        def send():
            self._send(choose(self.now))
            self._plan_request(rate, ends, choose)

        seconds = self.random.expovariate(rate)
        if self.now + seconds < ends:
            self.schedule(seconds, send)

    def _send(self, name):
        node = self.nodes[name]
        if not node.is_running:
            return

        def take():
            if node.allowances.take(self.tenant) is None:
                self.admitted.append(self.now)
            else:
                self.refused += 1

        if self.late_fraction:
            self._turn = Turn(take)
            self._turn.go_on()
        else:
            take()


class Turn:
    """A request that waits for replies while simulated time goes on."""

    def __init__(self, action):
        """Start nothing yet."""
        self._action = action
        self._may_run = threading.Semaphore(0)
        self._has_paused = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def go_on(self):
        """Run it until it waits or ends."""
        self._may_run.release()
        self._has_paused.acquire()

    def pause(self):
        """Wait until it goes on; called in its own thread."""
        self._has_paused.release()
        self._may_run.acquire()

    def _run(self):
        self._may_run.acquire()
        with ExitStack() as at_end:
            at_end.callback(self._has_paused.release)
            self._action()


class SimulatedNode:
    """One node; implements what its allowances need of a fleet and peers."""

    def __init__(self, fleet, name, region):
        """Start it."""
        self.world = fleet
        self.name = name
        self.region = region
        self.side = 0
        self.is_running = True
        self.is_older = False  # whether its build knows no allowances
        self.boots = 0
        self.clock_offset = fleet.random.uniform(0, 1e6)
        self.is_short_of_time = False
        self.start()

    @property
    def tenants(self):
        """The tenants of the configuration."""
        return (self.world.tenant,)

    def start(self):
        """Start it, without anything that it had."""
        self.boots += 1
        self.is_running = True
        self.own_state = SimpleNamespace(
            address=self.name,
            region=self.region,
            is_ready=True,
            is_leaving=False,
        )
        self.heard = {}
        self.allowances = FleetAllowances(
            self,
            self,
            SimpleNamespace(
                active_configuration=SimpleNamespace(configuration=self),
                list_regions=lambda: self.world.regions,
            ),
            self,
        )
        self.allowances.ledger.bounds = self.world.bounds
        self.allowances.depots.random = self.world.random
        boot = self.boots
        delay = self.world.random.uniform(0, REFRESH_SECONDS)
        self.world.schedule(delay, lambda: self.refresh(boot))

    def kill(self):
        """End it at once."""
        self.is_running = False

    def freeze(self, seconds):
        """Stop it and wake it later with all that it had."""
        self.is_running = False
        boot = self.boots

        def wake():
            if boot == self.boots:
                self.is_running = True
                self.refresh(boot)

        self.world.schedule(seconds, wake)

    def read_monotonic(self):
        """Return the time on this node's clock."""
        return self.world.now + self.clock_offset

    def list_live(self):
        """Return the states of the nodes heard lately, this one first."""
        oldest = self.world.now - DETECT_SECONDS
        others = self.world.nodes
        return [
            self.own_state,
            *(
                others[name].own_state
                for name, heard_at in self.heard.items()
                if heard_at > oldest and self._reaches(others[name])
            ),
        ]

    def count_known(self):
        """Return the number of nodes that it has heard of."""
        return len(self.heard) + 1

    def refresh(self, boot):
        """Do its periodic work and plan the next."""
        if boot != self.boots or not self.is_running:
            return
        self._draw_load()
        for name, other in self.world.nodes.items():
            if name != self.name and self._reaches(other) and other.is_running:
                self.heard[name] = self.world.now
        self.allowances.refresh()
        self.world.schedule(REFRESH_SECONDS, lambda: self.refresh(boot))

    def call(self, name, message, timeout):
        """Call another node."""
        other = self.world.nodes[name]
        if not (self._reaches(other) and other.is_running):
            raise PeerError(f'{name} is not reached')
        if other.is_older:
            raise PeerError('unknown tag', 'peer-failed')
        if self.world.late_fraction:
            reply = self.world.wait_for_reply(self, other, message, timeout)
            if reply is None:
                self.world.unanswered += 1
                raise PeerError(f'{name} is late', 'peer-silent')
            return reply
        return other.allowances.handle(self.name, message)

    def send_one_way(self, name, message):
        """Send a message that arrives later, or never."""
        other = self.world.nodes[name]
        world = self.world
        if not self._reaches(other) or world.random.random() < world.loss:
            return
        seconds = world.draw_delay(self, other)
        boot = other.boots

        def arrive():
            if boot == other.boots and other.is_running and not other.is_older:
                other.allowances.handle(self.name, message)

        world.schedule(seconds, arrive)

    def _draw_load(self):
        world = self.world
        if world.late_fraction and not world.random.randrange(4):
            chance = world.random.random()
            self.is_short_of_time = chance < world.late_fraction

    def _reaches(self, other):
        return self.side == other.side


def build_fleet(sizes=(10, 10, 11), rate=493.0, burst=493.0, seed=1):
    """Return nodes that have known each other for some seconds."""
    fleet = SimulatedFleet(
        sizes, Tenant('t', frozenset(), rate=rate, burst=burst), seed
    )
    fleet.run(6)
    return fleet
