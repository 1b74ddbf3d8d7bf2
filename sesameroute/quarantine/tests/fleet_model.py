"""Model of nodes, backend servers and callers, for rates of wrong decisions."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from functools import partial
from zlib import crc32

from sesameroute.exceptions import RequestError
from sesameroute.quarantine import (
    ClearanceReport,
    LossReport,
    Quarantine,
    TrialPolicy,
)

MESSAGE_SECONDS = 0.02
_CONTACT_SECONDS = 3.0
_ENOUGH_CRASHES = 3
_MAX_ATTEMPTS = 2
_MAX_LOSSES = 3
_TRIAL_POLICY = TrialPolicy(0.3, is_granted_alone=True, pause=0.3)
_RETURN_SECONDS = 0.3  # after which a caller asks once more
_DOWN_SECONDS = 1.1
_AVOID_SECONDS = 1.0  # in which a node leaves out a server that failed
_SLOTS = 6
_POLL_SECONDS = 0.05
_MAX_WAIT_SECONDS = 0.5  # for a trial; then a request is sent without one
_GIVE_UP_SECONDS = 0.5  # after which a try without an answer is given up
# Share of the tries at a server that has ended silently which are sent on
# connections that seem open.
_SEEMS_OPEN_SHARE = 0.5


@dataclass(eq=False)
class ModelServer:
    """A place for backend servers that follow one another."""

    number: int
    incarnation: int = 0
    is_up: bool = True
    running: dict = field(default_factory=dict)  # by run, in their order

    @property
    def identity(self):
        """Name and incarnation; a new server has a new name."""
        return f'server-{self.number}-{self.incarnation}', self.incarnation


@dataclass(eq=False)
class Run:
    """One attempt at a server, of a request with a fixed path."""

    node: int
    path: str
    attempt: int
    is_returning: bool
    sent: object
    sent_at: float


class ModelPeers:
    """Delivers messages to the other nodes after a delay."""

    def __init__(self, model, number):
        """Store the model and the number of the own node."""
        self.model = model
        self.number = number

    def list_connected(self):
        """Return the names of all nodes."""
        return tuple(node.vm for node in self.model.nodes)

    def call(self, name, message, _seconds):
        """Return a node's reply."""
        return self.model.nodes[int(name)].grant_trial(message)

    def send_one_way(self, name, message):
        """Deliver a message later."""
        self.model.schedule(MESSAGE_SECONDS, self._deliver, name, message)

    def _deliver(self, name, message):
        receiver = self.model.nodes[int(name)].evidence
        sender = str(self.number)
        if isinstance(message, LossReport):
            receiver.handle_loss_report(message, sender)
        elif isinstance(message, ClearanceReport):
            receiver.handle_clearance(message, sender)
        else:
            receiver.settle_tries(message.server)


