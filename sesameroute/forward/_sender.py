"""One try: a request to a backend server and the start of its answer."""

import math
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from sesameroute.adapters import KeptConnection, KeptConnections
from sesameroute.adapters import wait_for_answer as wait_for_bytes
from sesameroute.exceptions import RequestError
from sesameroute.forward._body import AnswerBody
from sesameroute.forward._message import Dialect, Marks, TryError
from sesameroute.placement import Outcome
from sesameroute.ports import Answer, Clock, Headers

__all__ = ['Arrival', 'Departure', 'Sender']

_CONNECT_SECONDS = 0.5  # a new connection takes one round trip
_SHORTEST_WAIT = 0.001  # seconds
_FAILURES = (HTTPError, HTTPException, OSError, ValueError)
_ENDS = (TryError, RequestError, *_FAILURES)


@dataclass(frozen=True, slots=True)
class Departure:
    """A request as it is sent.

    Attributes
    ----------
    identifier : str
        The attempt that the answer must name.
    body : bytes, iterable of bytes or None
        The body; an iterable can be sent once.
    until : float
        Monotonic time in seconds at which the answer is given up.
    caller : socket.socket or None
        Connection whose end ends the try; None for requests that are not
        idempotent.
    patience : float
        Monotonic time in seconds from which on another try may be begun.
    may_leave : callable
        Takes leave for that other try; without it the answer is awaited.

    """

    method: str
    target: str
    headers: Headers
    body: bytes | Iterable[bytes] | None
    identifier: str
    until: float
    caller: socket.socket | None
    patience: float = math.inf
    may_leave: Callable[[], bool] = bool


@dataclass(slots=True)
class Arrival:
    """The start of an answer, its body unread."""

    answer: Answer
    marks: Marks
    body: AnswerBody


class Sender:
    """Sends requests over kept or new connections.

    Parameters
    ----------
    connections : KeptConnections
        Opens and keeps the connections.
    dialect : Dialect
        Reads what backend servers say beside their answers.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        connections: KeptConnections,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        """Store the parameters."""
        self.connections = connections
        self.dialect = dialect
        self.clock = clock

    def send(
        self,
        target: tuple[str, int],
        departure: Departure,
        *,
        fresh: bool,
    ) -> Arrival:
        """Send a request and return the start of its answer.

        Parameters
        ----------
        target : tuple of (str, int)
            Address of the backend server.
        departure : Departure
            The request.
        fresh : bool
            Open a new connection: a kept one may have been forgotten by
            the other end, and then nobody knows whether the request ran.

        Raises
        ------
        TryError
            No answer came, or one that says that nothing ran.

        """
        kept = None if fresh else self.connections.take(target)
        if kept is not None:
            try:
                return self._exchange(kept, departure)
            except TryError as error:
                if error.outcome is not Outcome.LOST:
                    raise
                # What was kept beside it is likely lost, too.
                self.connections.suspect(target)
        return self._exchange(self._open(target, departure), departure)

    def _open(
        self,
        target: tuple[str, int],
        departure: Departure,
    ) -> KeptConnection:
        limit = min(self._find_left(departure.until), _CONNECT_SECONDS)
        try:
            return self.connections.open(target, limit)
        except _FAILURES as error:
            raise TryError(
                f'no connection to {target[0]}:{target[1]}: {error}',
                Outcome.UNREACHED,
                may_have_run=False,
            ) from error

    def _exchange(
        self,
        kept: KeptConnection,
        departure: Departure,
    ) -> Arrival:
        try:
            return self._read_own(kept, departure)
        except _ENDS as error:
            kept.line.close()
            raise _name_failure(error) from error

    def _read_own(self, kept: KeptConnection, departure: Departure) -> Arrival:
        self._write(kept, departure)
        response = self._read_head(kept, departure)
        answer = _convert(response)
        marks = self.dialect.read_marks(answer)
        if marks.identifier and marks.identifier != departure.identifier:
            raise _fail('answer is of another request', Outcome.LOST)
        if kept.line.has_defects:
            raise _fail('answer has a broken header', Outcome.LOST)
        body = AnswerBody(response, kept, self.connections, departure.until)
        if marks.is_misdirected or marks.is_not_run:
            body.drain()
            outcome = Outcome.SHED
            if marks.is_misdirected:
                outcome = Outcome.MISDIRECTED
            raise TryError(
                f'backend server answered {answer.status}: not run',
                outcome,
                may_have_run=False,
            )
        if not marks.is_sealed:
            raise _fail("answer is not the backend server's", Outcome.LOST)
        return Arrival(answer, marks, body)

    def _write(self, kept: KeptConnection, departure: Departure) -> None:
        kept.line.timeout = self._find_left(departure.until)
        kept.line.sock.settimeout(kept.line.timeout)
        kept.line.request(
            departure.method,
            departure.target,
            departure.body,
            dict(departure.headers),
            preload_content=False,
            decode_content=False,
        )

    def _read_head(
        self,
        kept: KeptConnection,
        departure: Departure,
    ) -> HTTPResponse:
        if departure.caller is not None:
            self._wait(kept.line.sock, departure)
        kept.line.sock.settimeout(self._find_left(departure.until))
        return kept.line.getresponse()

    def _wait(self, sock: socket.socket, departure: Departure) -> None:
        """Wait for the answer; leave early only for another try."""
        patience = min(departure.patience, departure.until)
        try:
            wait_for_bytes(sock, departure.caller, self._find_left(patience))
        except TimeoutError:
            if patience == departure.until or departure.may_leave():
                raise
            left = self._find_left(departure.until)
            wait_for_bytes(sock, departure.caller, left)

    def _find_left(self, until: float) -> float:
        return max(until - self.clock.read_monotonic(), _SHORTEST_WAIT)


def _convert(response: HTTPResponse) -> Answer:
    headers = tuple(response.headers.items())
    stated = response.headers.get('Content-Length', '')
    length = int(stated) if stated.isdigit() else None
    return Answer(response.status, headers, length=length)


def _name_failure(error: Exception) -> TryError:
    """Return what a failure on the connection means for the request."""
    if isinstance(error, TryError):
        return error
    if isinstance(error, TimeoutError):
        return _fail('no answer in time', Outcome.TIMED_OUT)
    if isinstance(error, RequestError):
        return _fail(error.message, Outcome.CANCELLED)
    return _fail(f'answer was lost: {error}', Outcome.LOST)


def _fail(message: str, outcome: Outcome) -> TryError:
    return TryError(message, outcome, may_have_run=True)
