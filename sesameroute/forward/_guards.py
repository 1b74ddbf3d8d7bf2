"""Checks that limit or stop the sending of a request."""

from dataclasses import dataclass, field
from http import HTTPStatus

from sesameroute.exceptions import RequestError
from sesameroute.forward._answer_wait import ServerCondition
from sesameroute.forward._ended_servers import find_condition
from sesameroute.forward._local_answers import (
    build_answer,
    build_failure_answer,
)
from sesameroute.forward._message import AnswerMetadata, TryError
from sesameroute.forward._request_log import log_event
from sesameroute.forward._request_state import RequestState, is_consumed
from sesameroute.forward._rerouting import may_run_again, may_start_in_row
from sesameroute.forward._retries import RetryBudgets
from sesameroute.forward._tenants import TenantGate
from sesameroute.limits import Shutdown
from sesameroute.placement import Outcome
from sesameroute.ports import Answer, Clock
from sesameroute.quarantine import Quarantine
from sesameroute.reachability import EndDetector
from sesameroute.registry import Announcement, Announcements

__all__ = ['Guards']

_SUSPECTED = 'suspected'
_STOPPING = 'stopping'
_IN_ROW = 'behind-others'
# Interval at which a request asks again for a trial.
_TRIAL_POLL_SECONDS = 0.05
_MAX_TRIAL_WAIT_SECONDS = 0.5
# Outcomes of tries that may still run at their backend server.
_GIVEN_UP = frozenset((Outcome.CANCELLED, Outcome.TIMED_OUT))


@dataclass(slots=True)
class Guards:
    """Checks that limit or stop tries.

    `retries` limits the tries after the first, `quarantine` stops requests
    that crash backend servers, `announcements` records what the servers
    say of themselves, `end_detector` checks servers that fall silent, `clock`
    is the source of time. `shutdown` decides what a stopping node still
    starts, `tenants` refuses requests by key and allowance.
    """

    retries: RetryBudgets
    quarantine: Quarantine
    announcements: Announcements
    end_detector: EndDetector
    clock: Clock
    shutdown: Shutdown = field(default_factory=Shutdown)
    tenants: TenantGate = field(default_factory=TenantGate)

    def may_start(self, state: RequestState) -> bool:
        """Whether a try may start: a node that stops soon starts few."""
        return may_start_in_row(state) and self.shutdown.may_start(
            self.clock.read_monotonic(),
            state.deadline,
            state.route.latency_target,
        )

    def check(self, state: RequestState) -> Answer | None:
        """Return an error answer if no try may start, else None.

        The node may stop too soon for it, or the request may be quarantined.
        The deadline of the request is moved to the end of the stop if that
        comes first.

        A suspected request waits for the result of a trial, but not for long:
        suspicion delays a request, and only quarantine refuses it.
        """
        if not may_run_again(state):
            return build_failure_answer(state.last_error, 0, may_have_run=True)
        denied = self.tenants.check_key(state)
        if denied or not self.may_start(state):
            return denied or _build_stop_answer(state)
        state.deadline = self.shutdown.limit_deadline(state.deadline)
        ends = self.clock.read_monotonic() + _MAX_TRIAL_WAIT_SECONDS
        refusal = self._find_refusal(state)
        while refusal is not None:
            if refusal.code != _SUSPECTED:
                return _build_quarantine_answer(state, refusal)
            now = self.clock.read_monotonic()
            if now > ends or not state.has_time_to_retry(now):
                return None
            self.clock.sleep(_TRIAL_POLL_SECONDS)
            refusal = self._find_refusal(state)
        return None

    def may_resend(self, state: RequestState) -> bool:
        """Whether the same backend server may get the request again.

        Not if it leaves or pauses, or has named a limit: the grant is for one
        request.
        """
        server = state.backend, state.incarnation
        if self.announcements.is_leaving(*server) or self.is_paused(*server):
            return False
        return (
            self.announcements.find_limit(*server) is None
            and not is_consumed(state.body)
            and not self.quarantine.is_quarantined(state.fingerprint)
            and self.retries.acquire(state.service)
        )

    def is_paused(self, backend: str, incarnation: int) -> bool:
        """Whether a server wants no requests now, also if one is granted."""
        ends = self.announcements.find_pause_end(backend, incarnation)
        return self.clock.read_monotonic() < ends

    def find_condition(
        self, state: RequestState, *, is_cut_off: bool
    ) -> ServerCondition:
        """Return the condition of the server that runs a request.

        A node that is cut off from all servers can't tell. One that leaves
        refuses connections, but ends the requests that it has.
        """
        server = state.sent_try.server
        if is_cut_off or self.announcements.is_leaving(*server):
            return ServerCondition.ALIVE
        return find_condition(state, self.end_detector)

    def observe_answer(self, state: RequestState, status: int) -> None:
        """Count an answer in full in favour of its request.

        An error of the server does not count: the server may have failed the
        request before the part that crashes it.
        """
        self.end_detector.observe_answer(state.sent_try.server)
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.quarantine.evidence.observe_answer(state.sent_try)

    def observe_metadata(
        self, state: RequestState, metadata: AnswerMetadata
    ) -> None:
        """Record what a server says of itself in its answer."""
        now = self.clock.read_monotonic()
        self.announcements.record(
            Announcement(
                state.backend,
                state.incarnation,
                now,
                metadata.request_limit,
                is_leaving=metadata.is_leaving,
                paused_until=now + metadata.pause,
            )
        )

    def observe_failure(self, state: RequestState, error: TryError) -> None:
        """Count a backend server that ended under the request, or before."""
        state.charged = None if error.may_have_run else state.tenant
        evidence = self.quarantine.evidence
        if error.outcome in _GIVEN_UP:
            evidence.observe_give_up(state.sent_try)
            if error.outcome is Outcome.TIMED_OUT:
                self.end_detector.observe_timeout(
                    state.sent_try.server, state.sent_try.sent_at
                )
        elif error.has_server_ended and error.outcome is Outcome.LOST:
            evidence.observe_loss(state.sent_try)
        elif error.has_server_ended:
            evidence.observe_end(state.sent_try.server)

    def _find_refusal(self, state: RequestState) -> RequestError | None:
        try:
            self.quarantine.check_attempt(state.fingerprint)
        except RequestError as error:
            return error
        return None


def _build_stop_answer(state: RequestState) -> Answer:
    reason = _STOPPING if may_start_in_row(state) else _IN_ROW
    log_event(state, 'request turned away', reason, '')
    if state.last_error is not None:
        return build_failure_answer(
            state.last_error, 0, may_have_run=state.may_have_run
        )
    return build_answer(HTTPStatus.SERVICE_UNAVAILABLE, reason, 0)


def _build_quarantine_answer(
    state: RequestState, refusal: RequestError
) -> Answer:
    log_event(
        state,
        'request turned away',
        refusal.code,
        '',
        fingerprint=state.fingerprint,
    )
    if state.tries:
        return build_answer(HTTPStatus.BAD_GATEWAY, refusal.code)
    return build_answer(
        HTTPStatus.SERVICE_UNAVAILABLE, refusal.code, refusal.retry_after
    )
