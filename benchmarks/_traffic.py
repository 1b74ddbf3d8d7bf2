"""Callers of all failure domains, with their cached look-ups."""

import random
from dataclasses import replace
from functools import partial

from benchmarks._records import Call, Journal, Server, Tally
from benchmarks._trips import Trips
from sesameroute.routing import Lookup, LookupEntry
from sesameroute.routing.tests.fleet import Fleet
from sesameroute.statement import Statement

__all__ = ['Traffic']

_MILLISECONDS = 1000  # in a second
_GROUPS = 6  # groups of callers a failure domain, each with its own cache
_MAX_RETURNS = 2  # times that a refused caller comes back

# When it expires and the entry VMs that it names.
_KeptAnswer = tuple[float, tuple[LookupEntry, ...]]


class Traffic:
    """Load on a fleet from the callers of all failure domains.

    Parameters
    ----------
    fleet : Fleet
        The entry VMs.
    rate : float
        Requests a second of all kinds.
    seed : int
        Seed of arrivals and work.

    """

    def __init__(self, fleet: Fleet, rate: float, seed: int) -> None:
        """Store the arguments; no request is sent."""
        self.fleet = fleet
        self.rate = rate
        self.rng = random.Random(seed)
        self.servers = {
            name: Server(upstream)
            for name, upstream in fleet.statement.upstreams.items()
        }
        self.trips = Trips(fleet, self.servers, self.rng, self._refuse)
        self.weights = dict.fromkeys(fleet.statement.places.domains, 1)
        self.until = 0
        self._answers: dict[tuple, _KeptAnswer] = {}
        self._lookups = {
            vm: Lookup(self._read_statement, members, fleet.schedule_clock)
            for vm, members in fleet.members.items()
        }

    @property
    def statement(self) -> Statement:
        """The statement in force."""
        return self.fleet.statement

    @property
    def tally(self) -> Tally:
        """What came of the requests."""
        return self.trips.tally

    @property
    def journal(self) -> Journal:
        """What crossed between regions."""
        return self.trips.journal

    def start(self, seconds: float) -> None:
        """Send requests for some seconds."""
        self.until = self.fleet.schedule.now + seconds
        self._arrive()

    def _arrive(self) -> None:
        schedule = self.fleet.schedule
        if schedule.now >= self.until:
            return
        kinds = list(self.statement.kinds.values())
        call = Call(
            self.rng.choices(kinds, [one.share for one in kinds])[0],
            self.rng.choices(*zip(*self.weights.items(), strict=True))[0],
            self.rng.randrange(_GROUPS),
            schedule.now,
        )
        self.tally.count_sent(call.kind, schedule.now)
        self._send(call)
        schedule.add(self.rng.expovariate(self.rate), self._arrive)

    def _send(self, call: Call) -> None:
        for vm in self._order(self._look_up(call)):
            domain = self.statement.vms[vm].domain
            cut = self.fleet.is_cut(call.domain, domain)
            if vm in self.fleet.nodes and not cut:
                self.fleet.schedule.add(
                    self.trips.routes.measure_way(call.domain, vm),
                    partial(self.trips.enter, call, vm),
                )
                return
        self.tally.endings['no entry'] += 1

    def _look_up(self, call: Call) -> tuple[LookupEntry, ...]:
        now = self.fleet.schedule.now
        key = (call.domain, call.group, call.kind.service)
        expires, entries = self._answers.get(key, (0, ()))
        if expires > now:
            return entries
        lookup = self._find_lookup(call.domain)
        if lookup is None:
            return entries
        answer = lookup.answer(call.kind.service, call.domain)
        self._answers[key] = (now + answer.ttl, answer.entries)
        return answer.entries

    def _find_lookup(self, domain: str) -> Lookup | None:
        places = self.statement.places
        reachable = [
            vm
            for vm in self.statement.vms.values()
            if vm.name in self.fleet.nodes
            and not self.fleet.is_cut(domain, vm.domain)
        ]
        if not reachable:
            return None
        nearest = min(
            reachable,
            key=lambda vm: places.measure_delay(domain, vm.domain),
        )
        return self._lookups[nearest.name]

    def _order(self, entries: tuple[LookupEntry, ...]) -> tuple[str, ...]:
        weights = [entry.weight for entry in entries]
        names = [entry.vm for entry in entries]
        if not any(weights):
            return tuple(names)
        first = self.rng.choices(names, weights)[0]
        return (first, *(name for name in names if name != first))

    def _refuse(self, call: Call, retry_after: float) -> None:
        back = self.fleet.schedule.now + retry_after
        work = call.kind.work_ms / _MILLISECONDS
        if call.returns >= _MAX_RETURNS or back + work >= call.deadline:
            self.tally.endings['refused'] += 1
            return
        again = replace(call, returns=call.returns + 1, tries=())
        self.fleet.schedule.add(retry_after, partial(self._send, again))

    def _read_statement(self) -> Statement:
        return self.fleet.statement
