"""The pool of a service's slots, kept by one node for its region.

Answers the load at which work collapses: when requests queue at backend
servers, they spill to ones that don't know their objects, where they take
several times as long. A pool counts each slot, sends a request where its
object is known, lets it wait only while it can still be on time, and turns
it away at once otherwise.
"""

import itertools
import threading
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from sesameroute.placement._admission import Admission, Decision, Verdict
from sesameroute.placement._ask import (
    Ask,
    Grant,
    Outcome,
    Refusal,
    Release,
    Report,
)
from sesameroute.placement._choice import Field, hash_key
from sesameroute.placement._demand import Demand
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._plan import RegionLoad, RegionPlan
from sesameroute.placement._queue import Settle, Waiter, WaitingRequests
from sesameroute.placement._upstream import UpstreamState
from sesameroute.placement._warmth import DepthModel
from sesameroute.registry import Entry

__all__ = ['Pool', 'PoolTerms']

_GRANT_SLACK = 1.0  # seconds after its deadline at which a grant is dropped
_REPORT_SECONDS = 1.5  # age at which another region's load is dropped
_COLD_SHARE = 0.8  # of a cold backend server's rate, in the own region
_FOREIGN_COLD_SHARE = 0.05  # of that rate, in other regions
_LEARNING = frozenset((Outcome.ANSWERED,))


@dataclass(frozen=True, slots=True)
class PoolTerms:
    """Where a pool stands and what it may use.

    Attributes
    ----------
    cold_rate : float
        Requests per second that a cold backend server bears.
    node : str
        Node that keeps the pool.

    """

    service: str
    region: str
    node: str = ''
    cold_rate: float = 1.0


@dataclass(slots=True)
class _Held:
    state: UpstreamState
    node: str
    ask: Ask
    is_warm: bool
    depth: int | None
    expires: float


