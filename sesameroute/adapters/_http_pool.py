"""urllib3 connections whose TCP connections are opened by `ports.Wire`."""

import contextlib
import socket
from collections.abc import Iterator
from http.client import HTTPResponse, RemoteDisconnected
from io import BufferedReader

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from sesameroute.ports import Wire

__all__ = ['WireConnection', 'build_pool']

_CONNECT_SECONDS = 1.0
_POOL_SIZE = 8


class _HeadReader:
    """Reads the lines of a head; raises an error if they end too early.

    `http.client` takes the end of a connection for the end of the head, so
    a head that lacks its last headers would look complete.

    Parameters
    ----------
    reader : BufferedReader
        Reads the response.

    """

    def __init__(self, reader: BufferedReader) -> None:
        """Store the reader; no line has been read yet."""
        self.reader = reader
        self._has_status = False

    def readline(self, limit: int) -> bytes:
        """Return the next line.

        Raises
        ------
        RemoteDisconnected
            The connection ended after the status line and before the head
            was complete.

        """
        line = self.reader.readline(limit)
        if self._has_status and not line:
            raise RemoteDisconnected('connection closed within the head')
        self._has_status = True
        return line

    def close(self) -> None:
        """Close the reader."""
        self.reader.close()


class CheckedResponse(HTTPResponse):
    """A response that detects incomplete heads and bytes after its end.

    Attributes
    ----------
    has_trailing_bytes : bool
        Whether more bytes had already arrived when the end of the response
        was read. They belong to no request.

    """

    def __init__(self, sock: socket.socket, **options: object) -> None:
        """Store the socket; `options` go to `http.client.HTTPResponse`."""
        super().__init__(sock, **options)
        self.has_trailing_bytes = False
        self._socket = sock

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        RemoteDisconnected
            The connection ended before the head was complete.

        """
        with self._checked_head():
            super().begin()

    @contextlib.contextmanager
    def _checked_head(self) -> Iterator[None]:
        reader = self.fp
        self.fp = _HeadReader(reader)
        try:
            yield
        finally:
            if self.fp is not None:  # it is closed otherwise
                self.fp = reader

    def _close_conn(self) -> None:
        """Check for further bytes before the read buffer is discarded."""
        if isinstance(self.fp, BufferedReader) and not self.fp.closed:
            self.has_trailing_bytes = _has_unread_bytes(self.fp, self._socket)
        super()._close_conn()


def _has_unread_bytes(reader: BufferedReader, sock: socket.socket) -> bool:
    """Return whether bytes can be read now; never blocks.

    A broken connection counts as one with bytes, since neither may be reused.
    """
    timeout = sock.gettimeout()
    try:
        sock.settimeout(0)
        return bool(reader.peek(1))
    except (OSError, ValueError):
        return True
    finally:
        sock.settimeout(timeout)


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
        self.response_class = self._build_response
        self._last_response: CheckedResponse | None = None
        self._opened_socket: socket.socket | None = None

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

    @property
    def has_header_defects(self) -> bool:
        """Whether the header block of the last response had parse errors."""
        return self._last_response is not None and bool(
            self._last_response.msg.defects
        )

    def _build_response(
        self,
        sock: socket.socket,
        **options: object,
    ) -> 'CheckedResponse':
        self._last_response = CheckedResponse(sock, **options)
        return self._last_response

    def _new_conn(self) -> socket.socket:
        seconds = self.timeout
        if not isinstance(seconds, (int, float)):
            seconds = _CONNECT_SECONDS
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
