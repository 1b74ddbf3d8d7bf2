"""Forwards one request: finds a route, gets a slot, sends and retries."""

from http import HTTPStatus

from sesameroute.forward._allocator import SlotAllocator
from sesameroute.forward._answers import observe_answer, pass_on
from sesameroute.forward._caller_retries import CallerRetryDetector
from sesameroute.forward._guards import Guards
from sesameroute.forward._local_answers import (
    CallerClosedError,
    build_failure_answer,
    build_refusal_answer,
)
from sesameroute.forward._message import CallerRequest, TryError
from sesameroute.forward._refusals import Refusals
from sesameroute.forward._relay import NoRelay, Relay
from sesameroute.forward._request_log import (
    Observer,
    RequestRecord,
    log_answer,
    log_event,
)
from sesameroute.forward._request_state import (
    RequestState,
    TryHooks,
    build_outgoing_request,
    compute_fingerprint,
    is_consumed,
    read_body,
)
from sesameroute.forward._rerouting import (
    follow_configuration,
    is_of_route,
    may_run_again,
)
from sesameroute.forward._sender import ReceivedAnswer, Sender
from sesameroute.forward._waiting_callers import WaitingCallers, raise_if_left
from sesameroute.placement import (
    Grant,
    Outcome,
    Reason,
    Refusal,
    SlotRequest,
)
from sesameroute.ports import Answer, Clock
from sesameroute.registry import Backend, Registry
from sesameroute.routes import ActiveConfiguration, Route

__all__ = ['Forwarder']