class FleetModel:
    """Nodes that send requests with some paths to servers that may end.

    Parameters
    ----------
    seed : int
        Of all random draws.
    rates : dict of str to float
        Requests a second by path.
    compute_harm : callable
        Gets the time, the path and the number of the server's place; returns
        the probability that the request ends the server.

    Attributes
    ----------
    now : float
        Seconds since the start.
    held : Counter
        Refusals in quarantine by path.
    crashes, arrivals : dict of str to list of float
        Times by the path that ended a server, or that reached one.
    waits, answered : Counter
        Waits for another trial, and answers, by path.
    is_silent : bool
        Whether servers end without closing their connections.

    """

    def __init__(self, seed, rates, compute_harm, *, nodes=7, servers=14):
        """Start with all servers up."""
        self.draw = random.Random(seed)
        self.rates = rates
        self.compute_harm = compute_harm
        self.now = 0
        self.held = Counter()
        self.waits = Counter()
        self.answered = Counter()
        self.is_silent = False
        self.crashes = defaultdict(list)
        self.arrivals = defaultdict(list)
        self.servers = [ModelServer(number) for number in range(servers)]
        self.nodes = [
            Quarantine(
                str(number),
                self,
                ModelPeers(self, number),
                _MAX_LOSSES,
                _TRIAL_POLICY,
            )
            for number in range(nodes)
        ]
        self._avoided = defaultdict(float)
        self._events = []
        self._order = itertools.count()
        for path in rates:
            self._schedule_next(path)

    def read_monotonic(self):
        """Return the time, as a clock."""
        return self.now + 1000

    def schedule(self, seconds, action, *arguments):
        """Call an action after some time."""
        event = (
            self.now + seconds,
            next(self._order),
            partial(action, *arguments),
        )
        heapq.heappush(self._events, event)

    def play(self, seconds):
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def count_late_retries(self, path):
        """Return how often a path came too late after it had ended enough."""
        crashes = self.crashes[path]
        if len(crashes) < _ENOUGH_CRASHES:
            return 0
        since = crashes[_ENOUGH_CRASHES - 1] + _CONTACT_SECONDS
        return sum(when >= since for when in self.arrivals[path])

    def end(self, *servers):
        """End servers at the same moment, with all requests that they run."""
        ended = [each for each in servers if each.is_up]
        lost = sorted(
            itertools.chain.from_iterable(each.running for each in ended),
            key=lambda run: run.path,
        )
        for server in ended:
            server.is_up = False
            server.running.clear()
            self.schedule(_DOWN_SECONDS, self._start, server)
        if self.is_silent:
            for run in lost:
                self._wait_in_vain(run)
            return
        for run in lost:
            self.nodes[run.node].evidence.observe_loss(run.sent)
        for run in lost:
            self._repeat(run)

    def _start(self, server):
        server.incarnation += 1
        server.is_up = True

    def _schedule_next(self, path):
        seconds = self.draw.expovariate(self.rates[path])
        self.schedule(seconds, self._arrive, path)

    def _arrive(self, path):
        self._schedule_next(path)
        node = self.draw.randrange(len(self.nodes))
        self._send(node, path, 1, is_returning=False)

    def _send(self, node, path, attempt, *, is_returning, waited=0):
        try:
            self.nodes[node].check_attempt(path)
        except RequestError as error:
            if error.code == 'quarantined':
                self.held[path] += 1
                return
            if waited < _MAX_WAIT_SECONDS:
                self.waits[path] += 1
                self.schedule(
                    _POLL_SECONDS,
                    lambda: self._send(
                        node,
                        path,
                        attempt,
                        is_returning=is_returning,
                        waited=waited + _POLL_SECONDS,
                    ),
                )
                return
        server = self._choose(node, path)
        if server is None:
            return
        sent = self.nodes[node].evidence.begin_try(path, 's', server.identity)
        run = Run(node, path, attempt, is_returning, sent, self.now)
        if not server.is_up:
            self._wait_in_vain(run)
            return
        self.arrivals[path].append(self.now)
        server.running[run] = True
        seconds = self.draw.uniform(0.06, 0.16)
        self.schedule(seconds, self._finish, server, run)

    def _choose(self, node, path):
        """Return the first free server in the path's order of preference."""
        for server in sorted(self.servers, key=partial(_rank, path)):
            if self._avoided[node, server.number] > self.now:
                continue
            if self._seems_up(server):
                return server
            if not server.is_up:
                self._avoided[node, server.number] = self.now + _AVOID_SECONDS
                self.nodes[node].evidence.observe_end(server.identity)
            elif len(server.running) < _SLOTS:
                return server
        return None

    def _seems_up(self, server):
        """Whether a try is sent on a connection that its server has left."""
        return (
            self.is_silent
            and not server.is_up
            and self.draw.random() < _SEEMS_OPEN_SHARE
        )

    def _wait_in_vain(self, run):
        """Give a try up after some time, and send it again."""

        def give_up():
            self.nodes[run.node].evidence.observe_give_up(run.sent)
            self._repeat(run)

        self.schedule(run.sent_at + _GIVE_UP_SECONDS - self.now, give_up)

    def _finish(self, server, run):
        if run not in server.running:
            return
        harm = self.compute_harm(self.now, run.path, server.number)
        if self.draw.random() < harm:
            self.crashes[run.path].append(self.now)
            self.end(server)
            return
        server.running.pop(run)
        self.answered[run.path] += 1
        self.nodes[run.node].evidence.observe_answer(run.sent)

    def _repeat(self, run):
        """Send again at once, or after the caller has come back."""
        if run.attempt < _MAX_ATTEMPTS:
            self._send(
                run.node,
                run.path,
                run.attempt + 1,
                is_returning=run.is_returning,
            )
        elif not run.is_returning:
            self.schedule(
                _RETURN_SECONDS,
                lambda: self._send(run.node, run.path, 1, is_returning=True),
            )


def _rank(path, server):
    """Return a hash that is lowest for the server that a path prefers."""
    return crc32(f'{path} {server.number}'.encode(), server.number)
