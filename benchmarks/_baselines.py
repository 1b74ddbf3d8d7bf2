"""Simple steering policies, for comparison with the real one."""

import random
from types import SimpleNamespace

from sesameroute.limits import WaitingRequest, WaitQueue, compute_max_wait
from sesameroute.ports import Choice, Outcome, OutcomeCode, Request
from sesameroute.routing import is_drained, rank_names
from sesameroute.statement import Statement, Upstream

__all__ = ['BetterOfTwo', 'FixedShares', 'Planner', 'RandomChoice']

_MILLISECONDS = 1000  # in a second
_MAX_QUEUED_REQUESTS = 256
_RETRY_AFTER_SECONDS = 0.1


class BaselinePolicy:
    """Base class of the simple policies; has the interface of the steering.

    Parameters
    ----------
    fleet : Fleet
        The fleet of this VM, which has the statement and the clock.
    vm : str
        Name of this VM.
    shared : dict
        State that all VMs of the fleet share; only the planner uses it.
    rng : random.Random
        Source of the random choices.

    """

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Store the arguments."""
        self.fleet = fleet
        self.vm = vm
        self.shared = shared
        self.rng = rng
        self.clock = fleet.schedule_clock
        self.used_slots: dict[str, int] = {}
        self.reported_loads: dict[str, float] = {}

    @property
    def statement(self) -> Statement:
        """The statement in force."""
        return self.fleet.statement

    def submit(self, request: Request, exclude=()) -> WaitingRequest:
        """Choose a backend server or refuse the request, both at once."""
        now = self.fleet.schedule.now
        waiter = WaitingRequest(request, exclude, now, now)
        upstream = self.choose_upstream(request, exclude)
        if upstream is None:
            waiter.refuse(_RETRY_AFTER_SECONDS * (1 + self.rng.random()))
        else:
            waiter.assign(self.occupy_slot(upstream))
        return waiter

    def choose_upstream(self, request: Request, exclude) -> Upstream | None:
        """Return a backend server, None if there is none to choose."""
        raise NotImplementedError

    def occupy_slot(self, upstream: Upstream) -> Choice:
        """Return the choice of a server and count the request."""
        self.used_slots[upstream.name] = (
            self.used_slots.get(upstream.name, 0) + 1
        )
        return Choice(upstream, 0)

    def record_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Store the reported load; a failed server counts as full."""
        if outcome.load is not None:
            self.reported_loads[choice.upstream.name] = outcome.load
        elif outcome.code is not OutcomeCode.ANSWERED:
            self.reported_loads[choice.upstream.name] = 1

    def release(self, choice: Choice) -> None:
        """Count a request as ended."""
        self.used_slots[choice.upstream.name] -= 1

    def charge_bytes(self, choice: Choice, body_bytes: int) -> None:
        """Do nothing: the simple policies ignore link caps."""

    def report_headroom(self) -> dict:
        """Return an empty report."""
        return {}

    def tick(self) -> None:
        """Do nothing: no request waits."""

    def list_undrained(self, service: str, exclude=()) -> list[Upstream]:
        """Return the backend servers that are not drained."""
        return [
            candidate
            for candidate in self.statement.list_upstreams(service)
            if candidate.name not in exclude
            and not is_drained(self.statement, candidate.name, candidate.domain)
        ]

    def measure_delay(self, upstream: Upstream) -> float:
        """Return the delay to a backend server in seconds."""
        domain = self.statement.vms[self.vm].domain
        return self.statement.places.measure_delay(domain, upstream.domain)


class RandomChoice(BaselinePolicy):
    """Chooses a random backend server, whatever its load."""

    def choose_upstream(self, request: Request, exclude) -> Upstream | None:
        """Return a random backend server."""
        candidates = self.list_undrained(request.kind.service, exclude)
        return self.rng.choice(candidates) if candidates else None


class BetterOfTwo(BaselinePolicy):
    """Chooses the less loaded of two random servers of the region.

    Full servers shed requests; the third attempt may leave the region.
    """

    def choose_upstream(self, request: Request, exclude) -> Upstream | None:
        """Return the one of two servers with the lower known load."""
        candidates = self.list_undrained(request.kind.service, exclude)
        places = self.statement.places
        domain = self.statement.vms[self.vm].domain
        region = places.find_region(domain)
        same_region = [
            candidate
            for candidate in candidates
            if places.find_region(candidate.domain) == region
        ]
        if same_region and len(exclude) < 2:
            candidates = same_region
        if not candidates:
            return None
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=self._measure_load)

    def _measure_load(self, upstream: Upstream) -> float:
        own_load = self.used_slots.get(upstream.name, 0) / upstream.slots
        return own_load + self.reported_loads.get(upstream.name, 0)


