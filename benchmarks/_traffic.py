"""Simulated callers in all failure domains, with cached look-ups."""

import random
from dataclasses import replace
from functools import partial

from benchmarks._forwarding import Forwarding
from benchmarks._records import (
    CallerRequest,
    ForwardingLog,
    RequestStatistics,
    SimulatedServer,
)
from sesameroute.routing import Lookup, LookupEntry
from sesameroute.routing.tests.fleet import Fleet
from sesameroute.statement import Statement

__all__ = ['Traffic']

_MILLISECONDS = 1000  # in a second
_CALLER_GROUPS = 6  # per failure domain, each with its own look-up cache
_MAX_CALLER_RETRIES = 2  # times that a caller sends a refused request again

# Time of expiry in seconds, and the entry VMs to use.
_CachedAnswer = tuple[float, tuple[LookupEntry, ...]]


class Traffic:
    """Sends requests to a fleet from callers in all failure domains.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs.
    rate : float
        Requests per second of all kinds.
    seed : int
        Seed of the arrivals and run times.

    Attributes
    ----------
    servers : dict of str to SimulatedServer
        The backend servers.
    domain_weights : dict of str to float
        Relative number of callers by failure domain.
    ends_at : float
        When the load ends, in seconds.

    """

    def __init__(self, fleet: Fleet, rate: float, seed: int) -> None:
        """Store the arguments; `start` sends requests."""
        self.fleet = fleet
        self.rate = rate
        self.rng = random.Random(seed)
        self.servers = {
            name: SimulatedServer(upstream)
            for name, upstream in fleet.statement.upstreams.items()
        }
        self.forwarding = Forwarding(
            fleet, self.servers, self.rng, self._handle_refusal
        )
        self.domain_weights = dict.fromkeys(fleet.statement.places.domains, 1)
        self.ends_at = 0
        self._cached_answers: dict[tuple, _CachedAnswer] = {}
        self._lookups = {
            vm: Lookup(self._read_statement, members, fleet.schedule_clock)
            for vm, members in fleet.members.items()
        }

    @property
    def statement(self) -> Statement:
        """The statement in force."""
        return self.fleet.statement

    @property
    def statistics(self) -> RequestStatistics:
        """Statistics of request outcomes."""
        return self.forwarding.statistics

    @property
    def log(self) -> ForwardingLog:
        """Requests and answers between entry VMs and backend servers."""
        return self.forwarding.log

    def start(self, seconds: float) -> None:
        """Send requests at random times for some seconds."""
        self.ends_at = self.fleet.schedule.now + seconds
        self._send_next()

    def _send_next(self) -> None:
        schedule = self.fleet.schedule
        if schedule.now >= self.ends_at:
            return
        kinds = list(self.statement.kinds.values())
        caller_request = CallerRequest(
            self.rng.choices(
                kinds, [listed_kind.share for listed_kind in kinds]
            )[0],
            self.rng.choices(*zip(*self.domain_weights.items(), strict=True))[
                0
            ],
            self.rng.randrange(_CALLER_GROUPS),
            schedule.now,
        )
        self.statistics.count_sent(caller_request.kind, schedule.now)
        self._send(caller_request)
        schedule.add(self.rng.expovariate(self.rate), self._send_next)

    def _send(self, caller_request: CallerRequest) -> None:
        for vm in self._order_entries(self._look_up_entries(caller_request)):
            domain = self.statement.vms[vm].domain
            is_cut_off = self.fleet.is_partitioned(
                caller_request.domain, domain
            )
            if vm in self.fleet.nodes and not is_cut_off:
                self.fleet.schedule.add(
                    self.forwarding.network.measure_caller_delay(
                        caller_request.domain, vm
                    ),
                    partial(self.forwarding.receive, caller_request, vm),
                )
                return
        self.statistics.outcomes['no entry'] += 1

    def _look_up_entries(
        self, caller_request: CallerRequest
    ) -> tuple[LookupEntry, ...]:
        now = self.fleet.schedule.now
        key = (
            caller_request.domain,
            caller_request.group,
            caller_request.kind.service,
        )
        expires, entries = self._cached_answers.get(key, (0, ()))
        if expires > now:
            return entries
        lookup = self._find_nearest_lookup(caller_request.domain)
        if lookup is None:
            return entries
        answer = lookup.answer(
            caller_request.kind.service, caller_request.domain
        )
        self._cached_answers[key] = (now + answer.ttl, answer.entries)
        return answer.entries

    def _find_nearest_lookup(self, domain: str) -> Lookup | None:
        places = self.statement.places
        reachable = [
            vm
            for vm in self.statement.vms.values()
            if vm.name in self.fleet.nodes
            and not self.fleet.is_partitioned(domain, vm.domain)
        ]
        if not reachable:
            return None
        nearest = min(
            reachable,
            key=lambda vm: places.measure_delay(domain, vm.domain),
        )
        return self._lookups[nearest.name]

    def _order_entries(
        self, entries: tuple[LookupEntry, ...]
    ) -> tuple[str, ...]:
        weights = [entry.weight for entry in entries]
        names = [entry.vm for entry in entries]
        if not any(weights):
            return tuple(names)
        first = self.rng.choices(names, weights)[0]
        return (first, *(name for name in names if name != first))

    def _handle_refusal(
        self, caller_request: CallerRequest, retry_after: float
    ) -> None:
        retry_at = self.fleet.schedule.now + retry_after
        work_seconds = caller_request.kind.work_ms / _MILLISECONDS
        if (
            caller_request.caller_retries >= _MAX_CALLER_RETRIES
            or retry_at + work_seconds >= caller_request.deadline
        ):
            self.statistics.outcomes['refused'] += 1
            return
        retry = replace(
            caller_request,
            caller_retries=caller_request.caller_retries + 1,
            tried_servers=(),
        )
        self.fleet.schedule.add(retry_after, partial(self._send, retry))

    def _read_statement(self) -> Statement:
        return self.fleet.statement