class Pool:
    """Grants slots of one service to the nodes of one region.

    Parameters
    ----------
    terms : PoolTerms
        Where it stands and what it may use.

    Attributes
    ----------
    cold_share : float
        Part of a cold backend server's rate that it may use in its region.

    """

    def __init__(self, terms: PoolTerms) -> None:
        """Start without backend servers."""
        self.terms = terms
        self.cold_share = _COLD_SHARE
        self.plan = RegionPlan(terms.region)
        self.estimates = Estimates()
        self._lock = threading.RLock()
        self._states: dict[str, UpstreamState] = {}
        self._model = DepthModel()
        self._demand = Demand()
        self._waiting = WaitingRequests()
        self._held: dict[int, _Held] = {}
        self._numbers = itertools.count(1)
        self._loads: dict[str, tuple[RegionLoad, float]] = {}
        self._shares: dict[str, dict[str, float]] = {}
        self._is_planned = False
        self._admission = Admission(self.estimates)

    def sync(
        self,
        entries: Iterable[Entry],
        regions: dict[str, str],
        now: float,
    ) -> None:
        """Take the registry's backend servers of the service."""
        with self._lock:
            known = self._states
            self._states = {}
            for entry in entries:
                name = entry.backend.name
                state = known.get(name)
                region = regions.get(entry.backend.zone, '')
                if state is None:
                    state = UpstreamState(entry, region, judged=now)
                state.renew(entry)
                self._states[name] = state
            if self._states and not self._is_planned:
                self._is_planned = True
                self.plan.start(self._count_rooms(), now)
            self._update_plan(now)

    def set_cold_rate(self, rate: float) -> None:
        """Set the requests per second that a cold backend server bears."""
        self.terms = replace(self.terms, cold_rate=rate)

    def place(
        self,
        ask: Ask,
        node: str,
        settle: Settle,
        now: float,
    ) -> Grant | Refusal | None:
        """Grant a slot, turn the request away, or queue it (None).

        A queued request is settled later through `settle`, which must not
        block.
        """
        with self._lock:
            self._demand.add(
                self.estimates.find_warm(ask.flow, ask.objective).seconds,
                now,
            )
            waiter = Waiter(
                ask,
                node,
                settle,
                self._choose_region(ask, now),
                now,
                now + ask.on_time,
                now + ask.time_left,
            )
            result = self._decide(waiter, now)
            if result is None:
                self._waiting.add(waiter)
            return result

    def release(self, release: Release, now: float) -> None:
        """Take a slot back and learn from the run."""
        with self._lock:
            held = self._held.pop(release.number, None)
            if held is None:
                return
            held.state.held -= 1
            held.state.judge(release.outcome, now)
            if release.outcome in _LEARNING:
                self._learn(held, release.seconds, now)
            self._serve_waiting(held.state, now)

    def forget_node(self, node: str, now: float) -> None:
        """Take back what a node that is gone held."""
        with self._lock:
            self._waiting.remove_node(node)
            for number, held in tuple(self._held.items()):
                if held.node == node:
                    self._held.pop(number)
                    held.state.held -= 1
                    self._serve_waiting(held.state, now)

    def tick(self, now: float) -> None:
        """Settle waiters whose time is over and drop lost grants."""
        with self._lock:
            for number, held in tuple(self._held.items()):
                if held.expires < now:
                    self._held.pop(number)
                    held.state.held -= 1
            for waiter in self._waiting:
                if waiter.until <= now:
                    self._end_wait(waiter, now)

    def refresh(self, now: float) -> None:
        """Renew the plan, and look at all that wait for free slots."""
        with self._lock:
            self._update_plan(now)
            for state in self._states.values():
                self._serve_waiting(state, now)

    def take_report(self, sender: str, report: Report, now: float) -> None:
        """Take what another pool of the service holds."""
        with self._lock:
            for name, state in self._states.items():
                count = report.held.get(name, 0)
                if count or sender in state.reports:
                    state.reports[sender] = (count, now)
            if report.room and report.region != self.terms.region:
                load = RegionLoad(report.demand, report.room)
                self._loads[report.region] = (load, now)
            for region, shares in report.shares.items():
                if region == self.terms.region:
                    self.plan.adopt(shares, now)
                elif region == report.region or region not in self._shares:
                    self._shares[region] = shares

    def make_report(self, now: float) -> Report:
        """Return what this pool holds."""
        with self._lock:
            held = {
                name: state.held
                for name, state in self._states.items()
                if state.held
            }
            own = self._measure_load(now)
            return Report(
                self.terms.service,
                self.terms.region,
                held,
                own.demand,
                own.room,
                {**self._shares, self.terms.region: self.plan.shares_},
            )

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits."""
        return bool(len(self._waiting))

    def count_held(self) -> int:
        """Return the slots in use by this pool's grants."""
        return len(self._held)

    def _choose_region(self, ask: Ask, now: float) -> str:
        own = self.terms.region
        rooms = {state.region for state in self._states.values()}
        if ask.homes:
            permitted = sorted(rooms.intersection(ask.homes))
            if own in permitted or not permitted:
                return own
            return permitted[hash_key(ask.key) % len(permitted)]
        if own in rooms:
            return self.plan.choose_within(ask.key, rooms, now)
        if not rooms:
            return own
        ordered = sorted(rooms)
        return ordered[hash_key(ask.key) % len(ordered)]

    def _open_field(
        self,
        ask: Ask,
        region: str,
        now: float,
        among: Iterable[UpstreamState] | None = None,
    ) -> Field:
        excluded = ask.excluded
        states = [
            state
            for state in among or self._states.values()
            if state.region == region and state.name not in excluded
        ]
        is_own = region == self.terms.region
        share = self.cold_share if is_own else _FOREIGN_COLD_SHARE
        return Field(
            states,
            ask,
            self._model,
            now,
            share,
            self.terms.cold_rate,
        )

    def _decide(self, waiter: Waiter, now: float) -> Grant | Refusal | None:
        field = self._open_field(waiter.ask, waiter.region, now)
        ahead = self._waiting.count_ahead(waiter.region, waiter.rank)
        decision = self._admission.decide(field, waiter, ahead)
        if decision.verdict is Verdict.WAIT:
            waiter.until = decision.until
            return None
        return self._conclude(field, waiter, decision)

    def _end_wait(self, waiter: Waiter, now: float) -> None:
        """Settle a request whose wait has been in vain."""
        field = self._open_field(waiter.ask, waiter.region, now)
        homes = field.list_homes()
        decision = self._admission.decide_late(field, waiter, homes)
        self._waiting.remove(waiter)
        waiter.settle(self._conclude(field, waiter, decision))

    def _conclude(
        self,
        field: Field,
        waiter: Waiter,
        decision: Decision,
    ) -> Grant | Refusal:
        if decision.verdict is Verdict.GRANT and field.use(decision.state):
            return self._grant(field, decision.state, waiter)
        return Refusal(decision.reason, decision.retry_after)

    def _grant(
        self,
        field: Field,
        state: UpstreamState,
        waiter: Waiter,
    ) -> Grant:
        now = field.now
        key = waiter.ask.key
        depth = state.recent.find_depth(key, now) if key else 0
        is_warm = field.is_warm(state)
        number = next(self._numbers)
        state.held += 1
        if not waiter.ask.homes:
            self.plan.note(state.region, now)
        if key:
            state.recent.add(key, now)
        self._held[number] = _Held(
            state,
            waiter.node,
            waiter.ask,
            is_warm,
            depth,
            waiter.ends_at + _GRANT_SLACK,
        )
        backend = state.entry.backend
        return Grant(
            number,
            backend.name,
            backend.incarnation,
            is_warm,
            now - waiter.arrived,
            self.terms.node,
        )

    def _learn(self, held: _Held, seconds: float, now: float) -> None:
        flow = held.ask.flow
        hit = self.estimates.is_hit(flow, seconds)
        usual = self.estimates.find_cold(flow, held.ask.objective)
        if held.is_warm:
            usual = self.estimates.find_warm(flow, held.ask.objective)
        is_well = held.state.pace < 1.4 and not held.state.is_cold(now)
        if held.depth is not None and hit is not None and is_well:
            self._model.observe(held.depth, is_hit=hit)
        if usual.runs:
            held.state.observe_pace(seconds / max(usual.seconds, 0.001))
        if is_well:
            usual.observe(seconds)

    def _serve_waiting(self, state: UpstreamState, now: float) -> None:
        """Give a backend server's free slots to those that wait for it."""
        if not len(self._waiting):
            return
        free = state.count_free(now)
        for waiter in self._waiting:
            if free <= 0:
                return
            if waiter.region != state.region:
                continue
            field = self._open_field(waiter.ask, waiter.region, now, (state,))
            if field.list_homes():
                self._waiting.remove(waiter)
                waiter.settle(self._grant(field, state, waiter))
                free -= 1

    def _measure_load(self, now: float) -> RegionLoad:
        room = sum(
            state.slots
            for state in self._states.values()
            if state.region == self.terms.region
            and not state.is_cold(now)
            and state.entry.is_listed()
        )
        return RegionLoad(self._demand.read(now), room)

    def _count_rooms(self) -> dict[str, float]:
        rooms: Counter[str] = Counter()
        for state in self._states.values():
            rooms[state.region] += state.slots
        return dict(rooms)

    def _update_plan(self, now: float) -> None:
        loads = {
            region: load
            for region, (load, taken) in self._loads.items()
            if now - taken <= _REPORT_SECONDS
        }
        loads[self.terms.region] = self._measure_load(now)
        self.plan.update(loads, now)
