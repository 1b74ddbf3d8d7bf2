"""urllib3 connections whose TCP connections are opened by `ports.Wire`."""

import contextlib
import socket

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from sesameroute.adapters._checked_response import CheckedResponse
from sesameroute.adapters._limited_reader import ReadLimit
from sesameroute.ports import Wire

__all__ = ['WireConnection', 'build_pool']

_CONNECT_SECONDS = 1.0
_POOL_SIZE = 8
_MAX_WHOLE_BYTES = 33_554_432  # of a response that is kept in memory


class WireConnection(HTTPConnection):
    """An HTTP connection opened by `wire` from a given local address.

    Parameters
    ----------
    host : str
        IP address of the server.
    port : int
        TCP port of the server.
    wire : Wire
        Opens the TCP connection.
    source : str
        Local IP address to bind.
    options : dict
        Further arguments of `urllib3.connection.HTTPConnection`.

    Attributes
    ----------
    read_limit : ReadLimit or None
        Ends the reading of the next responses, from the first byte to the
        last. None limits them to the connection's time-out and to a size
        that can be kept in memory, as for responses that are read whole.

    """

    def __init__(
        self,
        host: str,
        port: int | None = None,
        *,
        wire: Wire,
        source: str,
        **options: object,
    ) -> None:
        """Store the parameters."""
        super().__init__(host, port, **options)
        self.wire = wire
        self.source = source
        self.read_limit: ReadLimit | None = None
        self.response_class = self._build_response
        self._last_response: CheckedResponse | None = None
        self._opened_socket: socket.socket | None = None
        self._write_error: OSError | None = None

    def send(self, content: object) -> None:
        """Send bytes of a request; remember an error for its response."""
        try:
            super().send(content)
        except OSError as error:
            self._write_error = error
            raise

    def abort(self) -> None:
        """Break off the exchange: waits for the server end at once."""
        if self._opened_socket is not None:
            with contextlib.suppress(OSError):  # it may be closed already
                self._opened_socket.shutdown(socket.SHUT_RDWR)

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether bytes followed the last response."""
        return (
            self._last_response is not None
            and self._last_response.has_trailing_bytes
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the last response."""
        last_response = self._last_response
        return (
            last_response is not None
            and not last_response.chunked
            and last_response.length is None
        )

    def _build_response(
        self,
        sock: socket.socket,
        **options: object,
    ) -> CheckedResponse:
        self._last_response = CheckedResponse(
            sock,
            self.read_limit or self._build_default_limit(),
            self._write_error,
            **options,
        )
        return self._last_response

    def _build_default_limit(self) -> ReadLimit | None:
        if isinstance(self.timeout, int | float):
            return ReadLimit(self.timeout, max_bytes=_MAX_WHOLE_BYTES)
        return None

    def _new_conn(self) -> socket.socket:
        seconds = self.timeout
        if not isinstance(seconds, (int, float)):
            seconds = _CONNECT_SECONDS
        self._write_error = None
        try:
            self._opened_socket = self.wire.connect(
                self.source,
                (self.host, self.port),
                seconds,
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(self, str(error)) from error
        except OSError as error:
            raise NewConnectionError(self, str(error)) from error
        return self._opened_socket


def build_pool(
    wire: Wire,
    source: str,
    target: tuple[str, int],
    size: int = _POOL_SIZE,
) -> HTTPConnectionPool:
    """Return a pool of keep-alive connections to one server.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    target : tuple of (str, int)
        IP address and port of the server.
    size : int
        Largest number of idle connections.

    """
    host, port = target
    pool = HTTPConnectionPool(
        host,
        port,
        maxsize=size,
        retries=False,
        wire=wire,
        source=source,
    )
    pool.ConnectionCls = WireConnection
    return pool
