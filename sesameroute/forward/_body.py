"""Reads the body of a backend server's answer."""

from collections.abc import Iterator
from http.client import HTTPException

from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import HTTPResponse

from sesameroute.adapters import ConnectionPool, PooledConnection, is_reusable
from sesameroute.exceptions import RequestError, has_broken_off
from sesameroute.forward._message import TryError
from sesameroute.placement import Outcome

__all__ = ['AnswerBody']

_CHUNK_BYTES = 65_536
# The body of another node's refusal is read up to this size so that its
# connection can be reused.
_MAX_DRAIN_BYTES = 65_536
_READ_ERRORS = (
    RequestError,
    HTTPError,
    HTTPException,
    OSError,
    ValueError,
)
_TIMEOUT_ERRORS = (ReadTimeoutError, TimeoutError)
# Idle connections are dropped this long before the server's own time-out.
_IDLE_MARGIN_SECONDS = 1.0


class AnswerBody:
    """Reads a body and returns its connection to the pool at the end.

    Parameters
    ----------
    response : HTTPResponse
        The answer, with its body unread.
    pooled_connection : PooledConnection
        The connection that the answer came on.
    connections : ConnectionPool
        Pool that the connection is returned to.

    Attributes
    ----------
    byte_count_ : int
        Bytes of the body that have been read.

    """

    def __init__(
        self,
        response: HTTPResponse,
        pooled_connection: PooledConnection,
        connections: ConnectionPool,
    ) -> None:
        """Store the parameters."""
        self.response = response
        self.pooled_connection = pooled_connection
        self.connections = connections
        self._is_done = False
        self.byte_count_ = 0

    def read_up_to(self, limit: int) -> tuple[bytes, bool]:
        """Return the start of the body and whether it is the whole body.

        Reads whole chunks until at least `limit` bytes have come.

        Raises
        ------
        TryError
            The body was truncated.

        """
        parts = []
        size = 0
        for chunk in self:
            parts.append(chunk)
            size += len(chunk)
            if size >= limit:
                break
        return b''.join(parts), self._is_done

    def drain(self) -> None:
        """Discard a short body so that the connection can be reused.

        Closes the connection if the body is long or truncated.
        """
        try:
            self.read_up_to(_MAX_DRAIN_BYTES)
        except TryError:
            self.close()
        if not self._is_done:
            self.close()

    def close(self) -> None:
        """Close the connection unless the whole body was read."""
        if not self._is_done:
            self._is_done = True
            self.pooled_connection.http_connection.close()

    def __iter__(self) -> Iterator[bytes]:
        """Yield the rest of the body; raise TryError if it is truncated."""
        while not self._is_done:
            try:
                chunk = self.response.read(_CHUNK_BYTES)
            except _READ_ERRORS as error:
                self.close()
                raise self._classify_error(error) from error
            if chunk:
                self.byte_count_ += len(chunk)
                yield chunk
            else:
                self._finish()

    def _finish(self) -> None:
        """Note the end of the body; raise TryError if this node caused it."""
        line = self.pooled_connection.http_connection
        if line.ends_with_connection and self.connections.is_aborted:
            self.close()
            raise self._classify_error(
                ConnectionAbortedError('exchanges were broken off')
            )
        self._release_connection()

    def _classify_error(self, error: Exception) -> TryError:
        if isinstance(error, RequestError):
            return TryError(error.message, Outcome.CANCELLED, may_have_run=True)
        # This node, not the server, has broken off an aborted exchange.
        is_aborted = self.connections.is_aborted
        has_timed_out = is_aborted or isinstance(error, _TIMEOUT_ERRORS)
        return TryError(
            f'answer body truncated: {error}',
            Outcome.TIMED_OUT if has_timed_out else Outcome.LOST,
            may_have_run=True,
            has_server_ended=not is_aborted and has_broken_off(error),
        )

    def _release_connection(self) -> None:
        self._is_done = True
        line = self.pooled_connection.http_connection
        headers = self.response.headers
        must_close = (
            headers.get('Connection', '').lower() == 'close'
            or line.ends_with_connection
            or line.has_trailing_bytes
        )
        if must_close or not is_reusable(line.sock):
            line.close()
            return
        self.pooled_connection.idle_seconds = _read_idle_seconds(
            headers.get('Keep-Alive', ''),
            self.pooled_connection.idle_seconds,
        )
        self.connections.put_back(self.pooled_connection)


def _read_idle_seconds(text: str, default: float) -> float:
    """Return the seconds that a Keep-Alive header allows a connection to idle.

    Examples
    --------
    >>> _read_idle_seconds('timeout=5, max=10', 60)
    4.0
    >>> _read_idle_seconds('', 60)
    60

    """
    for part in text.split(','):
        name, _, seconds_text = part.strip().partition('=')
        if name.lower() == 'timeout' and seconds_text.isdigit():
            return max(int(seconds_text) - _IDLE_MARGIN_SECONDS, 0)
    return default
