"""Steering of several VMs on one event heap: delays, cuts, pauses, crashes."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sesameroute.routing import SlotSteering
from sesameroute.routing.tests.samples import FixedDigest

HEARTBEAT = 0.25  # seconds
LIVE_AGE = 1  # seconds without contact until a VM is not live
TICK = 0.05  # seconds


@dataclass
class Schedule:
    """A heap of calls to make later."""

    now: float = 0
    calls: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def add(self, delay: float, call: Callable[[], None]) -> None:
        """Call something after some seconds."""
        heapq.heappush(
            self.calls,
            (self.now + delay, next(self.numbers), call),
        )

    def run(self, until: float) -> None:
        """Make all calls up to a time."""
        while self.calls and self.calls[0][0] <= until:
            when, _, call = heapq.heappop(self.calls)
            self.now = when
            call()
        self.now = until


@dataclass
class NodeClock:
    """A clock of one VM that runs fast or slow."""

    schedule: Schedule
    rate: float = 1
    offset: float = 0
    slept: float = 0

    def read_monotonic(self) -> float:
        """Return the VM's time."""
        return self.schedule.now * self.rate + self.offset

    def read_wall(self) -> float:
        """Return the VM's idea of Unix time."""
        return self.read_monotonic()

    def sleep(self, seconds: float) -> None:
        """Note what would have been slept; no test blocks."""
        self.slept += seconds


class NodeMembers:
    """Heartbeats as one VM got them."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.heard = {}
        self.contact = {}

    def list_live(self):
        """Return those heard a short time ago, and this VM."""
        now = self.fleet.schedule.now
        live = (
            vm for vm, when in self.contact.items() if now - when < LIVE_AGE
        )
        return (self.vm, *live)

    def find_digest(self, vm):
        """Return the last digest with its age."""
        if vm not in self.heard:
            return None
        when, headroom = self.heard[vm]
        return FixedDigest(headroom, self.fleet.schedule.now - when)

    def list_leaving(self):
        """Return the names that leave."""
        return self.fleet.leaving


class NodePeers:
    """Streams of one VM; messages take time and are lost in a cut."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.refused = {}

    def call(self, vm, message, timeout):
        """Not used by steering."""
        raise NotImplementedError

    def cast(self, vm, message):
        """Deliver later, unless cut by then."""
        self.fleet.send(
            self.vm,
            vm,
            lambda node: node.handle(self.vm, message),
        )
        return True

    def list_connected(self):
        """Return all VMs."""
        return tuple(self.fleet.nodes)

    def list_refused(self):
        """Return the VMs whose last dial was refused, and when."""
        return self.refused


def build_steering(fleet, vm, clock, rng):
    """Return the steering of a VM."""
    return SlotSteering(
        lambda: fleet.statement,
        vm,
        fleet.members[vm],
        NodePeers(fleet, vm),
        clock,
        rng,
    )


def keep_report(vm, headroom):
    """Leave a report as it is."""
    return headroom


class Fleet:
    """All entry VMs of a statement."""

    def __init__(self, statement, seed=1, rates=None, build=None):
        self.statement = statement
        self.build = build or build_steering
        self.servers = {}
        self.schedule = Schedule()
        self.schedule_clock = NodeClock(self.schedule)
        self.random = random.Random(seed)
        self.rates = rates or {}
        self.nodes = {}
        self.members = {}
        self.paused = {}
        self.cuts = set()
        self.lost = set()
        self.leaving = frozenset()
        self.mangle = keep_report
        self.stalled = False
        for vm in statement.vms:
            self.members[vm] = NodeMembers(self, vm)
        for vm in statement.vms:
            self.boot(vm)

    def find(self, vm):
        """Return the process on a VM, None if it crashed."""
        return self.nodes.get(vm)

    def boot(self, vm):
        """Start a new process on a VM."""
        clock = NodeClock(self.schedule, self.rates.get(vm, 1))
        self.members[vm] = NodeMembers(self, vm)
        rng = random.Random(self.random.random())
        self.nodes[vm] = self.build(self, vm, clock, rng)
        self.paused.pop(vm, None)
        self.lost.discard(vm)
        self._tick(vm, self.nodes[vm])
        self._beat(vm, self.nodes[vm])

    def crash(self, vm):
        """End the process of a VM; its machine refuses connections."""
        self.nodes.pop(vm, None)

    def lose(self, vm):
        """Lose the machine of a VM; it answers nothing any more."""
        self.crash(vm)
        self.lost.add(vm)

    def pause(self, vm):
        """Stop a process without its knowing."""
        self.paused[vm] = []

    def keep(self, vm, call):
        """Keep a call for later if the VM's process is paused."""
        kept = self.paused.get(vm)
        if kept is None:
            return False
        kept.append(call)
        return True

    def resume(self, vm):
        """Let a paused process go on with what arrived meanwhile."""
        for call in self.paused.pop(vm, []):
            self.schedule.add(0, call)

    def cut(self, first, second):
        """Separate two failure domains."""
        self.cuts.add(frozenset((first, second)))

    def is_cut(self, first, second):
        """Return whether two failure domains are separated."""
        return frozenset((first, second)) in self.cuts

    def run(self, seconds):
        """Let time pass."""
        self.schedule.run(self.schedule.now + seconds)

    def send(self, source, target, call):
        """Call a node after the delay from one VM to another."""
        places = self.statement.places
        start = self.statement.vms[source].domain
        end = self.statement.vms[target].domain
        delay = places.measure_delay(start, end) + 0.0002

        def deliver():
            if self.is_cut(start, end) or target not in self.nodes:
                return
            if not self.keep(target, deliver):
                call(self.nodes[target])

        if not self.is_cut(start, end):
            self.schedule.add(delay, deliver)

    def _tick(self, vm, node):
        if self.find(vm) is not node:
            return
        if vm not in self.paused:
            self._dial(vm, node)
            node.tick()
        self.schedule.add(TICK, lambda: self._tick(vm, node))

    def _dial(self, vm, node):
        start = self.statement.vms[vm].domain
        refused = getattr(getattr(node, 'peers', None), 'refused', {})
        for target, entry in self.statement.vms.items():
            is_cut = self.is_cut(start, entry.domain)
            if target not in self.nodes and target not in self.lost:
                if not is_cut and target != vm:
                    refused[target] = node.clock.read_monotonic()

    def _beat(self, vm, node):
        if self.find(vm) is not node:
            return
        self.schedule.add(HEARTBEAT, lambda: self._beat(vm, node))
        if vm in self.paused:
            return
        headroom = self.mangle(vm, dict(node.report_headroom()))
        sent = self.schedule.now
        for target in self.members:
            heard = self.members[target].heard
            beat = (
                heard[vm] if self.stalled and vm in heard else (sent, headroom)
            )
            self.send(vm, target, partial(self._hear, vm, target, beat))

    def _hear(self, vm, target, beat, _node):
        self.members[target].heard[vm] = beat
        self.members[target].contact[vm] = self.schedule.now
