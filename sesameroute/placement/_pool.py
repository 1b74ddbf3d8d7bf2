"""The pool of a service's slots, run by one node for its region.

Guards against congestion collapse: when requests queue at backend servers,
others are sent to servers that don't have their objects cached, where they
take several times as long. A pool counts the slots in use, sends requests to
servers that have their objects cached, lets them wait only while they can
still be on time, and otherwise refuses them at once.
"""

import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from sesameroute.placement._admission import Admission
from sesameroute.placement._estimates import Estimates
from sesameroute.placement._granter import Granter, receive
from sesameroute.placement._learner import Learner
from sesameroute.placement._messages import (
    Grant,
    PoolReport,
    Refusal,
    Release,
    SlotRequest,
)
from sesameroute.placement._queue import SettleCallback
from sesameroute.placement._region_reports import RegionReports
from sesameroute.placement._rehearsal import Rehearser
from sesameroute.placement._spillover import (
    RegionDemand,
    RegionLoad,
    SpilloverPlan,
)
from sesameroute.placement._states import UpstreamStates
from sesameroute.placement._terms import PlacementTerms
from sesameroute.registry import Announcements, RegistryEntry

__all__ = ['Pool', 'PoolIdentity']

_USUAL_TERMS = PlacementTerms()


@dataclass(frozen=True, slots=True)
class PoolIdentity:
    """Identifies a pool.

    Attributes
    ----------
    service : str
        Name of the service.
    region : str
        Region whose requests the pool places.
    node : str
        Address of the node that runs the pool.

    """

    service: str
    region: str
    node: str = ''


class Pool:
    """Grants slots of one service to the nodes of one region.

    Parameters
    ----------
    identity : PoolIdentity
        Service, region and node of the pool.
    announcements : Announcements, optional
        Limits that the backend servers name.
    terms : PlacementTerms, optional
        What the settings ask for.

    """

    def __init__(
        self,
        identity: PoolIdentity,
        announcements: Announcements | None = None,
        terms: PlacementTerms = _USUAL_TERMS,
    ) -> None:
        """Start without backend servers."""
        self.identity = identity
        self.plan = SpilloverPlan(identity.region)
        self.estimates = Estimates()
        self.states = UpstreamStates(
            identity.region,
            announcements or Announcements(),
            self.estimates,
        )
        self._lock = threading.RLock()
        self.states.norms.follows_sizes = terms.follows_sizes
        self._demand = RegionDemand(self.plan, terms.forecast_seconds)
        if terms.forecast_seconds:
            self.plan.use_cap(terms.max_shift)
        self._region_reports = RegionReports(identity.region)
        self._granter = Granter(
            identity.node,
            self.states,
            self.plan,
            Admission(self.estimates),
        )
        self._learner = Learner(
            self.estimates, self.states.model, self._granter.travel
        )
        self.rehearser = Rehearser(self._granter, self._lock)

    def update_backends(
        self,
        entries: Iterable[RegistryEntry],
        regions: Mapping[str, str],
        now: float,
    ) -> None:
        """Update the backend servers of the service from the registry.

        Parameters
        ----------
        entries : iterable of RegistryEntry
            The registry's entries.
        regions : mapping of str to str
            Region of each zone.
        now : float
            Monotonic time in seconds.

        """
        with self._lock:
            has_dropped = self.states.update_backends(entries, regions, now)
            slots_by_region = self.states.count_slots_by_region()
            self.plan.initialize(slots_by_region, now)
            self.plan.compare_regions(slots_by_region)
            self._update_plan(now)
            if has_dropped:
                self._granter.settle_stranded(now)

    def limit_cold_starts(self, rate: float, share: float) -> None:
        """Limit the requests to cold backend servers.

        Parameters
        ----------
        rate : float
            Requests per second that a cold backend server can start.
        share : float
            Fraction of the rate that this pool may use in its own region.

        """
        self.states.cold_rate = rate
        self.states.cold_share = share

    def place(
        self,
        slot_request: SlotRequest,
        node: str,
        settle: SettleCallback,
        now: float,
    ) -> Grant | Refusal | None:
        """Grant a slot, refuse the request, or queue it and return None.

        `settle` is called later with the result for a queued request. It
        must not block.
        """
        with self._lock:
            run = self.estimates.find_hit(
                slot_request.flow, slot_request.objective
            )
            self._demand.add(run.seconds, now)
            waiter = receive(self._granter, slot_request, node, settle, now)
            return self._granter.decide(waiter, now)

    def release(self, release: Release, now: float) -> None:
        """Free a slot and update the estimates from the run.

        With a ticket, withdraw the slot request instead.
        """
        with self._lock:
            if release.ticket:
                self._granter.withdraw(release.ticket, now)
                return
            grant = self._granter.active_grants.pop(release.number)
            if grant is not None:
                self._learner.observe(grant, release, now)
                self._granter.grant_waiting(grant.state, now)

    def release_node(self, node: str, now: float) -> None:
        """Free the slots and drop the waiting requests of a lost node."""
        with self._lock:
            self._granter.waiting.remove_node(node)
            for grant in self._granter.active_grants.pop_node(node):
                self._granter.grant_waiting(grant.state, now)

    def tick(self, now: float) -> None:
        """Settle requests whose wait has ended and remove lost grants."""
        with self._lock:
            if self.states.take_pauses():
                self._granter.settle_stranded(now)
            self._granter.active_grants.expire(now)
            self._granter.settle_expired(now)

    def refresh(self, now: float) -> None:
        """Update the spillover plan and grant free slots to waiters."""
        with self._lock:
            self._update_plan(now)
            self.states.norms.update(self.states, now)
            for state in self.states:
                self._granter.grant_waiting(state, now)

    def take_report(self, sender: str, report: PoolReport, now: float) -> None:
        """Record the state of the service's pool on another node."""
        with self._lock:
            self.states.take_report(sender, report, now)
            shares = self._region_reports.record(report, now)
            if shares is not None and report.region != self.identity.region:
                self.plan.adopt_shares(shares, now)

    def make_report(self, now: float) -> PoolReport:
        """Return the state of this pool for the pools on other nodes."""
        with self._lock:
            shares = self._region_reports.list_shares()
            shares[self.identity.region] = self.plan.shares_
            return PoolReport(
                self.identity.service,
                self.identity.region,
                self._granter.active_grants.count(),
                self._demand.estimate_slots(now),
                self.states.count_usable_slots(now),
                shares,
            )

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits for a slot."""
        return bool(len(self._granter.waiting))

    def _update_plan(self, now: float) -> None:
        loads = self._region_reports.list_loads(now)
        loads[self.identity.region] = RegionLoad(
            self._demand.estimate_slots(now),
            self.states.count_usable_slots(now),
        )
        self.plan.update(loads, now, self.states.count_available_slots(now))
