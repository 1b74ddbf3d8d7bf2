"""The way of one request through a node."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple, Protocol

from sesameroute.adapters import has_left
from sesameroute.exceptions import RequestError
from sesameroute.forward._account import (
    Observer,
    RequestRecord,
    note_end,
    note_event,
)
from sesameroute.forward._message import (
    CallerRequest,
    TryError,
)
from sesameroute.forward._refusals import (
    GoneError,
    answer_refusal,
    answer_status,
    answer_try,
)
from sesameroute.forward._retries import RetryBudgets
from sesameroute.forward._returns import ReturnDetector
from sesameroute.forward._sender import Arrival, Sender
from sesameroute.forward._trip import (
    HOP_HEADERS,
    WHOLE_BYTES,
    Trip,
    build_departure,
    compute_fingerprint,
    is_spent,
    read_body,
)
from sesameroute.placement import Ask, Grant, Outcome, Refusal
from sesameroute.ports import Answer, Clock
from sesameroute.quarantine import Quarantine
from sesameroute.registry import Backend, Registry
from sesameroute.routes import ConfigurationKeeper, Route

__all__ = ['Forwarder', 'Guards', 'Placing']

_RETRY_FLOOR = 0.03  # seconds: no try is begun with less time left
_UNKNOWN_PAUSE = 0.3  # seconds until a configuration is likely known


class Placing(Protocol):
    """Grants slots and takes them back."""

    def place(self, ask: Ask) -> Grant | Refusal:
        """Return a grant or why there is none; waits if need be."""

    def release(
        self,
        ask: Ask,
        grant: Grant,
        outcome: Outcome,
        seconds: float,
    ) -> None:
        """Take a slot back."""


class Guards(NamedTuple):
    """What keeps tries away from backend servers.

    Attributes
    ----------
    retries : RetryBudgets
        Bounds tries beyond the first.
    quarantine : Quarantine
        Knows requests that crash backend servers.

    """

    retries: RetryBudgets
    quarantine: Quarantine


class Forwarder:
    """Finds a backend server for each request and returns its answer.

    Parameters
    ----------
    keeper : ConfigurationKeeper
        Routes in force.
    registry : Registry
        Backend servers.
    placing : Placing
        Grants slots.
    sender : Sender
        Sends requests.
    guards : Guards
        What keeps tries away from backend servers.
    clock : Clock
        Source of time.

    Attributes
    ----------
    observe_ : callable
        Takes the record of each request that got an answer.

    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        registry: Registry,
        placing: Placing,
        sender: Sender,
        guards: Guards,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.keeper = keeper
        self.registry = registry
        self.placing = placing
        self.sender = sender
        self.retries = guards.retries
        self.quarantine = guards.quarantine
        self.clock = clock
        self.observe_: Observer = _ignore
        self._returns = ReturnDetector()

    def forward(self, request: CallerRequest) -> Answer:
        """Return the answer to a request.

        Raises
        ------
        GoneError
            The caller has closed its connection.
        InputError
            The request's body is not valid.

        """
        table = self.keeper.table_
        if table is None:
            return answer_status(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                _UNKNOWN_PAUSE,
            )
        route = table.find(request.host, request.path)
        if route is None:
            return answer_status(HTTPStatus.NOT_FOUND, 'no-route')
        trip = self._open(request, route)
        trip.body = read_body(request)
        trip.fingerprint = compute_fingerprint(trip)
        self.retries.observe(trip.service)
        answer = None
        while answer is None:
            answer = _refuse_harmful(self.quarantine, trip)
            answer = answer or self._try_once(trip)
        self.observe_(note_end(trip, answer, self.clock.read_monotonic()))
        return answer

    def _open(self, request: CallerRequest, route: Route) -> Trip:
        terms = self.sender.dialect.read_terms(request.headers)
        seconds = route.timeout
        lost = 0
        if terms.seconds is not None:
            seconds = min(seconds, terms.seconds)
            lost = self._returns.find_lost(route.name, terms.seconds)
        return Trip(
            request,
            route,
            self.keeper.choose_service(route),
            terms,
            request.arrived + seconds,
            lost,
        )

    def _try_once(self, trip: Trip) -> Answer | None:
        """Place and send; return the final answer or None to try again."""
        ask, placed = self._place(trip)
        if isinstance(placed, Refusal):
            return self._refuse(trip, placed)
        if trip.route.kind.is_idempotent and has_left(trip.request.caller):
            self.placing.release(ask, placed, Outcome.CANCELLED, 0)
            note_event(trip, 'request dropped', 'caller-left', '')
            raise GoneError('the caller left before its request was sent')
        entry = self.registry.find(placed.backend)
        if not self.registry.permits(placed.backend, placed.incarnation):
            self.placing.release(ask, placed, Outcome.CANCELLED, 0)
            trip.excluded = (*trip.excluded, placed.backend)
            return None
        return self._send(trip, ask, placed, entry.backend)

    def _place(self, trip: Trip) -> tuple[Ask, Grant | Refusal]:
        """Return the slot that is reserved already, or ask for one."""
        reserved = trip.reserved
        if reserved is not None:
            trip.reserved = None
            return reserved
        ask = self._build_ask(trip, may_wait=trip.lost > 0 or trip.attempts > 0)
        asked = self.clock.read_monotonic()
        placed = self.placing.place(ask)
        trip.seen = self.clock.read_monotonic()
        trip.waited += trip.seen - asked
        return ask, placed

    def _build_ask(self, trip: Trip, *, may_wait: bool) -> Ask:
        now = self.clock.read_monotonic()
        route = trip.route
        spent = now - trip.request.arrived + trip.lost
        return Ask(
            trip.service,
            route.name,
            trip.terms.key if route.is_sticky else '',
            route.priority,
            route.objective,
            route.objective - spent,
            trip.until - now,
            may_wait,
            tuple(sorted(route.homes)),
            trip.excluded,
        )

    def _send(
        self,
        trip: Trip,
        ask: Ask,
        grant: Grant,
        backend: Backend,
    ) -> Answer | None:
        trip.attempts += 1
        trip.backend = backend.name
        trip.excluded = (*trip.excluded, backend.name)
        started = self.clock.read_monotonic()
        try:
            arrival = self.sender.send(
                backend.target,
                build_departure(
                    trip,
                    backend,
                    self.sender.dialect,
                    self._take_leave,
                    started,
                ),
                fresh=not trip.route.kind.is_idempotent,
            )
            self.quarantine.observe_answer(trip.fingerprint)
            answer = self._finish(trip, (ask, grant), arrival, started)
        except TryError as error:
            seconds = self.clock.read_monotonic() - started
            self.placing.release(ask, grant, error.outcome, seconds)
            return self._judge(trip, error, backend)
        except BaseException:
            # Such as a caller whose body is cut while it is passed on.
            self.placing.release(ask, grant, Outcome.CANCELLED, 0)
            _drop_reserved(self.placing, trip)
            raise
        return answer

    def _finish(
        self,
        trip: Trip,
        slot: tuple[Ask, Grant],
        arrival: Arrival,
        started: float,
    ) -> Answer:
        """Return the answer; a short one is read whole first."""
        first, is_whole = arrival.body.read_up_to(WHOLE_BYTES)
        answer = arrival.answer
        answer.headers = tuple(
            (name, text)
            for name, text in answer.headers
            if name.lower() not in HOP_HEADERS
        )
        seconds = self.clock.read_monotonic() - started
        outcome = Outcome.ANSWERED
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            outcome = Outcome.FAILED
        if is_whole:
            self.placing.release(*slot, outcome, seconds)
            answer.length = len(first)
            answer.chunks = iter((first,))
            return answer
        chunks = self._stream(trip, slot, arrival, first, seconds)
        # Only a generator that has started ends its blocks when it is closed.
        next(chunks)
        answer.chunks = chunks
        return answer

    def _stream(
        self,
        trip: Trip,
        slot: tuple[Ask, Grant],
        arrival: Arrival,
        first: bytes,
        seconds: float,
    ) -> Iterator[bytes]:
        outcome = Outcome.CANCELLED
        try:
            yield from (b'', first)
            yield from arrival.body
            outcome = Outcome.ANSWERED
        except TryError as error:
            outcome = error.outcome
            note_event(trip, 'answer cut midway', outcome.value, trip.backend)
            raise
        finally:
            arrival.body.close()
            self.placing.release(*slot, outcome, seconds)

    def _take_leave(self, trip: Trip) -> bool:
        """Return whether a try may be given up for another one.

        The other one needs its slot first; without any, the answer of the
        running try is still the best that can come.
        """
        if not self.retries.abandon(trip.service):
            return False
        ask = self._build_ask(trip, may_wait=False)
        placed = self.placing.place(ask)
        if isinstance(placed, Refusal):
            return False
        trip.reserved = ask, placed
        return True

    def _judge(
        self,
        trip: Trip,
        error: TryError,
        backend: Backend,
    ) -> Answer | None:
        """Return None to try again, or the final answer."""
        trip.last = error
        if error.outcome is Outcome.LOST:
            self.quarantine.observe_loss(trip.fingerprint, backend.name)
        if error.outcome is Outcome.CANCELLED:
            _drop_reserved(self.placing, trip)
            note_event(trip, 'request dropped', 'caller-left', backend.name)
            raise GoneError('the caller left while its request ran')
        may_repeat = trip.route.kind.is_idempotent or not error.may_have_run
        has_time = trip.until - self.clock.read_monotonic() > _RETRY_FLOOR
        may_repeat = may_repeat and not is_spent(trip.body)
        if (
            may_repeat
            and has_time
            and trip.attempts < trip.route.max_attempts
            and (trip.reserved or self.retries.choose(trip.service))
        ):
            note_event(trip, 'request sent again', error.code, backend.name)
            return None
        _drop_reserved(self.placing, trip)
        note_event(trip, 'request failed', error.code, backend.name)
        return answer_try(error, trip.limit_pause(self.clock.read_monotonic()))

    def _refuse(self, trip: Trip, refusal: Refusal) -> Answer:
        note_event(trip, 'request turned away', refusal.reason.value, '')
        last = trip.last
        if last is not None and last.may_have_run:
            return answer_try(last, 0)
        return answer_refusal(refusal)


def _drop_reserved(placing: Placing, trip: Trip) -> None:
    """Give back the slot of a next try that will not be made."""
    if trip.reserved is not None:
        placing.release(*trip.reserved, Outcome.CANCELLED, 0)
        trip.reserved = None


def _ignore(_record: RequestRecord) -> None:
    """Keep no record."""


def _refuse_harmful(quarantine: Quarantine, trip: Trip) -> Answer | None:
    """Return an answer to a request that crashes backend servers."""
    try:
        quarantine.check(trip.fingerprint)
    except RequestError as error:
        note_event(trip, 'request turned away', error.code, '')
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if trip.attempts:
            status = HTTPStatus.BAD_GATEWAY
        return answer_status(status, error.code)
    return None
