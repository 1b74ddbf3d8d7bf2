"""A single attempt to send a request to a backend server."""

import threading
from dataclasses import replace
from typing import Final

from sesameroute.delivery._body import LengthCheckedBody, read_body
from sesameroute.exceptions import RequestError, has_refused
from sesameroute.ports import (
    Answer,
    Choice,
    Clock,
    Outcome,
    OutcomeCode,
    Request,
    Steering,
    Upstreams,
)
from sesameroute.quarantine import Quarantine, SentTry
from sesameroute.verdict import Verdict

__all__ = ['SERVER_UNRELATED_CODES', 'Attempt']

# Subtracted from the deadline, so that the response can reach the caller.
_RESPONSE_MARGIN_SECONDS: Final = 0.01
_LOAD_HEADER: Final = 'sesame-load'
_DRAINING_HEADER: Final = 'sesame-draining'
# Backend servers of the statement are known by their names only.
_INCARNATION: Final = 0
_OUTCOME_CODES: Final = {  # noqa: WPS407
    'shed': OutcomeCode.SHED,
    'draining': OutcomeCode.DRAINING,
    'refused': OutcomeCode.REFUSED,
    'timeout': OutcomeCode.TIMEOUT,
    'silent': OutcomeCode.TIMEOUT,
}


_CANCELLED: Final = Outcome(OutcomeCode.CANCELLED)

# Error codes that say nothing about the state of the backend server.
SERVER_UNRELATED_CODES: Final = frozenset(
    ('answer-too-large', 'cancelled', 'deadline', 'quarantined', 'suspected'),
)


