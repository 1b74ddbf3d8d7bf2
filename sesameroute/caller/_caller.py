"""Sends requests of one caller.

Covers look-up of an entry VM, request keys, retries on other entry VMs, and
the verdict on whether a request may have run.
"""

import random
import secrets
from dataclasses import dataclass, field, replace

from urllib3.exceptions import HTTPError

from sesameroute.adapters import (
    ConnectionPool,
    PooledConnection,
    find_header,
    read_error,
    send_request,
)
from sesameroute.caller._directory import Directory, EntryAddress
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Headers, Request
from sesameroute.statement import Kind
from sesameroute.verdict import Verdict

__all__ = ['Caller', 'Outcome']

_CONNECT_TIMEOUT_SECONDS = 0.5
_BACKOFF_SECONDS = 0.03  # Doubled with each attempt.
_MIN_TIMEOUT_SECONDS = 0.01
_NONCE_BYTES = 9
_MILLISECONDS = 1000
_MAX_ATTEMPTS = 6
_BAD_REQUEST = 400
_NO_VERDICT = 'no-verdict'
# Part of the time left that a reused connection gets before the request is
# sent on a new one.
_REUSE_TIMEOUT_FRACTION = 0.3
_UNREACHED = 'unreached'
# Errors raised here, before any entry VM received the request.
_NO_ENTRY_CODES = frozenset((_UNREACHED, 'no-lookup'))
_CONNECTION_LOST_CODES = frozenset(('silent', 'lost'))
# Errors after which the cached look-up answer is likely out of date.
_OUTDATED_LOOKUP_CODES = frozenset(
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
    """Final result of one request, over all attempts.

    Attributes
    ----------
    verdict : Verdict
        `RAN`: `body` is the complete answer. `NOT_RUN`: it is safe to send
        the request again with `Caller.send`. `MAY_HAVE_RUN`: send it with
        the same `key`, or check for its effect, before sending it under a
        new one.
    code : str
        Stable code of a refusal, empty after an answer.
    key : str
        Request key of the last attempt.
    attempts : int
        Number of attempts made.
    retry_after : float
        Seconds to wait before sending the request again.

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
class _RequestState:
    """State of one request over its attempts.

    Attributes
    ----------
    request : Request
        The request, without its key.
    tried_vms : set of str
        Entry VMs chosen by earlier attempts.
    key : str
        Request key of the current attempt; empty if none was made yet.
    attempts : int
        Number of attempts made.
    ambiguous : bool
        Whether an earlier attempt may have run.
    is_final : bool
        Whether a retry would get the same answer as the last attempt.

    """

    request: Request
    tried_vms: set[str] = field(default_factory=set)
    key: str = ''
    attempts: int = 0
    ambiguous: bool = False
    is_final: bool = False


class Caller:
    """Sends an institution's requests through the entry VMs.

    Parameters
    ----------
    directory : Directory
        Source of entry VMs.
    rng : random.Random, optional
        Source of randomness for choosing entry VMs and for jitter.

    Notes
    -----
    A non-idempotent request keeps its key as long as an attempt may have
    run; it gets a new key only after an attempt ended as `NOT_RUN`.

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
        self._connections = ConnectionPool(
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
        """Send a request, with retries, and return its final result.

        Parameters
        ----------
        kind : Kind
            Kind of the request: its service, whether it is idempotent, and
            its default deadline.
        rest : str
            Path after ``/SERVICE/KIND/``, including the query string.
        body : bytes
            Body; a request with one is a POST.
        seconds : float, optional
            Time until the deadline; the deadline of `kind` by default.
        key : str
            Key of an earlier request that may have run.
        headers : tuple of (str, str)
            Additional headers, such as ``traceparent``.

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
        state = _RequestState(request, key=key, ambiguous=bool(key))
        return self._send_with_retries(state)

    def close(self) -> None:
        """Close idle connections."""
        self._connections.close()

    def _send_with_retries(self, state: _RequestState) -> Outcome:
        initial_verdict = (
            Verdict.MAY_HAVE_RUN if state.ambiguous else Verdict.NOT_RUN
        )
        last_error = RequestError(
            'no attempt was made before the deadline',
            initial_verdict,
            'deadline',
        )
        while self._can_attempt(state):
            state.attempts += 1
            try:
                return self._attempt(state)
            except RequestError as error:
                last_error = error
            if not self._prepare_retry(state, last_error):
                break
        return Outcome(
            last_error.verdict,
            code=last_error.code,
            key=state.key,
            attempts=state.attempts,
            retry_after=last_error.retry_after,
        )

    def _can_attempt(self, state: _RequestState) -> bool:
        seconds_left = state.request.deadline - self.clock.read_monotonic()
        return seconds_left > 0 and state.attempts < _MAX_ATTEMPTS

    def _attempt(self, state: _RequestState) -> Outcome:
        try:
            return self._send_to_entry(state)
        except RequestError as error:
            raise _combine_verdicts(state, error) from error

    def _send_to_entry(self, state: _RequestState) -> Outcome:
        entry = self.directory.choose(
            state.request.kind.service,
            self.rng,
            tuple(state.tried_vms),
            state.request.headers,
        )
        state.tried_vms.add(entry.vm)
        if not state.key and not state.request.kind.idempotent:
            nonce = secrets.token_urlsafe(_NONCE_BYTES)
            state.key = f'{entry.prefix}.{nonce}'
        request = replace(state.request, key=state.key)
        try:
            answer = self._exchange(entry, state, request)
        except RequestError:
            self.directory.suspect(entry.vm)
            raise
        return _read_answer(state, answer)

    def _exchange(
        self,
        entry: EntryAddress,
        state: _RequestState,
        request: Request,
    ) -> Answer:
        target = (entry.address, entry.port)
        reused = None
        if request.kind.idempotent:
            reused = self._connections.take_idle(target)
        if reused is not None:
            answer = self._exchange_reused(reused, request)
            if answer is not None:
                return answer
            state.ambiguous = True
        seconds_left = request.deadline - self.clock.read_monotonic()
        opened = self._open_connection(
            target, min(seconds_left, _CONNECT_TIMEOUT_SECONDS)
        )
        return send_request(self._connections, opened, request)

    def _exchange_reused(
        self,
        reused: PooledConnection,
        request: Request,
    ) -> Answer | None:
        """Return the answer on a reused connection, None if it is dead.

        A device on the way, such as a NAT gateway, may have dropped its
        state, so that the connection stays silent. It therefore gets only a
        part of the time left, and after an error on it all idle connections
        to the same VM are closed.
        """
        seconds_left = request.deadline - self.clock.read_monotonic()
        try:
            return send_request(
                self._connections,
                reused,
                request,
                max(
                    seconds_left * _REUSE_TIMEOUT_FRACTION, _MIN_TIMEOUT_SECONDS
                ),
            )
        except RequestError as error:
            self._connections.close_idle(reused.target)
            if error.code not in _CONNECTION_LOST_CODES:
                raise
        return None

    def _open_connection(
        self,
        target: tuple[str, int],
        seconds: float,
    ) -> PooledConnection:
        try:
            return self._connections.open(
                target, max(seconds, _MIN_TIMEOUT_SECONDS)
            )
        except (HTTPError, OSError) as error:
            raise RequestError(
                f'could not connect to entry VM {target}: {error}',
                Verdict.NOT_RUN,
                _UNREACHED,
            ) from error

    def _prepare_retry(self, state: _RequestState, error: RequestError) -> bool:
        """Wait for the next attempt; return whether one is to be made."""
        if state.is_final:
            return False
        if error.verdict.allows_retry and not state.ambiguous:
            state.key = ''
        if error.code in _OUTDATED_LOOKUP_CODES:
            self.directory.forget(state.request.kind.service)
        if error.retry_after:
            return self._wait(state, error.retry_after)
        delay = _BACKOFF_SECONDS * 2**state.attempts
        return self._wait(state, delay * self.rng.random())

    def _wait(self, state: _RequestState, seconds: float) -> bool:
        seconds_left = state.request.deadline - self.clock.read_monotonic()
        if seconds_left <= seconds:
            return False
        self.clock.sleep(seconds)
        return True


def _read_answer(state: _RequestState, answer: Answer) -> Outcome:
    body = b''.join(answer.chunks)
    verdict = find_header(answer.headers, 'Sesame-Verdict')
    if verdict != Verdict.RAN:
        error = read_error(answer.status, answer.headers, body)
        state.is_final = _repeats_on_retry(state.request, answer.status, error)
        raise error
    return Outcome(
        Verdict.RAN,
        answer.status,
        body,
        answer.headers,
        key=state.key,
        attempts=state.attempts,
    )


def _repeats_on_retry(
    request: Request, status: int, error: RequestError
) -> bool:
    """Return whether a retry would get the same answer."""
    if status == _BAD_REQUEST:
        return True
    if request.kind.idempotent or error.code == _NO_VERDICT:
        return False
    return not error.verdict.allows_retry


def _combine_verdicts(
    state: _RequestState, error: RequestError
) -> RequestError:
    """Return the error with the verdict over all attempts."""
    # `NOT_RUN` on a key covers all attempts with it: the entry VM named in
    # the key refuses it from then on. It covers a single attempt if the
    # request has no key or did not reach an entry VM.
    is_key_sealed = (
        error.code not in _NO_ENTRY_CODES and not state.request.kind.idempotent
    )
    if error.verdict.allows_retry and state.ambiguous and not is_key_sealed:
        return RequestError(
            error.message,
            Verdict.MAY_HAVE_RUN,
            error.code,
            error.retry_after,
        )
    state.ambiguous = not error.verdict.allows_retry
    return error
