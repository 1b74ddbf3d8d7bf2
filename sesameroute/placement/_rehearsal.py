"""Tells what a pool would do with a request now, without doing it."""

import copy
from contextlib import AbstractContextManager
from dataclasses import dataclass
from itertools import islice

from sesameroute.placement._admission import Decision, Verdict
from sesameroute.placement._candidates import Candidates
from sesameroute.placement._granter import Granter, receive
from sesameroute.placement._messages import Grant, Refusal, SlotRequest
from sesameroute.placement._queue import Waiter
from sesameroute.placement._upstream import UpstreamState
from sesameroute.ports import register_message

__all__ = ['PlacementQuery', 'Rehearsal', 'Rehearser', 'ServerView']

_MAX_SERVERS = 8


@register_message('rehearse', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Asks the leader of a pool what it would do with a request now."""

    slot_request: SlotRequest


@dataclass(frozen=True, slots=True)
class ServerView:
    """What a pool knows of one backend server.

    Attributes
    ----------
    name : str
        Name of the backend server.
    slots, busy, free : int
        Its slots, those in use, and those that a request may get now.
    is_warm : bool
        Whether it probably has the object cached.
    is_cold : bool
        Whether it has just started or was unreachable.
    is_suspended : bool
        Whether it gets nothing after a failure.
    slowdown : float
        Ratio of its run times to the usual ones.
    penalty : float
        Penalty for failures and slow runs; 0 is none.

    """

    name: str
    slots: int
    busy: int
    free: int
    is_warm: bool
    is_cold: bool
    is_suspended: bool
    slowdown: float
    penalty: float


@register_message('rehearsal', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class Rehearsal:
    """What a pool would do with a request now.

    Attributes
    ----------
    region : str
        Region in which the request would run.
    verdict : str
        ``grant``, ``wait`` or ``refuse``.
    reason : str
        Why it would be refused; empty otherwise.
    server : str
        Backend server that it would get; empty unless granted.
    wait_seconds : float
        Longest time that it would wait for a slot.
    ahead : int
        Waiting requests that are served before it.
    run_seconds : float
        Typical run time with the object cached.
    shares : dict of str to float
        Fraction of the region's requests that each other region serves.
    servers : tuple of ServerView
        The first candidates: warm ones, then those with free slots.

    """

    region: str
    verdict: str
    reason: str
    server: str
    wait_seconds: float
    ahead: int
    run_seconds: float
    shares: dict[str, float]
    servers: tuple[ServerView, ...]


class Rehearser:
    """Takes the decisions on a request without any effect.

    They are the ones that requests get. The plan is copied, since it counts
    each request that it is asked about.

    Parameters
    ----------
    granter : Granter
        Takes the decisions.
    lock : threading.RLock
        Guards the granter.

    """

    def __init__(self, granter: Granter, lock: AbstractContextManager) -> None:
        """Store the parameters."""
        self.granter = granter
        self.lock = lock

    def rehearse(self, slot_request: SlotRequest, now: float) -> Rehearsal:
        """Return what would become of a request at `now`, in seconds."""
        with self.lock:
            granter = copy.copy(self.granter)
            granter.plan = copy.deepcopy(granter.plan)
            waiter = receive(granter, slot_request, '', _ignore, now)
            candidates = granter.list_candidates(waiter, now)
            decision = granter.consider(waiter, candidates)
            ahead = granter.waiting.count_ahead(waiter)
            return _describe(granter, waiter, candidates, decision, ahead)


def _describe(
    granter: Granter,
    waiter: Waiter,
    candidates: Candidates,
    decision: Decision,
    ahead: int,
) -> Rehearsal:
    is_refused = decision.verdict is Verdict.REFUSE
    waits = decision.verdict is Verdict.WAIT
    slot_request = waiter.slot_request
    return Rehearsal(
        waiter.region,
        decision.verdict.value,
        decision.reason.value if is_refused else '',
        decision.state.name if decision.state else '',
        max(decision.wait_until - candidates.now, 0) if waits else 0,
        ahead,
        granter.admission.estimates.find_hit(
            slot_request.flow, slot_request.objective
        ).seconds,
        dict(granter.plan.shares_),
        tuple(_list_views(candidates, decision)),
    )


def _list_views(candidates: Candidates, decision: Decision) -> list[ServerView]:
    """Return the chosen server, then the warm ones, then the least busy."""

    def rank(state: UpstreamState) -> tuple[bool, bool, int]:
        return (
            state is not decision.state,
            not candidates.is_warm(state),
            -state.count_free(candidates.now),
        )

    ranked = sorted(candidates.states, key=rank)
    return [_view(candidates, each) for each in islice(ranked, _MAX_SERVERS)]


def _view(candidates: Candidates, state: UpstreamState) -> ServerView:
    now = candidates.now
    return ServerView(
        state.name,
        state.slots,
        state.count_busy(now),
        max(state.count_free(now), 0),
        candidates.is_warm(state),
        state.is_cold(now),
        state.is_suspended(now),
        state.slowdown,
        state.compute_penalty(now),
    )


def _ignore(_decision: Grant | Refusal) -> None:
    """Do nothing; a request that is only rehearsed is never settled."""
