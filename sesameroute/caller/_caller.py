"""Sends requests of one caller: look-up, request key, failover, verdict."""

import random
import secrets
from dataclasses import dataclass, field, replace

from urllib3.exceptions import HTTPError

from sesameroute.adapters import (
    KeptConnection,
    KeptConnections,
    exchange,
    find_header,
    read_error,
)
from sesameroute.caller._directory import Directory, EntryAddress
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Headers, Request
from sesameroute.statement import Kind
from sesameroute.verdict import Verdict

__all__ = ['Caller', 'Outcome']

_CONNECT_SECONDS = 0.5
_FIRST_PAUSE = 0.03  # seconds, doubled with each attempt
_SHORTEST_CONNECT = 0.01  # seconds
_NONCE_BYTES = 9
_MILLISECONDS = 1000
_MOST_ATTEMPTS = 6
_BAD_REQUEST = 400
_NO_VERDICT = 'no-verdict'
_KEPT_PART = 0.3  # of the time left, before a kept connection is given up
_UNREACHED = 'unreached'
_UNSEALED_CODES = frozenset((_UNREACHED, 'no-lookup'))
_GONE_CODES = frozenset(('silent', 'lost'))
_FRESH_CODES = frozenset(
    (
        'epoch-closed',
        'home-lost',
        'no-room',
        'no-statement',
        'record-full',
        'stopping',
        _UNREACHED,
        'witness-lost',
    ),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The last word on one request.

    Attributes
    ----------
    verdict : Verdict
        `RAN`: `body` is the whole answer. `NOT_RUN`: send it again with
        `Caller.send`. `MAY_HAVE_RUN`: ask with the same `key`, or look for
        its effect, before sending it anew.
    code : str
        Stable code of a refusal, empty after an answer.
    key : str
        Request key of the last attempt.
    attempts : int
        Number of attempts that were made.
    retry_after : float
        Seconds to wait before sending it again.

    """

    verdict: Verdict
    status: int = 0
    body: bytes = b''
    headers: Headers = ()
    code: str = ''
    key: str = ''
    attempts: int = 0
    retry_after: float = 0


@dataclass(slots=True)
class _Journey:
    """State of one request over its attempts."""

    request: Request
    tried: set[str] = field(default_factory=set)
    key: str = ''
    attempts: int = 0
    ambiguous: bool = False
    final: bool = False


class Caller:
    """Sends requests through the entry VMs.

    Parameters
    ----------
    directory : Directory
        Finds entry VMs.
    rng : random.Random, optional
        Source of choices among entry VMs.

    Notes
    -----
    A non-idempotent request keeps its key over all attempts whose fate is
    open; it gets a new key only after a true `NOT_RUN`.

    """

    def __init__(
        self,
        directory: Directory,
        rng: random.Random | None = None,
    ) -> None:
        """Store the parameters."""
        self.directory = directory
        self.rng = rng or random.Random()
        self.clock = directory.clock
        self._connections = KeptConnections(
            directory.wire,
            directory.source,
            directory.clock,
        )

    def send(
        self,
        kind: Kind,
        rest: str = '',
        body: bytes = b'',
        seconds: float | None = None,
        key: str = '',
        headers: Headers = (),
    ) -> Outcome:
        """Send a request and return the last word on it.

        Parameters
        ----------
        kind : Kind
            Kind of the request.
        rest : str
            Path after ``/SERVICE/KIND/``, with its query.
        body : bytes
            Body; a request with one is a POST.
        seconds : float, optional
            Time until the deadline; the kind's own by default.
        key : str
            Key of an earlier request whose fate is open.
        headers : tuple of (str, str)
            Further headers, such as ``traceparent``.

        """
        if seconds is None:
            seconds = kind.deadline_ms / _MILLISECONDS
        request = Request(
            kind,
            'POST' if body or not kind.idempotent else 'GET',
            f'/{kind.service}/{kind.name}/{rest}',
            (*headers, ('Sesame-Domain', self.directory.domain)),
            body,
            deadline=self.clock.read_monotonic() + seconds,
        )
        journey = _Journey(request, key=key, ambiguous=bool(key))
        return self._follow(journey)

    def close(self) -> None:
        """Close kept connections."""
        self._connections.close()

    def _follow(self, journey: _Journey) -> Outcome:
        open_fate = (
            Verdict.MAY_HAVE_RUN if journey.ambiguous else Verdict.NOT_RUN
        )
        failed = RequestError('no attempt', open_fate, 'deadline')
        while self._may_try(journey):
            journey.attempts += 1
            try:
                return self._attempt(journey)
            except RequestError as error:
                failed = error
            if not self._prepare_next(journey, failed):
                break
        return Outcome(
            failed.verdict,
            code=failed.code,
            key=journey.key,
            attempts=journey.attempts,
            retry_after=failed.retry_after,
        )

    def _may_try(self, journey: _Journey) -> bool:
        left = journey.request.deadline - self.clock.read_monotonic()
        return left > 0 and journey.attempts < _MOST_ATTEMPTS

    def _attempt(self, journey: _Journey) -> Outcome:
        try:
            return self._try_entry(journey)
        except RequestError as error:
            raise _judge(journey, error) from error

    def _try_entry(self, journey: _Journey) -> Outcome:
        entry = self.directory.choose(
            journey.request.kind.service,
            self.rng,
            tuple(journey.tried),
            journey.request.headers,
        )
        journey.tried.add(entry.vm)
        if not journey.key and not journey.request.kind.idempotent:
            nonce = secrets.token_urlsafe(_NONCE_BYTES)
            journey.key = f'{entry.prefix}.{nonce}'
        request = replace(journey.request, key=journey.key)
        try:
            answer = self._exchange(entry, journey, request)
        except RequestError:
            self.directory.suspect(entry.vm)
            raise
        return _read_answer(journey, answer)

    def _exchange(
        self,
        entry: EntryAddress,
        journey: _Journey,
        request: Request,
    ) -> Answer:
        target = (entry.address, entry.port)
        kept = None
        if request.kind.idempotent:
            kept = self._connections.take(target)
        if kept is not None:
            answer = self._try_kept(kept, request)
            if answer is not None:
                return answer
            journey.ambiguous = True
        left = request.deadline - self.clock.read_monotonic()
        opened = self._open(target, min(left, _CONNECT_SECONDS))
        return exchange(self._connections, opened, request)

    def _try_kept(
        self,
        kept: KeptConnection,
        request: Request,
    ) -> Answer | None:
        """Return the answer on a kept connection, None if it has gone.

        Whatever lies between the two ends may have lost track of it, so it
        gets a part of the time only; its brothers are not trusted either.
        """
        left = request.deadline - self.clock.read_monotonic()
        try:
            return exchange(
                self._connections,
                kept,
                request,
                max(left * _KEPT_PART, _SHORTEST_CONNECT),
            )
        except RequestError as error:
            self._connections.suspect(kept.target)
            if error.code not in _GONE_CODES:
                raise
        return None

    def _open(
        self,
        target: tuple[str, int],
        seconds: float,
    ) -> KeptConnection:
        try:
            return self._connections.open(
                target, max(seconds, _SHORTEST_CONNECT)
            )
        except (HTTPError, OSError) as error:
            raise RequestError(
                f'entry VM {target} was not reached: {error}',
                Verdict.NOT_RUN,
                _UNREACHED,
            ) from error

    def _prepare_next(self, journey: _Journey, error: RequestError) -> bool:
        """Return whether another attempt makes sense now."""
        if journey.final:
            return False
        if error.verdict.allows_retry and not journey.ambiguous:
            journey.key = ''
        if error.code in _FRESH_CODES:
            self.directory.forget(journey.request.kind.service)
        if error.retry_after:
            return self._wait(journey, error.retry_after)
        pause = _FIRST_PAUSE * 2**journey.attempts
        return self._wait(journey, pause * self.rng.random())

    def _wait(self, journey: _Journey, seconds: float) -> bool:
        left = journey.request.deadline - self.clock.read_monotonic()
        if left <= seconds:
            return False
        self.clock.sleep(seconds)
        return True


def _read_answer(journey: _Journey, answer: Answer) -> Outcome:
    body = b''.join(answer.chunks)
    verdict = find_header(answer.headers, 'Sesame-Verdict')
    if verdict != Verdict.RAN:
        error = read_error(answer.status, answer.headers, body)
        journey.final = _is_final(journey.request, answer.status, error)
        raise error
    return Outcome(
        Verdict.RAN,
        answer.status,
        body,
        answer.headers,
        key=journey.key,
        attempts=journey.attempts,
    )


def _is_final(request: Request, status: int, error: RequestError) -> bool:
    """Return whether asking again would bring the same word."""
    if status == _BAD_REQUEST:
        return True
    if request.kind.idempotent or error.code == _NO_VERDICT:
        return False
    return not error.verdict.allows_retry


def _judge(journey: _Journey, error: RequestError) -> RequestError:
    """Return the error with the verdict on all attempts together."""
    # A home seals a key for all attempts; without one, nobody does.
    sealed = (
        error.code not in _UNSEALED_CODES
        and not journey.request.kind.idempotent
    )
    if error.verdict.allows_retry and journey.ambiguous and not sealed:
        return RequestError(
            error.message,
            Verdict.MAY_HAVE_RUN,
            error.code,
            error.retry_after,
        )
    journey.ambiguous = not error.verdict.allows_retry
    return error
