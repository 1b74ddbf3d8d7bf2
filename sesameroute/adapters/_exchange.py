"""Sends one HTTP request on one connection and reads the answer."""

import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from http.client import HTTPException

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from sesameroute.adapters._caller_disconnect import wait_for_first_byte
from sesameroute.adapters._connection_pool import (
    ConnectionPool,
    PooledConnection,
)
from sesameroute.adapters._limited_reader import ReadLimit
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, Headers, Request
from sesameroute.verdict import Verdict

__all__ = [
    'BodyReader',
    'FirstByteTimeoutError',
    'send_request',
    'strip_headers',
]

_CHUNK_BYTES = 65_536
_MILLISECONDS = 1000
_MIN_WAIT_SECONDS = 0.001  # socket time-out once the deadline has passed
# Names one try; a backend server may return it with its answer.
_TRY_HEADER = 'Sesame-Try'
_TRY_BYTES = 8
_CONNECTION_ERRORS = (HTTPError, HTTPException, OSError)
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-connection',
        'sesame-deadline-ms',
        'sesame-key',
        'sesame-try',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class FirstByteTimeoutError(RequestError):
    """No byte of an answer arrived within the first-byte time-out."""

    code = 'silent'


@dataclass(slots=True)
class BodyReader:
    """Iterates over a body and returns the connection to the pool at its end.

    A connection whose body was not read to the end is closed, never reused.

    Attributes
    ----------
    done : bool
        Whether the body was read to its end or the connection was closed.

    """

    response: HTTPResponse
    connection: PooledConnection
    pool: ConnectionPool
    done: bool = False

    def __iter__(self) -> Iterator[bytes]:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk.

        Raises
        ------
        RequestError
            The connection failed before the end of the body, code
            ``cut-answer``, or the caller closed its connection, code
            ``cancelled``.

        """
        if self.done:
            raise StopIteration
        try:
            chunk = self.response.read(_CHUNK_BYTES)
        except RequestError:
            self.close()
            raise
        except _CONNECTION_ERRORS as error:
            self.close()
            raise RequestError(
                f'answer body ended early: {error}',
                Verdict.MAY_HAVE_RUN,
                'cut-answer',
            ) from error
        if chunk:
            return chunk
        self._finish()
        raise StopIteration

    def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        if not self.done:
            self.done = True
            self.connection.http_connection.close()

    def _finish(self) -> None:
        self.done = True
        if self.connection.http_connection.sock is None or _requests_close(
            self.response
        ):
            self.connection.http_connection.close()
            return
        self.pool.put_back(self.connection)


def send_request(
    pool: ConnectionPool,
    connection: PooledConnection,
    request: Request,
    first_byte_timeout: float | None = None,
) -> Answer:
    """Send a request and return the answer with its body unread.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back when the answer was read to its end.
    connection : PooledConnection
        The connection to use; closed on every error.
    request : Request
        The request; its deadline limits every wait.
    first_byte_timeout : float, optional
        Seconds to wait for the first byte of the answer.

    Raises
    ------
    FirstByteTimeoutError
        No byte arrived within `first_byte_timeout`, code ``silent``.
    RequestError
        Code ``lost``, ``timeout`` or ``cancelled``, verdict `MAY_HAVE_RUN`.
        An answer that names another try is lost.

    """

    def remaining() -> float:
        left = request.deadline - pool.clock.read_monotonic()
        return max(left, _MIN_WAIT_SECONDS)

    wait_seconds = remaining()
    if first_byte_timeout is not None:
        wait_seconds = min(wait_seconds, first_byte_timeout)
    try:
        response = _send(connection, request, wait_seconds, remaining())
    except RequestError:
        connection.http_connection.close()
        raise
    except TimeoutError as error:
        connection.http_connection.close()
        raise _build_timeout_error(wait_seconds, remaining()) from error
    except _CONNECTION_ERRORS as error:
        connection.http_connection.close()
        raise RequestError(
            f'connection failed before the answer: {error}',
            Verdict.MAY_HAVE_RUN,
            'lost',
        ) from error
    return Answer(
        response.status,
        tuple(response.headers.items()),
        BodyReader(response, connection, pool),
        response.length_remaining,
    )


def strip_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one hop only."""
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )


def _send(
    connection: PooledConnection,
    request: Request,
    wait_seconds: float,
    remaining: float,
) -> HTTPResponse:
    headers = dict(strip_headers(request.headers))
    headers[_TRY_HEADER] = secrets.token_hex(_TRY_BYTES)
    headers['Sesame-Deadline-Ms'] = str(int(remaining * _MILLISECONDS))
    if request.key:
        headers['Sesame-Key'] = request.key
    connection.http_connection.timeout = wait_seconds
    connection.http_connection.sock.settimeout(wait_seconds)
    connection.http_connection.request(
        request.method,
        request.path,
        request.body or None,
        headers,
        preload_content=False,
        decode_content=False,
    )
    caller = request.caller if request.kind.idempotent else None
    read_limit = ReadLimit(remaining, caller)
    wait_for_first_byte(connection.http_connection.sock, caller, wait_seconds)
    connection.http_connection.read_limit = read_limit
    response = connection.http_connection.getresponse()
    answered_try = response.headers.get(_TRY_HEADER, headers[_TRY_HEADER])
    if answered_try != headers[_TRY_HEADER]:
        raise RequestError(
            'the answer is a late one to another request',
            Verdict.MAY_HAVE_RUN,
            'lost',
        )
    return response


def _requests_close(response: HTTPResponse) -> bool:
    return response.headers.get('Connection', '').lower() == 'close'


def _build_timeout_error(wait_seconds: float, remaining: float) -> RequestError:
    if remaining > _MIN_WAIT_SECONDS and wait_seconds < remaining:
        return FirstByteTimeoutError(
            f'no first byte of the answer within {wait_seconds:.3f} s',
            Verdict.MAY_HAVE_RUN,
        )
    return RequestError(
        f'no answer within {wait_seconds:.3f} s',
        Verdict.MAY_HAVE_RUN,
        'timeout',
    )
