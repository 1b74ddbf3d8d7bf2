"""Requests from an entry VM to a backend server and back."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from benchmarks._records import Call, Journal, Server, Tally
from benchmarks._routes import Routes
from sesameroute.ports import Choice, Outcome, OutcomeCode, Request
from sesameroute.routing.tests.fleet import Fleet

__all__ = ['Trips']

_MILLISECONDS = 1000  # in a second
_CONNECT_TIMEOUT = 0.3  # seconds until an unreachable server counts as lost
_MAX_TRIES = 3  # backend servers that one request is sent to
_RETRY_AFTER = 0.1  # seconds, after the last try failed
_LEAST_WORK, _MOST_WORK = 0.6, 1.4  # of the usual time


@dataclass(frozen=True)
class Trip:
    """A request that an entry VM has sent to a backend server."""

    call: Call
    vm: str
    node: Any
    choice: Choice


class Trips:
    """Carries requests through entry VMs.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs.
    servers : dict of str to Server
        The backend servers.
    rng : random.Random
        Draws the times of work.
    refuse : callable
        Takes a call and the seconds after which it may come back.

    """

    def __init__(
        self,
        fleet: Fleet,
        servers: dict[str, Server],
        rng: random.Random,
        refuse: Callable[[Call, float], None],
    ) -> None:
        """Store the arguments; nothing is on its way."""
        self.fleet = fleet
        self.servers = servers
        self.rng = rng
        self.refuse = refuse
        self.routes = Routes(fleet)
        self.tally = Tally()
        self.journal = Journal()

    def enter(self, call: Call, vm: str) -> None:
        """Let a request arrive at an entry VM."""
        node = self.fleet.find(vm)
        if node is None:
            self.tally.endings['entry lost'] += 1
            return
        request = Request(
            call.kind,
            'GET',
            '/',
            deadline=call.deadline,
            domain=call.domain,
        )
        waiter = node.submit(request, call.tries)
        waiter.listen(partial(self._decide, call, vm, node))

    def _decide(self, call: Call, vm: str, node: Any, waiter: Any) -> None:
        if waiter.choice is None:
            self.refuse(call, waiter.retry_after)
            return
        trip = Trip(call, vm, node, waiter.choice)
        source, target = self.routes.find_regions(trip.vm, trip.choice.upstream)
        now = self.fleet.schedule.now
        service = call.kind.service
        self.journal.moved.append((now, source, target, service))
        self._later(
            self.routes.measure_delay(trip.vm, trip.choice.upstream),
            self._serve,
            trip,
        )

    def _serve(self, trip: Trip) -> None:
        server = self.servers[trip.choice.upstream.name]
        if self.routes.is_cut(trip.vm, trip.choice.upstream):
            fail = partial(self._fail, trip)
            self._later(_CONNECT_TIMEOUT, fail, OutcomeCode.LOST)
        elif server.up and server.used < server.upstream.slots:
            self._work(trip, server)
        else:
            code = OutcomeCode.SHED if server.up else OutcomeCode.REFUSED
            delay = self.routes.measure_delay(trip.vm, trip.choice.upstream)
            self._later(delay, partial(self._fail, trip), code)

    def _work(self, trip: Trip, server: Server) -> None:
        server.used += 1
        server.last_start = self.fleet.schedule.now
        work = trip.call.kind.work_ms / _MILLISECONDS
        work *= self.rng.uniform(_LEAST_WORK, _MOST_WORK)
        work *= server.measure_slowness()
        self._later(work, partial(self._finish, work=work), trip)

    def _finish(self, trip: Trip, work: float) -> None:
        server = self.servers[trip.choice.upstream.name]
        server.used -= 1
        server.served += 1
        if not server.up or self.routes.is_cut(trip.vm, trip.choice.upstream):
            self._fail(trip, OutcomeCode.LOST)
            return
        delay = self.routes.measure_delay(trip.vm, trip.choice.upstream)
        outcome = Outcome(
            OutcomeCode.ANSWERED,
            work + 2 * delay,
            self.fleet.report_load(server),
            trip.call.kind.answer_bytes,
        )
        self._later(delay, partial(self._charge, outcome=outcome), trip)

    def _charge(self, trip: Trip, outcome: Outcome) -> None:
        clock = trip.node.clock
        before = clock.slept
        trip.node.charge(trip.choice, outcome.body_bytes)
        wait = clock.slept - before
        self._later(wait, partial(self._answer, outcome=outcome), trip)

    def _answer(self, trip: Trip, outcome: Outcome) -> None:
        source, target = self.routes.find_regions(trip.vm, trip.choice.upstream)
        now = self.fleet.schedule.now
        size = outcome.body_bytes
        self.journal.carried.append((now, target, source, size))
        trip.node.observe(trip.choice, outcome)
        trip.node.release(trip.choice)
        call = trip.call
        if self.fleet.find(trip.vm) is not trip.node:
            self.tally.endings['entry lost'] += 1
            return
        seconds = (
            now + self.routes.measure_way(call.domain, trip.vm) - call.since
        )
        if seconds * _MILLISECONDS > call.kind.deadline_ms:
            self.tally.endings['late'] += 1
        else:
            self.tally.count_answer(call.kind, call.since, seconds)

    def _fail(self, trip: Trip, code: OutcomeCode) -> None:
        trip.node.observe(trip.choice, Outcome(code))
        trip.node.release(trip.choice)
        call = trip.call
        may_retry = code is not OutcomeCode.LOST or call.kind.idempotent
        tries = (*call.tries, trip.choice.upstream.name)
        if may_retry and len(tries) < _MAX_TRIES:
            self.enter(replace(call, tries=tries), trip.vm)
        elif may_retry:
            self.refuse(call, _RETRY_AFTER)
        else:
            self.tally.endings['lost'] += 1

    def _later(self, delay: float, call: Callable, argument: Any) -> None:
        self.fleet.schedule.add(delay, partial(call, argument))
