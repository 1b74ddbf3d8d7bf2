"""One try at a backend server."""

import threading
from dataclasses import replace
from typing import Final

from sesameroute.delivery._body import CheckedBody, read_whole
from sesameroute.exceptions import RequestError
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
from sesameroute.quarantine import Quarantine
from sesameroute.verdict import Verdict

__all__ = ['LOCAL_CODES', 'Attempt']

_RETURN_SECONDS: Final = 0.01  # kept back from the deadline for the way back
_LOAD_HEADER: Final = 'sesame-load'
_DRAINING_HEADER: Final = 'sesame-draining'
_OUTCOMES: Final = {  # noqa: WPS407
    'shed': OutcomeCode.SHED,
    'draining': OutcomeCode.DRAINING,
    'refused': OutcomeCode.REFUSED,
    'timeout': OutcomeCode.TIMEOUT,
    'silent': OutcomeCode.TIMEOUT,
}


_CANCELLED: Final = Outcome(OutcomeCode.CANCELLED)

# Codes of refusals that say nothing about the backend server.
LOCAL_CODES: Final = frozenset(
    ('answer-too-large', 'cancelled', 'deadline', 'quarantined', 'suspected'),
)


class Attempt:
    """Sends requests to chosen backend servers and learns from each try.

    Parameters
    ----------
    clock : Clock
        Source of time.
    steering : Steering
        Told of every outcome; slots are released to it.
    upstreams : Upstreams
        Way to the backend servers.
    quarantine : Quarantine
        Told of losses and of answers.

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
        self.running_: dict[int, bool] = {}
        self._lock = threading.Lock()

    def cancel(self, choice: Choice, key: str) -> None:
        """Tell a backend server that nobody waits for a running try."""
        with self._lock:
            runs = choice.ticket in self.running_
            if runs:
                self.running_[choice.ticket] = True
        if runs:
            self.upstreams.cancel(choice.upstream, key)

    def send(
        self,
        choice: Choice,
        request: Request,
        fingerprint: str,
    ) -> Answer:
        """Return the answer of a backend server; its slot gets released.

        Light answers are whole on return, heavy ones stream.

        Raises
        ------
        RequestError
            No whole answer; the code tells why.

        """
        started = self.clock.read_monotonic()
        with self._lock:
            self.running_[choice.ticket] = False
        try:
            answer = self._exchange(choice, request, fingerprint, started)
        except RequestError as error:
            if self._end(choice):
                self.steering.observe(choice, _CANCELLED)
                self.steering.release(choice, runs=True)
                raise _name_cancelled(error) from error
            self._observe_failure(choice, request, error, fingerprint, started)
            runs = error.verdict is not Verdict.NOT_RUN
            self.steering.release(choice, runs=runs)
            raise
        except BaseException:
            self._end(choice)
            self.steering.release(choice, runs=True)
            raise
        self._end(choice)
        self.quarantine.observe_answer(fingerprint)
        return answer

    def _end(self, choice: Choice) -> bool:
        """Note the end of a try; return whether it was cancelled."""
        with self._lock:
            return self.running_.pop(choice.ticket, False)

    def _exchange(
        self,
        choice: Choice,
        request: Request,
        fingerprint: str,
        started: float,
    ) -> Answer:
        self._check_deadline(request, started)
        self.quarantine.begin(fingerprint)
        answer = self.upstreams.send(
            choice.upstream,
            replace(request, deadline=request.deadline - _RETURN_SECONDS),
            fresh=not request.kind.idempotent,
        )
        seconds = self.clock.read_monotonic() - started
        outcome = _read_outcome(answer, seconds)
        if request.kind.heavy and request.kind.idempotent:
            return self._stream(choice, request, answer, outcome)
        body = read_whole(answer)
        self.steering.charge(choice, len(body))
        self.steering.observe(choice, replace(outcome, body_bytes=len(body)))
        self.steering.release(choice)
        return replace(answer, chunks=iter((body,)), length=len(body))

    def _check_deadline(self, request: Request, now: float) -> None:
        if now >= request.deadline - _RETURN_SECONDS:
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
        """Return an answer that gives its slot back when its body ends."""

        def charge(body_bytes: int) -> None:
            self.steering.charge(choice, body_bytes)

        def finish(whole: bool) -> None:
            code = OutcomeCode.ANSWERED if whole else OutcomeCode.CANCELLED
            if not whole:
                self.upstreams.cancel(choice.upstream, request.key)
            self.steering.observe(
                choice,
                replace(outcome, code=code, body_bytes=body.received_),
            )
            self.steering.release(choice, runs=not whole)

        body = CheckedBody(answer, charge, finish)
        return replace(answer, chunks=body)

    def _observe_failure(
        self,
        choice: Choice,
        request: Request,
        error: RequestError,
        fingerprint: str,
        started: float,
    ) -> None:
        if error.code == 'cancelled':
            self.upstreams.cancel(choice.upstream, request.key)
            self.steering.observe(choice, _CANCELLED)
        if error.code in LOCAL_CODES:
            return
        code = _OUTCOMES.get(error.code, OutcomeCode.LOST)
        seconds = self.clock.read_monotonic() - started
        self.steering.observe(choice, Outcome(code, seconds))
        if code is OutcomeCode.LOST:
            name = choice.upstream.name
            self.quarantine.observe_loss(fingerprint, name)


def _name_cancelled(error: RequestError) -> RequestError:
    return RequestError(error.message, Verdict.MAY_HAVE_RUN, 'cancelled')


def _read_outcome(answer: Answer, seconds: float) -> Outcome:
    headers = {name.lower(): text for name, text in answer.headers}
    return Outcome(
        OutcomeCode.ANSWERED,
        seconds,
        _parse_load(headers.get(_LOAD_HEADER, '')),
        draining=_DRAINING_HEADER in headers,
    )


def _parse_load(text: str) -> float | None:
    """Return the part of slots in use that a header reports.

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
