"""Simulates requests from an entry VM to a backend server and back."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from benchmarks._network import Network
from benchmarks._records import (
    CallerRequest,
    ForwardingLog,
    RequestStatistics,
    SimulatedServer,
)
from sesameroute.ports import Choice, Outcome, OutcomeCode, Request
from sesameroute.routing.tests.fleet import Fleet

__all__ = ['Forwarding']

_MILLISECONDS = 1000  # in a second
# Time until a connection to an unreachable server counts as lost.
_CONNECT_TIMEOUT_SECONDS = 0.3
_MAX_ATTEMPTS = 3  # per request, each on another backend server
# Time that a caller waits after the last attempt has failed.
_RETRY_AFTER_SECONDS = 0.1
# Range of the run times, relative to the mean of the kind.
_MIN_WORK_FACTOR, _MAX_WORK_FACTOR = 0.6, 1.4


@dataclass(frozen=True)
class ForwardedRequest:
    """A request that an entry VM has sent to a backend server.

    Attributes
    ----------
    caller_request : CallerRequest
        The caller's request.
    vm : str
        Name of the entry VM.
    node : object
        Policy of the entry VM's process that forwards the request.
    choice : Choice
        The backend server and its slot.

    """

    caller_request: CallerRequest
    vm: str
    node: Any
    choice: Choice


class Forwarding:
    """Forwards requests from entry VMs to backend servers.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs.
    servers : dict of str to SimulatedServer
        The backend servers.
    rng : random.Random
        Draws the run times of requests.
    handle_refusal : callable
        Takes a refused request and the seconds after which the caller may
        send it again.

    """

    def __init__(
        self,
        fleet: Fleet,
        servers: dict[str, SimulatedServer],
        rng: random.Random,
        handle_refusal: Callable[[CallerRequest, float], None],
    ) -> None:
        """Store the arguments; no request is in flight."""
        self.fleet = fleet
        self.servers = servers
        self.rng = rng
        self.handle_refusal = handle_refusal
        self.network = Network(fleet)
        self.statistics = RequestStatistics()
        self.log = ForwardingLog()

    def receive(self, caller_request: CallerRequest, vm: str) -> None:
        """Handle a request that arrives at an entry VM."""
        node = self.fleet.find_process(vm)
        if node is None:
            self.statistics.outcomes['entry lost'] += 1
            return
        request = Request(
            caller_request.kind,
            'GET',
            '/',
            deadline=caller_request.deadline,
            domain=caller_request.domain,
        )
        waiter = node.submit(request, caller_request.tried_servers)
        waiter.add_done_callback(
            partial(self._handle_choice, caller_request, vm, node)
        )

    def _handle_choice(
        self, caller_request: CallerRequest, vm: str, node: Any, waiter: Any
    ) -> None:
        if waiter.choice is None:
            self.handle_refusal(caller_request, waiter.retry_after)
            return
        forwarded = ForwardedRequest(caller_request, vm, node, waiter.choice)
        entry_region, server_region = self.network.find_regions(
            forwarded.vm, forwarded.choice.upstream
        )
        now = self.fleet.schedule.now
        service = caller_request.kind.service
        self.log.requests.append((now, entry_region, server_region, service))
        self._schedule(
            self.network.measure_delay(forwarded.vm, forwarded.choice.upstream),
            self._arrive_at_server,
            forwarded,
        )

    def _arrive_at_server(self, forwarded: ForwardedRequest) -> None:
        server = self.servers[forwarded.choice.upstream.name]
        if self.network.is_partitioned(forwarded.vm, forwarded.choice.upstream):
            handle_failure = partial(self._handle_failure, forwarded)
            self._schedule(
                _CONNECT_TIMEOUT_SECONDS, handle_failure, OutcomeCode.LOST
            )
        elif server.is_up and server.used_slots < server.upstream.slots:
            self._start_work(forwarded, server)
        else:
            code = OutcomeCode.SHED if server.is_up else OutcomeCode.REFUSED
            delay = self.network.measure_delay(
                forwarded.vm, forwarded.choice.upstream
            )
            self._schedule(
                delay, partial(self._handle_failure, forwarded), code
            )

    def _start_work(
        self, forwarded: ForwardedRequest, server: SimulatedServer
    ) -> None:
        server.used_slots += 1
        server.last_start = self.fleet.schedule.now
        work_seconds = forwarded.caller_request.kind.work_ms / _MILLISECONDS
        work_seconds *= self.rng.uniform(_MIN_WORK_FACTOR, _MAX_WORK_FACTOR)
        work_seconds *= server.measure_slowdown()
        self._schedule(
            work_seconds,
            partial(self._finish_work, work_seconds=work_seconds),
            forwarded,
        )

    def _finish_work(
        self, forwarded: ForwardedRequest, work_seconds: float
    ) -> None:
        server = self.servers[forwarded.choice.upstream.name]
        server.used_slots -= 1
        server.served_requests += 1
        if not server.is_up or self.network.is_partitioned(
            forwarded.vm, forwarded.choice.upstream
        ):
            self._handle_failure(forwarded, OutcomeCode.LOST)
            return
        delay = self.network.measure_delay(
            forwarded.vm, forwarded.choice.upstream
        )
        outcome = Outcome(
            OutcomeCode.ANSWERED,
            work_seconds + 2 * delay,
            self.fleet.report_load(server),
            forwarded.caller_request.kind.answer_bytes,
        )
        self._schedule(
            delay, partial(self._throttle_answer, outcome=outcome), forwarded
        )

    def _throttle_answer(
        self, forwarded: ForwardedRequest, outcome: Outcome
    ) -> None:
        clock = forwarded.node.clock
        slept_before = clock.slept
        forwarded.node.charge_bytes(forwarded.choice, outcome.body_bytes)
        throttle_seconds = clock.slept - slept_before
        self._schedule(
            throttle_seconds,
            partial(self._return_answer, outcome=outcome),
            forwarded,
        )

    def _return_answer(
        self, forwarded: ForwardedRequest, outcome: Outcome
    ) -> None:
        entry_region, server_region = self.network.find_regions(
            forwarded.vm, forwarded.choice.upstream
        )
        now = self.fleet.schedule.now
        size = outcome.body_bytes
        self.log.answers.append((now, server_region, entry_region, size))
        forwarded.node.record_outcome(forwarded.choice, outcome)
        forwarded.node.release(forwarded.choice)
        caller_request = forwarded.caller_request
        if self.fleet.find_process(forwarded.vm) is not forwarded.node:
            self.statistics.outcomes['entry lost'] += 1
            return
        latency = (
            now
            + self.network.measure_caller_delay(
                caller_request.domain, forwarded.vm
            )
            - caller_request.sent_at
        )
        if latency * _MILLISECONDS > caller_request.kind.deadline_ms:
            self.statistics.outcomes['late'] += 1
        else:
            self.statistics.count_answer(
                caller_request.kind, caller_request.sent_at, latency
            )

    def _handle_failure(
        self, forwarded: ForwardedRequest, code: OutcomeCode
    ) -> None:
        forwarded.node.record_outcome(forwarded.choice, Outcome(code))
        forwarded.node.release(forwarded.choice)
        caller_request = forwarded.caller_request
        may_retry = (
            code is not OutcomeCode.LOST or caller_request.kind.idempotent
        )
        tried_servers = (
            *caller_request.tried_servers,
            forwarded.choice.upstream.name,
        )
        if may_retry and len(tried_servers) < _MAX_ATTEMPTS:
            self.receive(
                replace(caller_request, tried_servers=tried_servers),
                forwarded.vm,
            )
        elif may_retry:
            self.handle_refusal(caller_request, _RETRY_AFTER_SECONDS)
        else:
            self.statistics.outcomes['lost'] += 1

    def _schedule(
        self, delay: float, callback: Callable, argument: Any
    ) -> None:
        self.fleet.schedule.add(delay, partial(callback, argument))
