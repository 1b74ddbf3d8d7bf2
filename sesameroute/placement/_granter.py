"""Grants, queues and refuses the requests of one pool.

Not thread-safe; the pool holds a lock during each call.
"""

from sesameroute.placement._active_grants import ActiveGrant, ActiveGrants
from sesameroute.placement._admission import (
    Admission,
    Decision,
    Verdict,
    is_full,
)
from sesameroute.placement._appointments import Appointments, Return
from sesameroute.placement._candidates import Candidates, hash_key
from sesameroute.placement._messages import (
    Grant,
    Reason,
    Refusal,
    SlotRequest,
)
from sesameroute.placement._queue import (
    SettleCallback,
    Waiter,
    WaitingRequests,
)
from sesameroute.placement._remaining_time import (
    find_needed_seconds,
    is_fresh,
)
from sesameroute.placement._spillover import SpilloverPlan
from sesameroute.placement._states import UpstreamStates
from sesameroute.placement._tenant_shares import TenantShares
from sesameroute.placement._travel import TravelTimes
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Granter', 'receive']

# A grant is considered lost at this time after the deadline of its request.
_GRANT_EXPIRY_SLACK_SECONDS = 1.0
# Below the time after which a node gives up its call to the leader.
_MAX_REMOTE_WAIT_SECONDS = 0.3


class Granter:
    """Carries out the decisions on requests.

    Parameters
    ----------
    node : str
        Address of the node that runs the pool.
    states : UpstreamStates
        State of the backend servers.
    plan : SpilloverPlan
        Chooses the regions of requests.
    admission : Admission
        Decides on requests.

    Attributes
    ----------
    waiting : WaitingRequests
        Requests that wait for a slot.
    appointments : Appointments
        When the callers of refused requests may come back.
    tenant_shares : TenantShares
        Recent grants of each tenant.
    active_grants : ActiveGrants
        Grants whose slots are in use.

    """

    def __init__(
        self,
        node: str,
        states: UpstreamStates,
        plan: SpilloverPlan,
        admission: Admission,
    ) -> None:
        """Store the parameters."""
        self.node = node
        self.states = states
        self.plan = plan
        self.admission = admission
        self.travel = TravelTimes(plan, admission.estimates)
        self.waiting = WaitingRequests()
        self.appointments = Appointments()
        self.tenant_shares = TenantShares()
        self.active_grants = ActiveGrants()

    def choose_region(self, slot_request: SlotRequest, now: float) -> str:
        """Return the region in which a request should run."""
        own = self.plan.region
        slots_by_region = self.states.count_slots_by_region()
        permitted = sorted(slots_by_region)
        if slot_request.homes:
            # Without a known server in its homes, the request can't run.
            known_regions = sorted(
                slots_by_region.keys() & set(slot_request.homes)
            )
            permitted = known_regions or sorted(slot_request.homes)
        elif own in slots_by_region:
            return self.plan.choose_region_within_cap(
                slot_request.key, slots_by_region, now
            )
        if own in permitted or not permitted:
            return own
        return permitted[hash_key(slot_request.key) % len(permitted)]

    def decide(self, waiter: Waiter, now: float) -> Grant | Refusal | None:
        """Decide on a request that has just arrived; None if it waits."""
        candidates = self.list_candidates(waiter, now)
        decision = self.consider(waiter, candidates)
        if decision.verdict is Verdict.WAIT:
            waiter.wait_until = _limit_wait(
                waiter, self.node, decision.wait_until
            )
            self.waiting.add(waiter)
            return None
        return self._apply(candidates, waiter, decision)

    def consider(self, waiter: Waiter, candidates: Candidates) -> Decision:
        """Return the decision on a request that has just arrived."""
        slot_request = waiter.slot_request
        now = candidates.now
        appointment = self.appointments.find(slot_request, now)
        if appointment.kept is Return.EARLY:
            return self.admission.decide_early(
                candidates, waiter, appointment.due
            )
        waiter.is_returning = (
            slot_request.is_returning or appointment.kept is Return.KEPT
        )
        waiter.advance_latest_start(
            appointment.on_time_until
            - self.admission.estimate_response_time(slot_request)
            - waiter.travel
        )
        waiter.tenant_level = self.tenant_shares.find_level(
            slot_request.tenant, now
        )
        return self.admission.decide(
            candidates, waiter, self.waiting.count_ahead
        )

    def list_candidates(self, waiter: Waiter, now: float) -> Candidates:
        """Return the backend servers that may get a request."""
        return self.states.list_candidates(
            waiter.slot_request, waiter.region, now
        )

    def withdraw(self, ticket: str, now: float) -> None:
        """Drop a slot request that waits, or free its slot."""
        waiter = self.waiting.find(ticket)
        if waiter is not None:
            self.waiting.remove(waiter)
            waiter.settle(Refusal(Reason.TOO_LATE, 0))
            return
        grant = self.active_grants.pop_ticket(ticket)
        if grant is not None:
            self.grant_waiting(grant.state, now)

    def settle_expired(self, now: float) -> None:
        """Settle the requests whose wait has ended without a slot."""
        self.waiting.move_late(now)
        for waiter in self.waiting:
            if waiter.wait_until <= now:
                self.admission.observe_wait(waiter, now, was_served=False)
                self._settle(waiter, self.list_candidates(waiter, now))

    def settle_stranded(self, now: float) -> None:
        """Settle the requests whose objects no server has cached any more."""
        for waiter in self.waiting:
            candidates = self.list_candidates(waiter, now)
            if not any(map(candidates.is_warm, candidates.states)):
                self._settle(waiter, candidates)

    def grant_waiting(self, state: UpstreamState, now: float) -> None:
        """Grant a backend server's free slots to waiting requests."""
        if not len(self.waiting) or state not in self.states:
            return
        free = state.count_free(now)
        for waiter in self.waiting:
            if free <= 0:
                return
            candidates = self.states.list_candidates(
                waiter.slot_request,
                waiter.region,
                now,
                (state,),
            )
            if _may_take(self, candidates, waiter, state):
                self.waiting.remove(waiter)
                self.admission.observe_wait(waiter, now, was_served=True)
                waiter.settle(self._grant(candidates, state, waiter))
                free -= 1

    def _settle(self, waiter: Waiter, candidates: Candidates) -> None:
        """Grant a slot to a waiting request now, or refuse it."""
        decision = self.admission.decide_without_wait(
            candidates, waiter, candidates.list_warm()
        )
        self.waiting.remove(waiter)
        waiter.settle(self._apply(candidates, waiter, decision))

    def _apply(
        self,
        candidates: Candidates,
        waiter: Waiter,
        decision: Decision,
    ) -> Grant | Refusal:
        if decision.verdict is Verdict.GRANT and candidates.take_cold_start(
            decision.state
        ):
            return self._grant(candidates, decision.state, waiter)
        if decision.verdict is Verdict.GRANT:
            # Too many requests have started on the cold server just now.
            decision = self.admission.refuse(candidates, waiter, Reason.NO_ROOM)
        now = candidates.now
        if decision.reason is not Reason.NO_BACKEND:
            self.appointments.add(
                waiter.slot_request, now + decision.retry_after, now
            )
        return Refusal(decision.reason, decision.retry_after)

    def _grant(
        self,
        candidates: Candidates,
        state: UpstreamState,
        waiter: Waiter,
    ) -> Grant:
        now = candidates.now
        slot_request = waiter.slot_request
        is_warm = candidates.is_warm(state)
        active_grant = ActiveGrant(
            state,
            waiter.node,
            slot_request,
            is_warm,
            state.recent.find_depth(slot_request.key, now)
            if slot_request.key
            else 0,
            waiter.deadline + _GRANT_EXPIRY_SLACK_SECONDS,
        )
        if not slot_request.homes:
            self.plan.record_request(state.region, now)
        state.start_limit.count_start(now)
        self.tenant_shares.record(
            slot_request.tenant, slot_request.allowance, now
        )
        if slot_request.key:
            state.recent.add(slot_request.key, now)
        return Grant(
            self.active_grants.add(active_grant),
            state.name,
            state.entry.backend.incarnation,
            is_warm,
            now - waiter.arrived_at,
            self.node,
            0
            if is_fresh(waiter, now)
            else find_needed_seconds(
                self.admission.estimates, waiter, is_warm=is_warm
            ),
        )


