"""Simple policies to measure the steering against."""

import random
from types import SimpleNamespace

from sesameroute.limits import Waiter, WaitQueue, limit_wait
from sesameroute.ports import Choice, Outcome, OutcomeCode, Request
from sesameroute.routing import is_drained, rank_names
from sesameroute.statement import Statement, Upstream

__all__ = ['BetterOfTwo', 'FixedShares', 'Planner', 'RandomChoice']

_MILLISECONDS = 1000  # in a second
_QUEUE_LIMIT = 256  # requests
_RETRY_AFTER = 0.1  # seconds


class Baseline:
    """What all simple policies have in common.

    Parameters
    ----------
    fleet : Fleet
        The fleet of this VM, for its statement and clock.
    vm : str
        Name of this VM.
    shared : dict
        State that all VMs of the fleet share; only the planner uses it.
    rng : random.Random
        Makes the choices.

    """

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Store the arguments."""
        self.fleet = fleet
        self.vm = vm
        self.shared = shared
        self.rng = rng
        self.clock = fleet.schedule_clock
        self.used: dict[str, int] = {}
        self.loads: dict[str, float] = {}

    @property
    def statement(self) -> Statement:
        """The statement in force."""
        return self.fleet.statement

    def submit(self, request: Request, exclude=()) -> Waiter:
        """Choose at once or refuse."""
        now = self.fleet.schedule.now
        waiter = Waiter(request, exclude, now, now)
        upstream = self.pick(request, exclude)
        if upstream is None:
            waiter.refuse(_RETRY_AFTER * (1 + self.rng.random()))
        else:
            waiter.settle(self.take(upstream))
        return waiter

    def pick(self, request: Request, exclude) -> Upstream | None:
        """Return a backend server or None."""
        raise NotImplementedError

    def take(self, upstream: Upstream) -> Choice:
        """Count the request in."""
        self.used[upstream.name] = self.used.get(upstream.name, 0) + 1
        return Choice(upstream, 0)

    def observe(self, choice: Choice, outcome: Outcome) -> None:
        """Remember the reported load."""
        if outcome.load is not None:
            self.loads[choice.upstream.name] = outcome.load
        elif outcome.code is not OutcomeCode.ANSWERED:
            self.loads[choice.upstream.name] = 1

    def release(self, choice: Choice) -> None:
        """Count the request out."""
        self.used[choice.upstream.name] -= 1

    def charge(self, choice: Choice, body_bytes: int) -> None:
        """Limit nothing."""

    def report_headroom(self) -> dict:
        """Report nothing."""
        return {}

    def tick(self) -> None:
        """Do nothing."""

    def list_open(self, service: str, exclude=()) -> list[Upstream]:
        """Return the backend servers that are not drained."""
        return [
            one
            for one in self.statement.list_upstreams(service)
            if one.name not in exclude
            and not is_drained(self.statement, one.name, one.domain)
        ]

    def measure_delay(self, upstream: Upstream) -> float:
        """Return the delay to a backend server in seconds."""
        domain = self.statement.vms[self.vm].domain
        return self.statement.places.measure_delay(domain, upstream.domain)


class RandomChoice(Baseline):
    """Any backend server, whatever its load."""

    def pick(self, request: Request, exclude) -> Upstream | None:
        """Return any."""
        listed = self.list_open(request.kind.service, exclude)
        return self.rng.choice(listed) if listed else None


class BetterOfTwo(Baseline):
    """The better of two of the region, and shedding by the servers."""

    def pick(self, request: Request, exclude) -> Upstream | None:
        """Return the one of two with the lower known load."""
        listed = self.list_open(request.kind.service, exclude)
        places = self.statement.places
        domain = self.statement.vms[self.vm].domain
        region = places.find_region(domain)
        near = [
            one for one in listed if places.find_region(one.domain) == region
        ]
        if near and len(exclude) < 2:
            listed = near
        if not listed:
            return None
        pair = self.rng.sample(listed, min(2, len(listed)))
        return min(pair, key=self._measure_load)

    def _measure_load(self, upstream: Upstream) -> float:
        mine = self.used.get(upstream.name, 0) / upstream.slots
        return mine + self.loads.get(upstream.name, 0)


class Queued(Baseline):
    """Policies that count slots and let requests wait for them."""

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Store the arguments; nobody waits."""
        super().__init__(fleet, vm, shared, rng)
        self.queues: dict[str, WaitQueue] = {}

    def submit(self, request: Request, exclude=()) -> Waiter:
        """Choose at once or wait."""
        now = self.fleet.schedule.now
        longest = self.statement.policy.queue_ms / _MILLISECONDS
        waiter = Waiter(
            request,
            exclude,
            now,
            now + limit_wait(request, now, longest),
        )
        queue = self.find_queue(request.kind.service)
        loser = queue.offer(waiter)
        if loser:
            loser.refuse(_RETRY_AFTER)
        self.pump(request.kind.service)
        return waiter

    def find_queue(self, service: str) -> WaitQueue:
        """Return the queue of a service."""
        return self.queues.setdefault(service, WaitQueue(_QUEUE_LIMIT))

    def pump(self, service: str) -> None:
        """Hand out free slots and give up those that waited too long."""
        queue = self.find_queue(service)
        for late in queue.pop_late(self.fleet.schedule.now):
            late.refuse(_RETRY_AFTER)
        for waiter in tuple(queue.waiting_):
            upstream = self.pick(waiter.request, waiter.exclude)
            if upstream is None:
                return
            queue.remove(waiter)
            waiter.settle(self.take(upstream))

    def release(self, choice: Choice) -> None:
        """Count the request out and let the next one in."""
        super().release(choice)
        self.pump(choice.upstream.service)

    def tick(self) -> None:
        """Give up those that waited too long."""
        for service in tuple(self.queues):
            self.pump(service)