class Forwarder:
    """Forwards requests to backend servers and returns their answers.

    `active_configuration` holds the configuration in force, `registry` the
    known backend servers. `allocator` grants slots on them, `sender` sends
    requests to them, `guards` limit or stop tries, `clock` is the source of
    time. `observer_` is called with the record of each answered request,
    `relay_` passes requests on while this node reaches no backend server,
    `refusals_` records the requests that have no route, `waiting_callers_` the
    callers whose requests wait for a slot.
    """

    def __init__(
        self,
        active_configuration: ActiveConfiguration,
        registry: Registry,
        allocator: SlotAllocator,
        sender: Sender,
        guards: Guards,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.active_configuration = active_configuration
        self.registry = registry
        self.allocator = allocator
        self.sender = sender
        self.guards = guards
        self.clock = clock
        self.observer_: Observer = _discard_record
        self.relay_: Relay | NoRelay = NoRelay()
        self.refusals_ = Refusals(
            active_configuration, sender.header_codec, clock
        )
        self.waiting_callers_ = WaitingCallers()
        guards.tenants.record_ = self.refusals_.record
        self._caller_retries = CallerRetryDetector()

    def forward(self, request: CallerRequest) -> Answer:
        """Return the answer to a request.

        Raises
        ------
        CallerClosedError
            The caller has closed its connection.
        InputError
            The request's body is malformed or truncated.

        """
        table = self.active_configuration.table_
        route = table and table.find(request.host, request.path)
        if route is None:
            return self.refusals_.answer_unrouted(request, table)
        state = self._make_state(request, route)
        follow_configuration(state, self.active_configuration)
        denied = self.guards.tenants.check_key(state)
        if denied is not None:
            return denied
        state.body = read_body(request)
        state.fingerprint = compute_fingerprint(state)
        if not self.relay_.is_needed(state):
            # The node that sends a request counts it.
            self.guards.retries.observe(state.service)
        answer = None
        with self.guards.tenants.settling(state):
            while answer is None:
                follow_configuration(state, self.active_configuration)
                answer = self.guards.check(state)
                answer = answer or self._try_once(state)
        _release_reserved(self.allocator, state)
        self.observer_(log_answer(state, answer, self.clock.read_monotonic()))
        return answer

    def _make_state(self, request: CallerRequest, route: Route) -> RequestState:
        request_metadata = self.sender.header_codec.read_request_metadata(
            request.headers
        )
        seconds = route.timeout
        earlier_seconds = 0
        if request.relayed is not None:
            earlier_seconds = request.relayed.elapsed
        elif request_metadata.timeout_seconds is not None:
            seconds = min(seconds, request_metadata.timeout_seconds)
            earlier_seconds = self._caller_retries.compute_earlier_seconds(
                route.name, request_metadata.timeout_seconds
            )
        return RequestState(
            request,
            route,
            self.active_configuration.choose_service(route),
            request_metadata,
            request.arrived + seconds,
            earlier_seconds,
            decided_at=request.arrived,
        )

    def _try_once(self, state: RequestState) -> Answer | None:
        """Get a slot and send; return the final answer, or None to retry."""
        if self.relay_.is_needed(state):
            _release_reserved(self.allocator, state)
            return self.relay_.forward(state)
        slot_request, decision = self._get_slot(state)
        try:
            raise_if_left(state)
        except CallerClosedError:
            _cancel(self.allocator, slot_request, decision)
            raise
        if isinstance(decision, Refusal):
            return self._answer_refusal(state, decision)
        entry = self.registry.find(decision.backend)
        if not self._may_use(state, slot_request, decision):
            _cancel(self.allocator, slot_request, decision)
            return None
        if not state.has_time_to_run(decision, self.clock.read_monotonic()):
            # The process may have been paused since the grant.
            _cancel(self.allocator, slot_request, decision)
            return self._answer_refusal(state, Refusal(Reason.TOO_LATE, 0))
        return self._send_once(state, slot_request, decision, entry.backend)

    def _may_use(
        self, state: RequestState, slot_request: SlotRequest, grant: Grant
    ) -> bool:
        """Whether nothing has changed while the request waited for its slot."""
        follow_configuration(state, self.active_configuration)
        if not (is_of_route(slot_request, state) and may_run_again(state)):
            return False
        server = grant.backend, grant.incarnation
        if not self.registry.may_receive_requests(
            *server
        ) or self.guards.is_paused(*server):
            state.excluded = (*state.excluded, grant.backend)
            return False
        # Servers, or all links, may have been lost, or a stop have begun.
        return self.guards.may_start(state) and not (
            self.guards.quarantine.is_quarantined(state.fingerprint)
            or self.relay_.is_needed(state)
        )

    def _get_slot(
        self, state: RequestState
    ) -> tuple[SlotRequest | None, Grant | Refusal]:
        """Return the reserved slot, or request one within the allowance."""
        refusal = self.guards.tenants.take_allowance(state)
        if refusal is not None:
            return None, refusal
        reserved = state.reserved
        if reserved is not None:
            state.reserved = None
            return reserved
        slot_request = self._build_slot_request(
            state, may_wait=state.earlier_seconds > 0 or state.tries > 0
        )
        asked_at = self.clock.read_monotonic()
        with self.waiting_callers_.watch(slot_request, state.request.caller):
            decision = self.allocator.place(slot_request)
        state.decided_at = self.clock.read_monotonic()
        state.waited += state.decided_at - asked_at
        return slot_request, decision

    def _build_slot_request(
        self, state: RequestState, *, may_wait: bool
    ) -> SlotRequest:
        now = self.clock.read_monotonic()
        route = state.route
        return SlotRequest(
            state.service,
            route.name,
            state.request_metadata.affinity_key
            if route.has_object_affinity
            else '',
            route.priority,
            route.latency_target,
            route.latency_target - state.compute_elapsed(now),
            state.deadline - now,
            may_wait,
            tuple(sorted(state.homes)),
            state.excluded,
            **state.describe_tenant(),
            ticket=self.waiting_callers_.make_ticket(),
            # What the running try's caller is not told is no appointment.
            caller_time_left=state.compute_caller_time_left(now)
            if state.tries == 0
            else 0,
            body_bytes=-1
            if state.request.length is None
            else state.request.length,
        )

    def _send_once(
        self,
        state: RequestState,
        slot_request: SlotRequest,
        grant: Grant,
        backend: Backend,
    ) -> Answer | None:
        state.tries += 1
        state.charged = None
        state.backend = backend.name
        state.incarnation = backend.incarnation
        state.sent_try = self.guards.quarantine.evidence.begin_try(
            state.fingerprint,
            state.service,
            (backend.name, backend.incarnation),
        )
        state.excluded = (*state.excluded, backend.name)
        started_at = self.clock.read_monotonic()
        try:
            received = self.sender.send(
                backend.target,
                build_outgoing_request(
                    state,
                    backend,
                    self.sender.header_codec,
                    TryHooks(
                        self._reserve_retry,
                        self.guards.may_resend,
                        self.guards.observe_metadata,
                        lambda running: self.guards.find_condition(
                            running, is_cut_off=self.relay_.is_needed(running)
                        ),
                    ),
                    started_at,
                ),
                new_connection=not state.route.kind.is_idempotent,
            )
            answer = self._complete_answer(
                state, (slot_request, grant), received, started_at
            )
        except TryError as error:
            seconds = self.clock.read_monotonic() - started_at
            self.allocator.release(slot_request, grant, error.outcome, seconds)
            return self._handle_failure(state, error, backend)
        except BaseException:
            # For example, the caller's body ended early while it was streamed.
            self.allocator.release(slot_request, grant, Outcome.CANCELLED, 0)
            _release_reserved(self.allocator, state)
            raise
        return answer

    def _complete_answer(
        self,
        state: RequestState,
        slot: tuple[SlotRequest, Grant],
        received: ReceivedAnswer,
        started_at: float,
    ) -> Answer:
        """Return the answer, which releases the slot at its end."""
        status = received.answer.status
        seconds = self.clock.read_monotonic() - started_at

        def observe_end(
            outcome: Outcome, error: TryError | None = None
        ) -> None:
            if error is not None:
                self.guards.observe_failure(state, error)
                log_event(
                    state, 'answer cut midway', outcome.value, state.backend
                )
            elif outcome is Outcome.ANSWERED:
                self.guards.observe_answer(state, status)
                if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                    outcome = Outcome.FAILED
            self.allocator.release(
                *slot, outcome, seconds, observe_answer(state.body, received)
            )

        return pass_on(received, observe_end)

    def _reserve_retry(self, state: RequestState) -> bool:
        """Reserve a slot for a retry; return whether to abandon this try.

        Without a slot the running try goes on: only it can yield an answer.
        """
        if not self.guards.retries.acquire_replacement(state.service):
            return False
        slot_request = self._build_slot_request(state, may_wait=False)
        decision = self.allocator.place(slot_request)
        if isinstance(decision, Refusal):
            return False
        state.reserved = slot_request, decision
        return True

    def _handle_failure(
        self, state: RequestState, error: TryError, backend: Backend
    ) -> Answer | None:
        """Return None to retry, or the final answer."""
        state.last_error = error
        state.may_have_run = state.may_have_run or error.may_have_run
        self.guards.observe_failure(state, error)
        if error.outcome is Outcome.CANCELLED:
            _release_reserved(self.allocator, state)
            log_event(state, 'request dropped', 'caller-left', backend.name)
            raise CallerClosedError(
                'caller closed its connection while the request ran'
            )
        may_repeat = state.route.kind.is_idempotent or not error.may_have_run
        has_time = state.has_time_to_retry(self.clock.read_monotonic())
        may_repeat = may_repeat and not is_consumed(state.body)
        # Another node's first try at a server is no retry of one that failed.
        is_relayed = not state.may_have_run and self.relay_.is_needed(state)
        is_permitted = is_relayed or (
            state.tries < state.route.max_attempts
            and (state.reserved or self.guards.retries.acquire(state.service))
        )
        if may_repeat and has_time and is_permitted:
            log_event(state, 'request sent again', error.code, backend.name)
            return None
        _release_reserved(self.allocator, state)
        log_event(state, 'request failed', error.code, backend.name)
        return _build_final_answer(
            state, state.compute_retry_after(self.clock.read_monotonic())
        )

    def _answer_refusal(self, state: RequestState, refusal: Refusal) -> Answer:
        log_event(state, 'request turned away', refusal.reason.value, '')
        if state.may_have_run:
            return _build_final_answer(state, 0)
        return build_refusal_answer(refusal)


def _build_final_answer(state: RequestState, retry_after: float) -> Answer:
    return build_failure_answer(
        state.last_error, retry_after, may_have_run=state.may_have_run
    )


def _release_reserved(allocator: SlotAllocator, state: RequestState) -> None:
    """Release the slot reserved for a retry that will not be sent."""
    if state.reserved is not None:
        allocator.release(*state.reserved, Outcome.CANCELLED, 0)
        state.reserved = None


def _cancel(
    allocator: SlotAllocator,
    slot_request: SlotRequest,
    decision: Grant | Refusal,
) -> None:
    """Release a slot that is not used."""
    if isinstance(decision, Grant):
        allocator.release(slot_request, decision, Outcome.CANCELLED, 0)


def _discard_record(_record: RequestRecord) -> None:
    """Discard the record; the default observer."""
