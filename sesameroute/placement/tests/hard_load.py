"""Scenarios of too little room for several kinds of requests and tenants.

Extends the simulation by kinds with a priority and a worth each, tenants,
callers that leave, and callers that come back at once and often.
"""

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, fields

from sesameroute.placement import Grant, Outcome, Release, SlotRequest
from sesameroute.placement.tests.simulation import (
    HIT_RUN_TIME_RATIO,
    Simulation,
)

SERVERS = 12
SLOTS = 3
KEPT_OBJECTS = 24
# Travel to the caller and back, in seconds.
CALLER_SECONDS = 0.004
# Pause of callers that do not keep to their appointment.
ABUSE_SECONDS = 0.03
_FIELDS = frozenset(field.name for field in fields(SlotRequest))
_RELEASE_FIELDS = frozenset(field.name for field in fields(Release))


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request; times in seconds, `rate` per second."""

    name: str
    priority: int
    rate: float
    work: float
    objective: float
    timeout: float
    patience: float
    worth: float
    late_worth: float
    key_count: int
    tail: float = 0


# Schedules and payments of a school, lookups and sign-offs of a laboratory.
LESSONS = (
    Kind('schedule', 1, 495, 0.44, 0.512, 1.2, 2.558, 0.93, 0.19, 31),
    Kind('payment', 2, 237, 0.56, 1.119, 1.2, 3.356, 0.93, 0.28, 15),
)
CATALOGUE = (
    Kind('page', 0, 194, 0.176, 0.359, 1.149, 1.149, 3.5, 0.28, 12),
    Kind('track', 1, 73, 0.352, 0.724, 3.62, 3.62, 0.93, 0.19, 5),
)
LOOKUPS = (
    Kind('lookup', 2, 329, 0.75, 0.69, 4.0, 4.6, 1, 0.2, 41, tail=0.03),
    Kind('upload', 1, 17, 0.88, 1.034, 4.0, 6.462, 2, 0.4, 3, tail=0.03),
)
TAIL_RATIO = 7


def compute_room(kinds):
    """Return the requests per second with all objects cached."""
    rate = sum(kind.rate for kind in kinds)
    work = sum(kind.rate * kind.work for kind in kinds) / rate
    return SERVERS * SLOTS / (work * HIT_RUN_TIME_RATIO)


@dataclass(slots=True)
class Caller:
    """One request of a caller, over all its attempts."""

    kind: Kind
    key: str
    work: float
    sent_at: float
    tenant: str = ''
    retries: int = 1
    is_abusive: bool = False
    leaves_at: float = 0
    attempt: int = 0


class HardLoad(Simulation):
    """One region that has too little room for the requests of its callers.

    `outcomes` counts by kind, tenant and outcome, `seconds` by the second in
    which a request was sent first.
    """

    def __init__(self, kinds, *, seed=1, servers=SERVERS, allowances=None):
        """Build the servers and the pool."""
        super().__init__(
            {'north': servers}, seed=seed, cache_size=KEPT_OBJECTS, slots=SLOTS
        )
        for pool in self.pools.values():
            pool.plan._random.seed(seed)
            pool._granter.admission._random.seed(seed)
        self.kinds = kinds
        self.allowances = allowances or {}
        self.outcomes = defaultdict(Counter)
        self.seconds = defaultdict(Counter)
        self.waits = []
        self.sent_after_leaving = 0
        self.wasted = 0
        self._tickets = itertools.count(1)

    def schedule_load(self, load, start, end, *, kinds=None, **options):
        """Schedule requests of some kinds, as a fraction of the room."""
        factor = load * compute_room(self.kinds)
        factor /= sum(kind.rate for kind in self.kinds)
        for kind in kinds or self.kinds:
            self.schedule_kind(kind, factor * kind.rate, start, end, **options)

    def schedule_kind(self, kind, rate, start, end, **options):
        """Schedule the requests of one kind.

        `tenants` maps names to weights, `abusive` is the fraction that come
        back at once and often, `leaving` that which leave at half their time.
        """
        tenants = options.get('tenants', {'': 1})
        moment = start
        while True:
            moment += self.random.expovariate(rate)
            if moment >= end:
                return
            work = kind.work * self.random.uniform(0.85, 1.15)
            if self.random.random() < kind.tail:
                work *= TAIL_RATIO
            caller = Caller(
                kind,
                f'{kind.name}-{self.random.randrange(kind.key_count)}',
                work,
                moment,
                self.random.choices(list(tenants), list(tenants.values()))[0],
            )
            if self.random.random() < options.get('abusive', 0):
                caller.is_abusive = True
                caller.retries = 12
            if self.random.random() < options.get('leaving', 0):
                caller.leaves_at = moment + kind.patience / 2
            self.schedule(moment, self._ask, caller)

    def count(self, *, kind=None, tenant=None):
        """Return the outcomes of a kind, of a tenant, or of all."""
        total = Counter()
        for (name, group), counts in self.outcomes.items():
            if kind in {None, name} and tenant in {None, group}:
                total.update(counts)
        return total

    def compute_share(self, outcome='on time', **group):
        """Return the fraction of a group's requests with an outcome."""
        counts = self.count(**group)
        return counts[outcome] / max(sum(counts.values()), 1)

    def count_held(self, *, was_served):
        """Return how many waited for over an eighth of their objective."""
        return sum(
            wait > kind.objective / 8 and was_granted is was_served
            for kind, wait, was_granted in self.waits
        )

    def compute_worth(self, **group):
        """Return the fraction of the worth that was earned."""
        earned = owed = 0
        for kind in self.kinds:
            counts = self.count(kind=kind.name, **group)
            earned += kind.worth * counts['on time']
            earned += kind.late_worth * counts['late']
            owed += kind.worth * sum(counts.values())
        return earned / max(owed, 1)

    def _ask(self, caller):
        kind, elapsed = caller.kind, self.now - caller.sent_at
        left = kind.patience - elapsed
        # As the nodes see it: a limit close to the usual one is a first one.
        is_returning = left < 0.9 * kind.patience
        seen = elapsed if is_returning else 0
        ticket = f't{next(self._tickets)}'
        options = {
            'tenant': caller.tenant,
            'allowance': self.allowances.get(caller.tenant, 0),
            'ticket': ticket,
            'caller_time_left': left,
        }
        deadline = self.now + min(left, kind.timeout)
        slot_request = SlotRequest(
            'service',
            kind.name,
            caller.key,
            kind.priority,
            kind.objective,
            kind.objective - seen,
            deadline - self.now,
            is_returning,
            **{name: options[name] for name in options.keys() & _FIELDS},
        )
        attempt = caller, self.now, deadline

        def settle(result):
            self._settle(attempt, result)

        placed = self.pools['north'].place(
            slot_request, 'north', settle, self.now
        )
        if placed is not None:
            settle(placed)
        elif caller.leaves_at and 'ticket' in _RELEASE_FIELDS:
            # The node sees the close and withdraws its request.
            release = Release('service', 0, Outcome.CANCELLED, 0, ticket=ticket)
            self.schedule(
                max(caller.leaves_at, self.now),
                lambda: self.pools['north'].release(release, self.now),
            )

    def _settle(self, attempt, result):
        caller, asked_at, deadline = attempt
        self.waits.append(
            (caller.kind, self.now - asked_at, isinstance(result, Grant))
        )
        if isinstance(result, Grant):
            if caller.leaves_at and self.now >= caller.leaves_at:
                self.sent_after_leaving += 1
                self._release(result, Outcome.CANCELLED, 0)
                return
            server = self.servers[result.backend]
            seconds = server.start(caller.key, caller.work, self.now)
            self.schedule(
                self.now + seconds,
                self._end,
                result,
                seconds,
                caller,
                deadline,
            )
            return
        pause = ABUSE_SECONDS if caller.is_abusive else result.retry_after
        left = caller.kind.patience - (self.now - caller.sent_at)
        if caller.attempt >= caller.retries or pause > left / 3 + 0.01:
            self._record(caller, 'refused')
            return
        caller.attempt += 1
        self.schedule(self.now + pause + CALLER_SECONDS, self._ask, caller)

    def _end(self, grant, seconds, caller, deadline):
        self.servers[grant.backend].running -= 1
        if self.now > deadline:
            self.wasted += 1
            self._release(grant, Outcome.TIMED_OUT, seconds)
            self._record(caller, 'failed')
            return
        self._release(grant, Outcome.ANSWERED, seconds)
        elapsed = self.now + CALLER_SECONDS - caller.sent_at
        is_late = elapsed > caller.kind.objective
        self._record(caller, 'late' if is_late else 'on time')

    def _release(self, grant, outcome, seconds):
        release = Release('service', grant.number, outcome, seconds)
        self.pools['north'].release(release, self.now)

    def _record(self, caller, outcome):
        if caller.leaves_at:
            return
        group = 'abusive' if caller.is_abusive else caller.tenant
        self.outcomes[caller.kind.name, group][outcome] += 1
        self.seconds[int(caller.sent_at)][outcome] += 1


def play(kinds, load, *, seed=1, seconds=8, **options):
    """Return a play with a warm-up at half of the room, then the load."""
    simulation = HardLoad(kinds, seed=seed, **options.pop('build', {}))
    simulation.schedule_load(0.5, 0, 8)
    simulation.schedule_load(load, 8, 8 + seconds, **options)
    simulation.run(8)
    for counted in (simulation.outcomes, simulation.seconds, simulation.waits):
        counted.clear()
    simulation.run(8 + seconds + 8)
    return simulation
