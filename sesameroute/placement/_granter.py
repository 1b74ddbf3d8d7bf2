"""Grants, queues and refuses requests of one pool; the pool holds a lock."""

from sesameroute.placement._admission import Admission, Decision, Verdict
from sesameroute.placement._ask import Ask, Grant, Refusal
from sesameroute.placement._choice import Field, hash_key
from sesameroute.placement._held import Held, HeldSlots
from sesameroute.placement._plan import RegionPlan
from sesameroute.placement._queue import Waiter, WaitingRequests
from sesameroute.placement._states import UpstreamStates
from sesameroute.placement._upstream import UpstreamState

__all__ = ['Granter']

_GRANT_SLACK = 1.0  # seconds after its deadline at which a grant is dropped


class Granter:
    """Puts the decisions on requests into effect.

    Parameters
    ----------
    node : str
        Node that keeps the pool.
    states : UpstreamStates
        Backend servers.
    plan : RegionPlan
        Shares of the regions.
    admission : Admission
        Decides.

    Attributes
    ----------
    waiting : WaitingRequests
        Requests in the queue.
    held : HeldSlots
        Slots in use.

    """

    def __init__(
        self,
        node: str,
        states: UpstreamStates,
        plan: RegionPlan,
        admission: Admission,
    ) -> None:
        """Store the parameters."""
        self.node = node
        self.states = states
        self.plan = plan
        self.admission = admission
        self.waiting = WaitingRequests()
        self.held = HeldSlots()

    def choose_region(self, ask: Ask, now: float) -> str:
        """Return the region in which a request should run."""
        own = self.plan.region
        rooms = self.states.count_rooms()
        permitted = sorted(rooms)
        if ask.homes:
            # Without a known server at home there is nowhere to run.
            known = sorted(rooms.keys() & set(ask.homes))
            permitted = known or sorted(ask.homes)
        elif own in rooms:
            return self.plan.choose_within(ask.key, rooms, now)
        if own in permitted or not permitted:
            return own
        return permitted[hash_key(ask.key) % len(permitted)]

    def decide(self, waiter: Waiter, now: float) -> Grant | Refusal | None:
        """Settle a request that has just come; None: it waits."""
        field = self.states.open_field(waiter.ask, waiter.region, now)
        ahead = self.waiting.count_ahead(waiter.region, waiter.rank)
        decision = self.admission.decide(field, waiter, ahead)
        if decision.verdict is Verdict.WAIT:
            waiter.until = decision.until
            self.waiting.add(waiter)
            return None
        return self._conclude(field, waiter, decision)

    def end_waits(self, now: float) -> None:
        """Settle the requests whose wait has been in vain."""
        for waiter in self.waiting:
            if waiter.until > now:
                continue
            field = self.states.open_field(waiter.ask, waiter.region, now)
            homes = field.list_homes()
            decision = self.admission.decide_late(field, waiter, homes)
            self.waiting.remove(waiter)
            waiter.settle(self._conclude(field, waiter, decision))

    def serve(self, state: UpstreamState, now: float) -> None:
        """Give a backend server's free slots to those that wait for it."""
        if not len(self.waiting):
            return
        free = state.count_free(now)
        for waiter in self.waiting:
            if free <= 0:
                return
            field = self.states.open_field(
                waiter.ask,
                waiter.region,
                now,
                (state,),
            )
            if field.list_homes():
                self.waiting.remove(waiter)
                waiter.settle(self._grant(field, state, waiter))
                free -= 1

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
        ask = waiter.ask
        is_warm = field.is_warm(state)
        held = Held(
            state,
            waiter.node,
            ask,
            is_warm,
            state.recent.find_depth(ask.key, now) if ask.key else 0,
            waiter.ends_at + _GRANT_SLACK,
        )
        if not ask.homes:
            self.plan.note(state.region, now)
        if ask.key:
            state.recent.add(ask.key, now)
        return Grant(
            self.held.add(held),
            state.name,
            state.entry.backend.incarnation,
            is_warm,
            now - waiter.arrived,
            self.node,
        )
