"""The way of one request through a node."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from sesameroute.adapters import has_left
from sesameroute.forward._message import (
    CallerRequest,
    CallerTerms,
    Dialect,
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
from sesameroute.forward._sender import Arrival, Departure, Sender
from sesameroute.placement import Ask, Grant, Outcome, Reason, Refusal
from sesameroute.ports import Answer, Clock, Headers
from sesameroute.registry import Backend, Registry
from sesameroute.routes import ConfigurationKeeper, Route

__all__ = ['Forwarder', 'Placing']

_WHOLE_BYTES = 131_072  # answers up to this are whole before they are sent on
_RETRY_FLOOR = 0.03  # seconds: no try is begun with less time left
_PATIENCE_PART = 0.6  # of the timeout, until another backend server is tried
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

_logger = logging.getLogger(__name__)


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


@dataclass(slots=True)
class _Trip:
    """One request and what has become of it so far."""

    request: CallerRequest
    route: Route
    service: str
    terms: CallerTerms
    until: float
    is_returning: bool
    lost: float
    body: object = None
    attempts: int = 0
    excluded: tuple[str, ...] = ()
    last: TryError | None = None
    notes: list[str] = field(default_factory=list)


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
    retries : RetryBudgets
        Bounds tries beyond the first.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        registry: Registry,
        placing: Placing,
        sender: Sender,
        retries: RetryBudgets,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.keeper = keeper
        self.registry = registry
        self.placing = placing
        self.sender = sender
        self.retries = retries
        self.clock = clock
        self._returns = ReturnDetector()

    @property
    def dialect(self) -> Dialect:
        """How terms are written in headers."""
        return self.sender.dialect

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
            return answer_status(503, 'no-configuration', 0.3)
        route = table.find(request.host, request.path)
        if route is None:
            return answer_status(404, 'no-route')
        trip = self._open(request, route)
        trip.body = _read_body(request)
        self.retries.observe(trip.service)
        answer = self._try_once(trip)
        while answer is None:
            answer = self._try_once(trip)
        return answer

    def _open(self, request: CallerRequest, route: Route) -> _Trip:
        terms = self.dialect.read_terms(request.headers)
        seconds = route.timeout
        lost = 0.0
        if terms.seconds is not None:
            seconds = min(seconds, terms.seconds)
            lost = self._returns.find_lost(route.name, terms.seconds)
        return _Trip(
            request,
            route,
            self.keeper.choose_service(route),
            terms,
            request.arrived + seconds,
            lost > 0,
            lost,
        )

    def _try_once(self, trip: _Trip) -> Answer | None:
        """Place and send; return the final answer or None to try again."""
        ask = self._build_ask(trip)
        placed = self.placing.place(ask)
        if isinstance(placed, Refusal):
            return self._refuse(trip, placed)
        if trip.route.kind.is_idempotent and has_left(trip.request.caller):
            self.placing.release(ask, placed, Outcome.CANCELLED, 0)
            raise GoneError('the caller left before its request was sent')
        entry = self.registry.find(placed.backend)
        if not self.registry.permits(placed.backend, placed.incarnation):
            self.placing.release(ask, placed, Outcome.CANCELLED, 0)
            trip.excluded = (*trip.excluded, placed.backend)
            return None
        return self._send(trip, ask, placed, entry.backend)

    def _build_ask(self, trip: _Trip) -> Ask:
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
            trip.is_returning or trip.attempts > 0,
            tuple(sorted(route.homes)),
            trip.excluded,
        )

    def _send(
        self,
        trip: _Trip,
        ask: Ask,
        grant: Grant,
        backend: Backend,
    ) -> Answer | None:
        trip.attempts += 1
        trip.excluded = (*trip.excluded, backend.name)
        started = self.clock.read_monotonic()
        try:
            arrival = self.sender.send(
                backend.target,
                self._build_departure(trip, backend, started),
                fresh=not trip.route.kind.is_idempotent,
            )
            answer = self._finish(trip, ask, grant, arrival, started)
        except TryError as error:
            seconds = self.clock.read_monotonic() - started
            self.placing.release(ask, grant, error.outcome, seconds)
            return self._judge(trip, error, backend)
        return answer

    def _build_departure(
        self,
        trip: _Trip,
        backend: Backend,
        now: float,
    ) -> Departure:
        is_idempotent = trip.route.kind.is_idempotent
        until = trip.until
        if is_idempotent and trip.attempts < trip.route.max_attempts:
            patience = _PATIENCE_PART * trip.route.timeout
            until = min(until, max(now + patience, trip.until - patience))
        return Departure(
            trip.request.method,
            trip.request.target,
            self._list_headers(trip, backend, trip.until - now),
            trip.body,
            trip.terms.identifier,
            until,
            trip.request.caller if is_idempotent else None,
        )

    def _list_headers(
        self,
        trip: _Trip,
        backend: Backend,
        seconds: float,
    ) -> Headers:
        kept = tuple(
            (name, text)
            for name, text in trip.request.headers
            if name.lower() not in _HOP_HEADERS
            and not self.dialect.is_own(name)
        )
        own = self.dialect.write_terms(seconds, backend.name)
        if trip.request.length and not isinstance(trip.body, bytes):
            own = (*own, ('Content-Length', str(trip.request.length)))
        return (*kept, *own)

    def _finish(
        self,
        trip: _Trip,
        ask: Ask,
        grant: Grant,
        arrival: Arrival,
        started: float,
    ) -> Answer:
        """Return the answer; a short one is read whole first."""
        first, is_whole = arrival.body.read_up_to(_WHOLE_BYTES)
        answer = arrival.answer
        answer.headers = tuple(
            (name, text)
            for name, text in answer.headers
            if name.lower() not in _HOP_HEADERS
        )
        seconds = self.clock.read_monotonic() - started
        outcome = Outcome.ANSWERED
        if answer.status >= 500:
            outcome = Outcome.FAILED
        if is_whole:
            self.placing.release(ask, grant, outcome, seconds)
            answer.length = len(first)
            answer.chunks = iter((first,))
            return answer
        answer.chunks = self._stream(ask, grant, arrival, first, seconds)
        return answer

    def _stream(
        self,
        ask: Ask,
        grant: Grant,
        arrival: Arrival,
        first: bytes,
        seconds: float,
    ) -> Iterator[bytes]:
        outcome = Outcome.CANCELLED
        try:
            yield first
            yield from arrival.body
            outcome = Outcome.ANSWERED
        except TryError as error:
            outcome = error.outcome
            _logger.warning(
                'answer cut midway',
                extra={'backend': grant.backend, 'why': error.message},
            )
            raise
        finally:
            arrival.body.close()
            self.placing.release(ask, grant, outcome, seconds)

    def _judge(
        self,
        trip: _Trip,
        error: TryError,
        backend: Backend,
    ) -> Answer | None:
        """Return None to try again, or the final answer."""
        trip.last = error
        if error.outcome is Outcome.CANCELLED:
            raise GoneError('the caller left while its request ran')
        may_repeat = trip.route.kind.is_idempotent or not error.may_have_run
        has_time = trip.until - self.clock.read_monotonic() > _RETRY_FLOOR
        may_repeat = may_repeat and not _is_spent(trip.body)
        if (
            may_repeat
            and has_time
            and trip.attempts < trip.route.max_attempts
            and self.retries.choose(trip.service)
        ):
            _note(trip, 'request sent again', error.code, backend.name)
            return None
        _note(trip, 'request failed', error.code, backend.name)
        return answer_try(error, self._limit_pause(trip))

    def _refuse(self, trip: _Trip, refusal: Refusal) -> Answer:
        _note(trip, 'request turned away', refusal.reason.value, '')
        last = trip.last
        if last is not None and last.may_have_run:
            return answer_try(last, 0)
        if refusal.reason is Reason.TOO_LATE:
            return answer_status(503, refusal.reason.value, 0)
        return answer_refusal(refusal)

    def _limit_pause(self, trip: _Trip) -> float:
        left = trip.until - self.clock.read_monotonic()
        return max(min(left / 3, 0.1), 0)


def _read_body(request: CallerRequest) -> object:
    """Return a short body as bytes, a long one as a generator."""
    if request.length == 0:
        return None
    first = b''
    while len(first) < _WHOLE_BYTES:
        chunk = request.read(_WHOLE_BYTES - len(first))
        if not chunk:
            return first
        first += chunk
    return _SpentOnce(request, first)


class _SpentOnce:
    """A long body: it can be sent once."""

    def __init__(self, request: CallerRequest, first: bytes) -> None:
        self.request = request
        self.first = first
        self.is_spent = False

    def __iter__(self) -> Iterator[bytes]:
        self.is_spent = True
        yield self.first
        while chunk := self.request.read(_WHOLE_BYTES):
            yield chunk


def _is_spent(body: object) -> bool:
    return isinstance(body, _SpentOnce) and body.is_spent


def _note(trip: _Trip, event: str, why: str, backend: str) -> None:
    _logger.info(
        event,
        extra={
            'request': trip.terms.identifier,
            'route': trip.route.name,
            'service': trip.service,
            'why': why,
            'backend': backend or '-',
            'attempt': trip.attempts,
        },
    )
