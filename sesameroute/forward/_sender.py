"""Sends a request to a backend server and reads the head of its answer."""

import logging
import math
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from sesameroute.adapters import ConnectionPool, PooledConnection, ReadLimit
from sesameroute.exceptions import (
    InputError,
    RequestError,
    has_broken_off,
    has_refused,
)
from sesameroute.forward._answer_wait import AnswerWait, ServerCondition
from sesameroute.forward._body import AnswerBody
from sesameroute.forward._message import AnswerMetadata, HeaderCodec, TryError
from sesameroute.placement import Outcome
from sesameroute.ports import Answer, Clock, Headers

__all__ = ['OutgoingRequest', 'ReceivedAnswer', 'Sender']

_CONNECT_TIMEOUT_SECONDS = 0.5  # opening a connection takes one round trip
_MIN_WAIT_SECONDS = 0.001
# A connection that the server dropped while it was idle fails within a round
# trip. A later failure is a loss of the server that ran the request.
_MAX_DROPPED_SECONDS = 0.25
_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
_TRY_ERRORS = (TryError, RequestError, *_CONNECTION_ERRORS)

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request as it is sent to a backend server.

    Attributes
    ----------
    identifier : str
        Attempt identifier that the answer must carry.
    body : bytes, iterable of bytes or None
        The body; an iterable can be sent only once.
    deadline : float
        Monotonic time in seconds at which waiting for the answer times out.
    caller : socket.socket or None
        The caller's connection: the try is cancelled when it closes. None
        for requests that are not idempotent, which are not cancelled.
    retry_at : float
        Monotonic time in seconds from which the try may be abandoned for a
        retry.
    may_abandon : callable
        Called at `retry_at`; the try goes on if it returns False.
    may_resend : callable
        Called after a kept connection broke; returns whether the request may
        be sent to the same backend server on a new one.
    observe_metadata : callable
        Called with the metadata of each answer that the server itself gave.
    find_condition : callable
        Tells whether a server that is silent still runs.

    """

    method: str
    target: str
    headers: Headers
    body: bytes | Iterable[bytes] | None
    identifier: str
    deadline: float
    caller: socket.socket | None
    retry_at: float = math.inf
    may_abandon: Callable[[], bool] = bool
    may_resend: Callable[[], bool] = bool
    observe_metadata: Callable[[AnswerMetadata], None] = bool
    find_condition: Callable[[], ServerCondition] = lambda: (
        ServerCondition.ALIVE
    )


@dataclass(slots=True)
class ReceivedAnswer:
    """The head of an answer, its metadata and its unread body."""

    answer: Answer
    answer_metadata: AnswerMetadata
    body: AnswerBody


class Sender:
    """Sends requests over pooled or new connections.

    Parameters
    ----------
    connections : ConnectionPool
        Pool of connections to backend servers.
    header_codec : HeaderCodec
        Reads the metadata in the headers of answers.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        header_codec: HeaderCodec,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.connections = connections
        self.header_codec = header_codec
        self.clock = clock

    def send(
        self,
        target: tuple[str, int],
        outgoing: OutgoingRequest,
        *,
        new_connection: bool,
    ) -> ReceivedAnswer:
        """Send a request and return the head of its answer.

        Parameters
        ----------
        target : tuple of (str, int)
            Address of the backend server.
        outgoing : OutgoingRequest
            The request.
        new_connection : bool
            Open a new connection instead of taking one from the pool. The
            server may have dropped an idle connection already, and then it
            is unknown whether the request ran.

        Raises
        ------
        TryError
            No valid answer came, or one that says that the request was not
            run.

        """
        pooled_connection = (
            None if new_connection else self.connections.take_idle(target)
        )
        if pooled_connection is None:
            return self._exchange(self._connect(target, outgoing), outgoing)
        started_at = self.clock.read_monotonic()
        try:
            return self._exchange(pooled_connection, outgoing)
        except TryError as error:
            if error.outcome is not Outcome.LOST:
                raise
            # The other pooled connections to this server are likely broken,
            # too.
            self.connections.close_idle(target)
            seconds = self.clock.read_monotonic() - started_at
            if seconds > _MAX_DROPPED_SECONDS:
                raise
            return self._resend(target, outgoing, error)

    def _resend(
        self, target: tuple[str, int], outgoing: OutgoingRequest, lost: TryError
    ) -> ReceivedAnswer:
        """Send again on a new connection, or raise the first error.

        A server that closed an idle connection takes a new one. One that
        crashed under the request does not: the request has been lost then.
        """
        if not outgoing.may_resend():
            raise lost
        try:
            connection = self._connect(target, outgoing)
        except TryError as error:
            raise lost from error
        _logger.info(
            'connection replaced',
            extra={
                'request': outgoing.identifier,
                'target': '{0}:{1}'.format(*target),
                'why': lost.message,
            },
        )
        return self._exchange(connection, outgoing)

    def _connect(
        self,
        target: tuple[str, int],
        outgoing: OutgoingRequest,
    ) -> PooledConnection:
        limit = min(
            self._compute_remaining(outgoing.deadline), _CONNECT_TIMEOUT_SECONDS
        )
        try:
            return self.connections.open(target, limit)
        except _CONNECTION_ERRORS as error:
            raise TryError(
                f'cannot connect to {target[0]}:{target[1]}: {error}',
                Outcome.UNREACHED,
                may_have_run=False,
                has_server_ended=has_refused(error),
            ) from error

    def _exchange(
        self,
        pooled_connection: PooledConnection,
        outgoing: OutgoingRequest,
    ) -> ReceivedAnswer:
        try:
            return self._read_matching_answer(pooled_connection, outgoing)
        except InputError:
            # The server would wait for the rest of the caller's body.
            pooled_connection.http_connection.close()
            raise
        except _TRY_ERRORS as error:
            pooled_connection.http_connection.close()
            failure = _classify_error(error)
            if self.connections.is_aborted and failure.outcome is Outcome.LOST:
                failure = _build_error('node stopped', Outcome.TIMED_OUT)
            raise failure from error

    def _read_matching_answer(
        self, pooled_connection: PooledConnection, outgoing: OutgoingRequest
    ) -> ReceivedAnswer:
        self._send_request(pooled_connection, outgoing)
        response = self._read_head(pooled_connection, outgoing)
        answer = _convert_head(response)
        answer_metadata = self.header_codec.read_answer_metadata(answer)
        _check_identity(outgoing, answer_metadata)
        is_own = answer_metadata.is_sealed or answer_metadata.is_not_run
        if is_own and not answer_metadata.is_misdirected:
            outgoing.observe_metadata(answer_metadata)
        if answer_metadata.is_misdirected or answer_metadata.is_not_run:
            # The connection is not reused: a faulty server may write the
            # refusal once more, where the next answer is expected.
            outcome = Outcome.SHED
            if answer_metadata.is_misdirected:
                outcome = Outcome.MISDIRECTED
            raise TryError(
                f'backend server answered {answer.status} without running it',
                outcome,
                may_have_run=False,
                has_server_ended=answer_metadata.is_misdirected,
            )
        if not answer_metadata.is_sealed:
            raise _build_error('answer lacks the seal header', Outcome.LOST)
        body = AnswerBody(response, pooled_connection, self.connections)
        return ReceivedAnswer(answer, answer_metadata, body)

    def _send_request(
        self, pooled_connection: PooledConnection, outgoing: OutgoingRequest
    ) -> None:
        pooled_connection.http_connection.timeout = self._compute_remaining(
            outgoing.deadline
        )
        pooled_connection.http_connection.sock.settimeout(
            pooled_connection.http_connection.timeout
        )
        body = outgoing.body
        if body is not None and not isinstance(body, bytes):
            body = self._send_in_time(pooled_connection, outgoing)
        try:
            pooled_connection.http_connection.request(
                outgoing.method,
                outgoing.target,
                body,
                dict(outgoing.headers),
                preload_content=False,
                decode_content=False,
            )
        except ConnectionError:
            # A server may answer a long body before its end, and close.
            if body is outgoing.body:
                raise

    def _send_in_time(
        self, pooled_connection: PooledConnection, outgoing: OutgoingRequest
    ) -> Iterator[bytes]:
        """Yield the parts of a body; raise TimeoutError at the deadline.

        The time-out of a socket counts for each part alone.
        """
        for part in outgoing.body:
            remaining = outgoing.deadline - self.clock.read_monotonic()
            if remaining <= 0:
                raise TimeoutError('request not sent by the deadline')
            pooled_connection.http_connection.sock.settimeout(remaining)
            yield part

    def _read_head(
        self,
        pooled_connection: PooledConnection,
        outgoing: OutgoingRequest,
    ) -> HTTPResponse:
        wait = AnswerWait(
            outgoing.deadline,
            outgoing.retry_at,
            outgoing.may_abandon,
            outgoing.find_condition,
        )
        wait.wait(
            pooled_connection.http_connection.sock, outgoing.caller, self.clock
        )
        pooled_connection.http_connection.read_limit = ReadLimit(
            self._compute_remaining(outgoing.deadline), outgoing.caller
        )
        return pooled_connection.http_connection.getresponse()

    def _compute_remaining(self, deadline: float) -> float:
        return max(deadline - self.clock.read_monotonic(), _MIN_WAIT_SECONDS)


def _convert_head(response: HTTPResponse) -> Answer:
    return Answer(
        response.status,
        tuple(response.headers.items()),
        length=response.length_remaining,
    )


def _check_identity(
    outgoing: OutgoingRequest, answer_metadata: AnswerMetadata
) -> None:
    """Raise an error if the answer belongs to another request."""
    identifier = answer_metadata.identifier
    if identifier and identifier != outgoing.identifier:
        raise _build_error(
            'answer carries another attempt identifier', Outcome.LOST
        )


def _classify_error(error: Exception) -> TryError:
    """Convert an error on the connection to a TryError."""
    if isinstance(error, TryError):
        return error
    if isinstance(error, TimeoutError):
        return _build_error(
            'timed out waiting for the answer', Outcome.TIMED_OUT
        )
    if isinstance(error, RequestError):
        return _build_error(error.message, Outcome.CANCELLED)
    return TryError(
        f'no valid answer: {error}',
        Outcome.LOST,
        may_have_run=True,
        has_server_ended=has_broken_off(error),
    )


def _build_error(message: str, outcome: Outcome) -> TryError:
    return TryError(message, outcome, may_have_run=True)
