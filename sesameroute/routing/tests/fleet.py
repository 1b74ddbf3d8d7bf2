"""Simulated fleet of entry VMs: delays, partitions, pauses, crashes.

All VMs run in one thread, driven by one event queue with simulated time.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sesameroute.routing import SlotSteering
from sesameroute.routing.tests.samples import FixedDigest

HEARTBEAT_SECONDS = 0.25
MAX_SILENCE_SECONDS = 1  # after it a VM does not count as live
TICK_SECONDS = 0.05


@dataclass
class Schedule:
    """Event queue with simulated time in seconds."""

    now: float = 0
    calls: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def add(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay in seconds."""
        heapq.heappush(
            self.calls,
            (self.now + delay, next(self.numbers), call),
        )

    def run(self, until: float) -> None:
        """Make all calls due up to a time."""
        while self.calls and self.calls[0][0] <= until:
            at, _, call = heapq.heappop(self.calls)
            self.now = at
            call()
        self.now = until


@dataclass
class NodeClock:
    """Clock of one VM; `rate` other than 1 makes it drift."""

    schedule: Schedule
    rate: float = 1
    offset: float = 0
    slept: float = 0

    def read_monotonic(self) -> float:
        """Return the VM's monotonic time in seconds."""
        return self.schedule.now * self.rate + self.offset

    def read_wall(self) -> float:
        """Return the VM's Unix time in seconds."""
        return self.read_monotonic()

    def sleep(self, seconds: float) -> None:
        """Add up the sleep time without blocking."""
        self.slept += seconds


class NodeMembers:
    """Membership view of one VM, from the heartbeats it received."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.heartbeats = {}
        self.last_contact = {}

    def list_live(self):
        """Return VMs with recent contact, and this VM."""
        now = self.fleet.schedule.now
        live = (
            vm
            for vm, at in self.last_contact.items()
            if now - at < MAX_SILENCE_SECONDS
        )
        return (self.vm, *live)

    def find_digest(self, vm):
        """Return the last digest with its age."""
        if vm not in self.heartbeats:
            return None
        at, headroom = self.heartbeats[vm]
        return FixedDigest(headroom, self.fleet.schedule.now - at)

    def list_leaving(self):
        """Return the names that are leaving."""
        return self.fleet.leaving


class NodePeers:
    """Streams of one VM; messages are delayed and lost in partitions."""

    def __init__(self, fleet, vm):
        self.fleet = fleet
        self.vm = vm
        self.refused = {}

    def call(self, vm, message, timeout):
        """Fail, since steering makes no calls."""
        raise NotImplementedError

    def send_one_way(self, vm, message):
        """Deliver after the network delay, unless partitioned by then."""
        self.fleet.send(
            self.vm,
            vm,
            lambda node: node.handle(self.vm, message),
        )
        return True

    def list_connected(self):
        """Return all VMs."""
        return tuple(self.fleet.nodes)

    def list_refused_dials(self):
        """Return the VMs that refused the last dial, with its time."""
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


def return_unchanged(vm, headroom):
    """Return the headroom report unchanged."""
    return headroom


class Fleet:
    """All entry VMs of a statement.

    Faults are injected by the methods, by `reports_frozen`, which stops
    headroom reports from being updated, and by `transform_report`, which may
    falsify them.
    """

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
        self.partitions = set()
        self.lost = set()
        self.leaving = frozenset()
        self.transform_report = return_unchanged
        self.reports_frozen = False
        for vm in statement.vms:
            self.members[vm] = NodeMembers(self, vm)
        for vm in statement.vms:
            self.boot(vm)

    def find_process(self, vm):
        """Return the process on a VM, None if it is not running."""
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
        self._send_heartbeat(vm, self.nodes[vm])

    def crash(self, vm):
        """Stop the process of a VM; its machine refuses connections."""
        self.nodes.pop(vm, None)

    def stop_machine(self, vm):
        """Stop the machine of a VM; connections to it time out."""
        self.crash(vm)
        self.lost.add(vm)

    def pause(self, vm):
        """Freeze a process, as a virtual machine pause does."""
        self.paused[vm] = []

    def defer_if_paused(self, vm, call):
        """Queue a call if the VM's process is paused; return whether it is."""
        deferred = self.paused.get(vm)
        if deferred is None:
            return False
        deferred.append(call)
        return True

    def resume(self, vm):
        """Resume a paused process and make the calls queued meanwhile."""
        for call in self.paused.pop(vm, []):
            self.schedule.add(0, call)

    def partition(self, first, second):
        """Partition two failure domains."""
        self.partitions.add(frozenset((first, second)))

    def is_partitioned(self, first, second):
        """Return whether two failure domains are partitioned."""
        return frozenset((first, second)) in self.partitions

    def run(self, seconds):
        """Advance the simulated time by some seconds."""
        self.schedule.run(self.schedule.now + seconds)

    def send(self, source, target, call):
        """Call a node after the network delay between two VMs."""
        places = self.statement.places
        source_domain = self.statement.vms[source].domain
        target_domain = self.statement.vms[target].domain
        delay = places.measure_delay(source_domain, target_domain) + 0.0002

        def deliver():
            if (
                self.is_partitioned(source_domain, target_domain)
                or target not in self.nodes
            ):
                return
            if not self.defer_if_paused(target, deliver):
                call(self.nodes[target])

        if not self.is_partitioned(source_domain, target_domain):
            self.schedule.add(delay, deliver)

    def _tick(self, vm, node):
        if self.find_process(vm) is not node:
            return
        if vm not in self.paused:
            self._record_refused_dials(vm, node)
            node.tick()
        self.schedule.add(TICK_SECONDS, lambda: self._tick(vm, node))

    def _record_refused_dials(self, vm, node):
        source_domain = self.statement.vms[vm].domain
        refused = getattr(getattr(node, 'peers', None), 'refused', {})
        for target, entry in self.statement.vms.items():
            is_partitioned = self.is_partitioned(source_domain, entry.domain)
            if target not in self.nodes and target not in self.lost:
                if not is_partitioned and target != vm:
                    refused[target] = node.clock.read_monotonic()

    def _send_heartbeat(self, vm, node):
        if self.find_process(vm) is not node:
            return
        self.schedule.add(
            HEARTBEAT_SECONDS, lambda: self._send_heartbeat(vm, node)
        )
        if vm in self.paused:
            return
        headroom = self.transform_report(vm, dict(node.report_headroom()))
        sent_at = self.schedule.now
        for target in self.members:
            heartbeats = self.members[target].heartbeats
            heartbeat = (
                heartbeats[vm]
                if self.reports_frozen and vm in heartbeats
                else (sent_at, headroom)
            )
            self.send(
                vm,
                target,
                partial(self._receive_heartbeat, vm, target, heartbeat),
            )

    def _receive_heartbeat(self, vm, target, heartbeat, _node):
        self.members[target].heartbeats[vm] = heartbeat
        self.members[target].last_contact[vm] = self.schedule.now
