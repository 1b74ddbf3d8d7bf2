"""Sends requests to backend servers over urllib3 connections."""

from urllib3.exceptions import HTTPError

from sesameroute.adapters._connection_pool import (
    ConnectionPool,
    PooledConnection,
)
from sesameroute.adapters._exchange import FirstByteTimeoutError, send_request
from sesameroute.exceptions import RequestError
from sesameroute.ports import (
    BACKEND_STOP_SECONDS,
    Answer,
    Clock,
    Request,
    Upstreams,
    Wire,
)
from sesameroute.statement import Upstream
from sesameroute.verdict import Verdict

__all__ = ['HttpUpstreams']

_CONNECT_SECONDS = 0.5
# On a reused connection, a backend server gets this multiple of the kind's
# usual work time, but at least the minimum, to send its first byte.
_MIN_FIRST_BYTE_SECONDS = 0.2
_FIRST_BYTE_WORK_FACTOR = 8
_MILLISECONDS = 1000
_CANCEL_CONNECT_SECONDS = 0.5
_SHED_HEADERS = (('Sesame-Shed', 'shed'), ('Sesame-Draining', 'draining'))
_UNAVAILABLE = 503


class HttpUpstreams(Upstreams):
    """Sends requests to backend servers; implements `ports.Upstreams`.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.

    """

    def __init__(self, wire: Wire, source: str, clock: Clock) -> None:
        """Store the parameters."""
        self.wire = wire
        self.source = source
        self.clock = clock
        self._connections = ConnectionPool(wire, source, clock)

    def send(
        self,
        upstream: Upstream,
        request: Request,
        *,
        new_connection: bool,
    ) -> Answer:
        """Send a request and return the answer with its body unread.

        If a reused connection fails, the other idle connections to the
        backend server are closed; if no first byte arrives on it in time,
        all idle connections are. The request is then sent once more on a new
        connection, which is safe because only idempotent requests may use
        idle connections.

        Parameters
        ----------
        upstream : Upstream
            The backend server.
        request : Request
            The request.
        new_connection : bool
            Whether to open a new connection instead of reusing an idle one.

        Raises
        ------
        RequestError
            No connection, no answer in time, or the answer says that the
            backend server sheds load or is draining.

        """
        target = (upstream.address, upstream.port)
        connection = (
            None if new_connection else self._connections.take_idle(target)
        )
        if connection is not None:
            answer = self._try_idle_connection(connection, request)
            if answer is not None:
                return _raise_if_shed(answer)
        opened = self._open(target, request, is_retry=connection is not None)
        return _raise_if_shed(send_request(self._connections, opened, request))

    def cancel(self, upstream: Upstream, key: str) -> None:
        """Tell a backend server that the answer is no longer needed.

        Failures are ignored.
        """
        target = (upstream.address, upstream.port)
        try:
            connection = self._connections.open(target, _CANCEL_CONNECT_SECONDS)
        except (HTTPError, OSError):
            return
        try:
            connection.http_connection.request('POST', f'/-/cancel/{key}')
        except (HTTPError, OSError):
            return
        finally:
            connection.http_connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close()

    def _try_idle_connection(
        self,
        connection: PooledConnection,
        request: Request,
    ) -> Answer | None:
        scaled_work_seconds = (
            request.kind.work_ms / _MILLISECONDS * _FIRST_BYTE_WORK_FACTOR
        )
        first_byte_timeout = max(_MIN_FIRST_BYTE_SECONDS, scaled_work_seconds)
        try:
            return send_request(
                self._connections, connection, request, first_byte_timeout
            )
        except RequestError as error:
            self._connections.close_idle(connection.target)
            if error.code not in {FirstByteTimeoutError.code, 'lost'}:
                raise
            if error.code == FirstByteTimeoutError.code:
                self._connections.close_all_idle()
                # The backend server may still run the request. Wait until it
                # has stopped, or the next attempt would run at the same time
                # although the request holds only one slot.
                self.clock.sleep(BACKEND_STOP_SECONDS)
        return None

    def _open(
        self,
        target: tuple[str, int],
        request: Request,
        *,
        is_retry: bool,
    ) -> PooledConnection:
        remaining = request.deadline - self.clock.read_monotonic()
        try:
            return self._connections.open(
                target, min(remaining, _CONNECT_SECONDS)
            )
        except (HTTPError, OSError, ValueError) as error:
            verdict = Verdict.MAY_HAVE_RUN if is_retry else Verdict.NOT_RUN
            code = 'lost' if is_retry else 'refused'
            raise RequestError(
                f'could not connect to backend server {target}: {error}',
                verdict,
                code,
            ) from error


def _raise_if_shed(answer: Answer) -> Answer:
    if answer.status != _UNAVAILABLE:
        return answer
    names = {name.lower() for name, _ in answer.headers}
    for header, code in _SHED_HEADERS:
        if header.lower() in names:
            # The connection is not reused: a faulty server may write the
            # refusal once more, where the next answer is expected.
            answer.chunks.close()
            raise RequestError(
                f'backend server answered {_UNAVAILABLE} with {header}',
                Verdict.NOT_RUN,
                code,
            )
    return answer