class Attempt:
    """Sends requests to chosen backend servers and reports the outcomes.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    steering : Steering
        Receives every outcome and gets the slots back.
    upstreams : Upstreams
        Sends requests to the backend servers.
    quarantine : Quarantine
        Receives lost connections and responses per request fingerprint.

    """

    def __init__(
        self,
        clock: Clock,
        steering: Steering,
        upstreams: Upstreams,
        quarantine: Quarantine,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.steering = steering
        self.upstreams = upstreams
        self.quarantine = quarantine
        self.cancelled_by_ticket_: dict[int, bool] = {}
        self._lock = threading.Lock()

    def cancel(self, choice: Choice, key: str) -> None:
        """Tell a backend server that nobody waits for a running attempt."""
        with self._lock:
            is_running = choice.slot_id in self.cancelled_by_ticket_
            if is_running:
                self.cancelled_by_ticket_[choice.slot_id] = True
        if is_running:
            self.upstreams.cancel(choice.upstream, key)

    def send(
        self,
        choice: Choice,
        request: Request,
        fingerprint: str,
    ) -> Answer:
        """Send a request and return the response of the backend server.

        Responses of heavy, idempotent kinds are streamed, and the slot is
        released when the body ends. All others are buffered, and the slot is
        released on return.

        Raises
        ------
        RequestError
            No complete response; the code gives the reason.

        """
        started = self.clock.read_monotonic()
        sent = self._begin_attempt(choice, fingerprint)
        try:
            answer = self._exchange(choice, request, fingerprint, started)
        except RequestError as error:
            if self._end_attempt(choice):
                self._release_cancelled(choice, sent)
                raise _make_cancelled_error(error) from error
            self._observe_failure(choice, request, error, sent, started)
            may_still_run = error.verdict is not Verdict.NOT_RUN
            self.steering.release(choice, may_still_run=may_still_run)
            raise
        except BaseException:
            self._end_attempt(choice)
            self.steering.release(choice, may_still_run=True)
            raise
        self._end_attempt(choice)
        self.quarantine.evidence.observe_answer(sent)
        return answer

    def _begin_attempt(self, choice: Choice, fingerprint: str) -> SentTry:
        with self._lock:
            self.cancelled_by_ticket_[choice.slot_id] = False
        return self.quarantine.evidence.begin_try(
            fingerprint,
            choice.upstream.service,
            (choice.upstream.name, _INCARNATION),
        )

    def _release_cancelled(self, choice: Choice, sent: SentTry) -> None:
        self.quarantine.evidence.observe_give_up(sent)
        self.steering.record_outcome(choice, _CANCELLED)
        self.steering.release(choice, may_still_run=True)

    def _end_attempt(self, choice: Choice) -> bool:
        """Note the end of an attempt; return whether it was cancelled."""
        with self._lock:
            return self.cancelled_by_ticket_.pop(choice.slot_id, False)

    def _exchange(
        self,
        choice: Choice,
        request: Request,
        fingerprint: str,
        started: float,
    ) -> Answer:
        self._check_deadline(request, started)
        self.quarantine.check_attempt(fingerprint)
        answer = self.upstreams.send(
            choice.upstream,
            replace(
                request, deadline=request.deadline - _RESPONSE_MARGIN_SECONDS
            ),
            new_connection=not request.kind.idempotent,
        )
        seconds = self.clock.read_monotonic() - started
        outcome = _build_outcome(answer, seconds)
        if request.kind.heavy and request.kind.idempotent:
            return self._stream(choice, request, answer, outcome)
        body = read_body(answer)
        self.steering.charge_bytes(choice, len(body))
        self.steering.record_outcome(
            choice, replace(outcome, body_bytes=len(body))
        )
        self.steering.release(choice)
        return replace(answer, chunks=iter((body,)), length=len(body))

    def _check_deadline(self, request: Request, now: float) -> None:
        if now >= request.deadline - _RESPONSE_MARGIN_SECONDS:
            raise RequestError(
                'the deadline passed before the request was sent',
                Verdict.NOT_RUN,
                'deadline',
            )

    def _stream(
        self,
        choice: Choice,
        request: Request,
        answer: Answer,
        outcome: Outcome,
    ) -> Answer:
        """Return a streamed response that releases its slot when it ends."""

        def charge_bytes(body_bytes: int) -> None:
            self.steering.charge_bytes(choice, body_bytes)

        def finish(whole: bool) -> None:
            code = OutcomeCode.ANSWERED if whole else OutcomeCode.CANCELLED
            if not whole:
                self.upstreams.cancel(choice.upstream, request.key)
            self.steering.record_outcome(
                choice,
                replace(outcome, code=code, body_bytes=body.received_),
            )
            self.steering.release(choice, may_still_run=not whole)

        body = LengthCheckedBody(answer, charge_bytes, finish)
        return replace(answer, chunks=body)

    def _observe_failure(
        self,
        choice: Choice,
        request: Request,
        error: RequestError,
        sent: SentTry,
        started: float,
    ) -> None:
        if error.code == 'cancelled':
            self.upstreams.cancel(choice.upstream, request.key)
            self.steering.record_outcome(choice, _CANCELLED)
            self.quarantine.evidence.observe_give_up(sent)
        if error.code in SERVER_UNRELATED_CODES:
            return
        code = _OUTCOME_CODES.get(error.code, OutcomeCode.LOST)
        seconds = self.clock.read_monotonic() - started
        self.steering.record_outcome(choice, Outcome(code, seconds))
        if code is OutcomeCode.LOST:
            self.quarantine.evidence.observe_loss(sent)
        elif code is OutcomeCode.TIMEOUT:
            self.quarantine.evidence.observe_give_up(sent)
        elif has_refused(error):
            self.quarantine.evidence.observe_end(sent.server)


def _make_cancelled_error(error: RequestError) -> RequestError:
    return RequestError(error.message, Verdict.MAY_HAVE_RUN, 'cancelled')


def _build_outcome(answer: Answer, seconds: float) -> Outcome:
    headers = {name.lower(): text for name, text in answer.headers}
    return Outcome(
        OutcomeCode.ANSWERED,
        seconds,
        _parse_load(headers.get(_LOAD_HEADER, '')),
        draining=_DRAINING_HEADER in headers,
    )


def _parse_load(text: str) -> float | None:
    """Return the fraction of slots in use that a header reports.

    None if the header is missing or not valid.

    Examples
    --------
    >>> _parse_load('1/4')
    0.25
    >>> _parse_load('lies')

    """
    used, _, slots = text.partition('/')
    try:
        return float(used) / float(slots)
    except (ValueError, ZeroDivisionError):
        return None