def receive(
    granter: Granter,
    slot_request: SlotRequest,
    node: str,
    settle: SettleCallback,
    now: float,
) -> Waiter:
    """Return a request that has just arrived, with its region.

    Parameters
    ----------
    granter : Granter
        Chooses the region.
    slot_request : SlotRequest
        The request.
    node : str
        Address of the node that asks.
    settle : callable
        Called with the grant or refusal.
    now : float
        Monotonic time in seconds.

    """
    region = granter.choose_region(slot_request, now)
    run = granter.admission.estimate_response_time(slot_request)
    travel = granter.travel.find(region)
    return Waiter(
        slot_request,
        node,
        settle,
        region,
        now,
        now + slot_request.on_time - run - travel,
        now + slot_request.time_left,
        travel=travel,
    )


def _limit_wait(waiter: Waiter, node: str, wait_until: float) -> float:
    """Return until when a request waits in the pool of a node.

    Another node stops waiting for the reply to a first request, and uses a
    slot of its own pool then.
    """
    if waiter.node == node or waiter.slot_request.is_returning:
        return wait_until
    return min(wait_until, waiter.arrived_at + _MAX_REMOTE_WAIT_SECONDS)


def _may_take(
    granter: Granter,
    candidates: Candidates,
    waiter: Waiter,
    state: UpstreamState,
) -> bool:
    """Whether a waiting request gets a free slot of a server."""
    if not candidates.list_warm():
        return False
    if waiter.is_late and is_full(
        granter.list_candidates(waiter, candidates.now)
    ):
        return False
    return granter.admission.can_end(candidates, waiter, state)