class QueueingPolicy(BaselinePolicy):
    """Base class of policies that count slots and queue requests."""

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Store the arguments; no request waits."""
        super().__init__(fleet, vm, shared, rng)
        self.queues: dict[str, WaitQueue] = {}

    def submit(self, request: Request, exclude=()) -> WaitingRequest:
        """Choose a backend server at once or queue the request."""
        now = self.fleet.schedule.now
        max_wait = self.statement.policy.queue_ms / _MILLISECONDS
        waiter = WaitingRequest(
            request,
            exclude,
            now,
            now + compute_max_wait(request, now, max_wait),
        )
        queue = self.find_queue(request.kind.service)
        rejected = queue.push(waiter)
        if rejected:
            rejected.refuse(_RETRY_AFTER_SECONDS)
        self.serve_queue(request.kind.service)
        return waiter

    def find_queue(self, service: str) -> WaitQueue:
        """Return the queue of a service, created on first use."""
        return self.queues.setdefault(service, WaitQueue(_MAX_QUEUED_REQUESTS))

    def serve_queue(self, service: str) -> None:
        """Assign free slots and refuse requests that waited too long."""
        queue = self.find_queue(service)
        for expired in queue.pop_expired(self.fleet.schedule.now):
            expired.refuse(_RETRY_AFTER_SECONDS)
        for waiter in tuple(queue.waiting_):
            upstream = self.choose_upstream(waiter.request, waiter.exclude)
            if upstream is None:
                return
            queue.remove(waiter)
            waiter.assign(self.occupy_slot(upstream))

    def release(self, choice: Choice) -> None:
        """Free the slot and assign it to the next request."""
        super().release(choice)
        self.serve_queue(choice.upstream.service)

    def tick(self) -> None:
        """Assign free slots and refuse requests that waited too long."""
        for service in tuple(self.queues):
            self.serve_queue(service)


class FixedShares(QueueingPolicy):
    """Gives each VM a fixed part of the slots of every backend server."""

    def choose_upstream(self, request: Request, exclude) -> Upstream | None:
        """Return the nearest server with a free slot of this VM's part."""
        free = [
            candidate
            for candidate in self.list_undrained(request.kind.service, exclude)
            if self.used_slots.get(candidate.name, 0)
            < self._count_own_slots(candidate)
        ]
        return min(free, key=self.measure_delay, default=None)

    def _count_own_slots(self, upstream: Upstream) -> int:
        ranked_vms = rank_names(upstream.name, self.statement.vms)
        position = ranked_vms.index(self.vm)
        return sum(
            slot % len(ranked_vms) == position for slot in range(upstream.slots)
        )


class Planner(QueueingPolicy):
    """Knows all slots, faults and waiting requests without delay."""

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Store the arguments and share the state with the other VMs."""
        super().__init__(fleet, vm, shared, rng)
        self.used_slots = shared.setdefault('used', {})
        self.nodes = shared.setdefault('nodes', {})
        self.nodes[vm] = self

    def choose_upstream(self, request: Request, exclude) -> Upstream | None:
        """Return the nearest reachable server with a free slot."""
        free = [
            candidate
            for candidate in self.list_undrained(request.kind.service, exclude)
            if self._count_free_slots(candidate) > 0
        ]
        return min(free, key=self.measure_delay, default=None)

    def release(self, choice: Choice) -> None:
        """Free the slot; the nearest VM may assign it first."""
        self.used_slots[choice.upstream.name] -= 1
        service = choice.upstream.service
        for vm in self._rank_nodes(choice.upstream):
            self.nodes[vm].serve_queue(service)

    def _rank_nodes(self, upstream: Upstream) -> list[str]:
        live_vms = [vm for vm in self.nodes if vm in self.fleet.nodes]
        return sorted(
            live_vms,
            key=lambda vm: self.nodes[vm].measure_delay(upstream),
        )

    def _count_free_slots(self, upstream: Upstream) -> int:
        server = self.fleet.servers.get(
            upstream.name,
            SimpleNamespace(is_up=True),
        )
        domain = self.statement.vms[self.vm].domain
        if not server.is_up or self.fleet.is_partitioned(
            domain, upstream.domain
        ):
            return 0
        return upstream.slots - self.used_slots.get(upstream.name, 0)