class FixedShares(Queued):
    """Each VM has its fixed part of every backend server's slots."""

    def pick(self, request: Request, exclude) -> Upstream | None:
        """Return the nearest with a slot of this VM's part."""
        free = [
            one
            for one in self.list_open(request.kind.service, exclude)
            if self.used.get(one.name, 0) < self._count_share(one)
        ]
        return min(free, key=self.measure_delay, default=None)

    def _count_share(self, upstream: Upstream) -> int:
        ranked = rank_names(upstream.name, self.statement.vms)
        place = ranked.index(self.vm)
        return sum(
            slot % len(ranked) == place for slot in range(upstream.slots)
        )


class Planner(Queued):
    """Sees all slots, all faults and all waiting requests at once."""

    def __init__(self, fleet, vm: str, shared: dict, rng: random.Random):
        """Join the other VMs."""
        super().__init__(fleet, vm, shared, rng)
        self.used = shared.setdefault('used', {})
        self.nodes = shared.setdefault('nodes', {})
        self.nodes[vm] = self

    def pick(self, request: Request, exclude) -> Upstream | None:
        """Return the nearest with a free slot that can be reached."""
        free = [
            one
            for one in self.list_open(request.kind.service, exclude)
            if self._count_free(one) > 0
        ]
        return min(free, key=self.measure_delay, default=None)

    def release(self, choice: Choice) -> None:
        """Count the request out and let the worthiest next one in."""
        self.used[choice.upstream.name] -= 1
        service = choice.upstream.service
        for vm in self._rank_nodes(choice.upstream):
            self.nodes[vm].pump(service)

    def _rank_nodes(self, upstream: Upstream) -> list[str]:
        live = [vm for vm in self.nodes if vm in self.fleet.nodes]
        return sorted(
            live,
            key=lambda vm: self.nodes[vm].measure_delay(upstream),
        )

    def _count_free(self, upstream: Upstream) -> int:
        server = self.fleet.servers.get(
            upstream.name,
            SimpleNamespace(up=True),
        )
        domain = self.statement.vms[self.vm].domain
        if not server.up or self.fleet.is_cut(domain, upstream.domain):
            return 0
        return upstream.slots - self.used.get(upstream.name, 0)
