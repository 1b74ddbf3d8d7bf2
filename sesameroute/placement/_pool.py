"""The pool of a service's slots, kept by one node for its region.

Answers the load at which work collapses: when requests queue at backend
servers, they spill to ones that don't know their objects, where they take
several times as long. A pool counts each slot, sends a request where its
object is known, lets it wait only while it can still be on time, and turns
it away at once otherwise.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sesameroute.placement._admission import Admission
from sesameroute.placement._ask import Ask, Grant, Refusal, Release, Report
from sesameroute.placement._demand import Demand
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._granter import Granter
from sesameroute.placement._learner import Learner
from sesameroute.placement._neighbours import Neighbours
from sesameroute.placement._plan import RegionLoad, RegionPlan
from sesameroute.placement._queue import Settle, Waiter
from sesameroute.placement._states import UpstreamStates
from sesameroute.registry import Entry

__all__ = ['Pool', 'PoolTerms']


@dataclass(frozen=True, slots=True)
class PoolTerms:
    """Where a pool stands.

    Attributes
    ----------
    node : str
        Node that keeps the pool.

    """

    service: str
    region: str
    node: str = ''


class Pool:
    """Grants slots of one service to the nodes of one region.

    Parameters
    ----------
    terms : PoolTerms
        Where it stands.

    """

    def __init__(self, terms: PoolTerms) -> None:
        """Start without backend servers."""
        self.terms = terms
        self.plan = RegionPlan(terms.region)
        self.estimates = Estimates()
        self.states = UpstreamStates(terms.region)
        self._lock = threading.RLock()
        self._demand = Demand()
        self._neighbours = Neighbours(terms.region)
        self._granter = Granter(
            terms.node,
            self.states,
            self.plan,
            Admission(self.estimates),
        )
        self._learner = Learner(self.estimates, self.states.model)

    def sync(
        self,
        entries: Iterable[Entry],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Take the registry's backend servers of the service."""
        with self._lock:
            self.states.sync(entries, regions, now)
            self.plan.start(self.states.count_rooms(), now)
            self._update_plan(now)

    def set_cold(self, rate: float, share: float) -> None:
        """Set what cold backend servers bear, and the part to use of it."""
        self.states.cold_rate = rate
        self.states.cold_share = share

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
            run = self.estimates.find_warm(ask.flow, ask.objective)
            self._demand.add(run.seconds, now)
            waiter = Waiter(
                ask,
                node,
                settle,
                self._granter.choose_region(ask, now),
                now,
                now + ask.on_time - self._granter.admission.measure_way(ask),
                now + ask.time_left,
            )
            return self._granter.decide(waiter, now)

    def release(self, release: Release, now: float) -> None:
        """Take a slot back and learn from the run."""
        with self._lock:
            held = self._granter.held.pop(release.number)
            if held is not None:
                self._learner.observe(held, release, now)
                self._granter.serve(held.state, now)

    def forget_node(self, node: str, now: float) -> None:
        """Take back what a node that is gone held."""
        with self._lock:
            self._granter.waiting.remove_node(node)
            for held in self._granter.held.pop_node(node):
                self._granter.serve(held.state, now)

    def tick(self, now: float) -> None:
        """Settle waiters whose time is over and drop lost grants."""
        with self._lock:
            self._granter.held.expire(now)
            self._granter.end_waits(now)

    def refresh(self, now: float) -> None:
        """Renew the plan, and look at all that wait for free slots."""
        with self._lock:
            self._update_plan(now)
            self.states.compare_trouble(now)
            for state in self.states:
                self._granter.serve(state, now)

    def take_report(self, sender: str, report: Report, now: float) -> None:
        """Take what another pool of the service holds."""
        with self._lock:
            self.states.take_report(sender, report, now)
            shares = self._neighbours.take(report, now)
            if shares is not None and report.region != self.terms.region:
                self.plan.adopt(shares, now)

    def make_report(self, now: float) -> Report:
        """Return what this pool holds."""
        with self._lock:
            shares = self._neighbours.list_shares()
            shares[self.terms.region] = self.plan.shares_
            return Report(
                self.terms.service,
                self.terms.region,
                self._granter.held.count(),
                self._demand.read(now),
                self.states.measure_room(now),
                shares,
            )

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits."""
        return bool(len(self._granter.waiting))

    def _update_plan(self, now: float) -> None:
        loads = self._neighbours.list_loads(now)
        loads[self.terms.region] = RegionLoad(
            self._demand.read(now),
            self.states.measure_room(now),
        )
        self.plan.update(loads, now)
