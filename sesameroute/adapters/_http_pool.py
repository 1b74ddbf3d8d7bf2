"""HTTP connections of urllib3 opened through the wire port."""

import socket
from http.client import HTTPResponse
from io import BufferedReader

from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

from sesameroute.ports import Wire

__all__ = ['WireConnection', 'build_pool']

_CONNECT_SECONDS = 1.0
_POOL_SIZE = 8


class CheckedResponse(HTTPResponse):
    """A response that notices bytes behind its end.

    Attributes
    ----------
    has_extra : bool
        Whether there were such bytes as the last byte was read.

    """

    def __init__(self, sock: socket.socket, **options: object) -> None:
        """Store the socket."""
        super().__init__(sock, **options)
        self.has_extra = False
        self._socket = sock

    def _close_conn(self) -> None:
        """Look for more bytes before the buffer is dropped."""
        if self.fp is not None and not self.fp.closed:
            self.has_extra = _has_bytes(self.fp, self._socket)
        super()._close_conn()


def _has_bytes(reader: BufferedReader, sock: socket.socket) -> bool:
    """Return whether a reader has bytes now; never blocks."""
    timeout = sock.gettimeout()
    try:
        sock.settimeout(0)
        return bool(reader.peek(1))
    except (OSError, ValueError):
        return True  # a broken connection is not used again either
    finally:
        sock.settimeout(timeout)


class WireConnection(HTTPConnection):
    """An HTTP connection from one local address.

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
        """Store the wire and the local address."""
        super().__init__(host, port, **options)
        self.wire = wire
        self.source = source
        self.response_class = self._open_response
        self._last: CheckedResponse | None = None

    @property
    def has_extra(self) -> bool:
        """Whether bytes followed the last answer."""
        return self._last is not None and self._last.has_extra

    @property
    def has_defects(self) -> bool:
        """Whether the last answer's header could not be read whole."""
        return self._last is not None and bool(self._last.msg.defects)

    def _open_response(
        self,
        sock: socket.socket,
        **options: object,
    ) -> 'CheckedResponse':
        self._last = CheckedResponse(sock, **options)
        return self._last

    def _new_conn(self) -> socket.socket:
        seconds = self.timeout
        if not isinstance(seconds, (int, float)):
            seconds = _CONNECT_SECONDS
        try:
            return self.wire.connect(
                self.source,
                (self.host, self.port),
                seconds,
            )
        except TimeoutError as error:
            raise ConnectTimeoutError(self, str(error)) from error
        except OSError as error:
            raise NewConnectionError(self, str(error)) from error


def build_pool(
    wire: Wire,
    source: str,
    target: tuple[str, int],
    size: int = _POOL_SIZE,
) -> HTTPConnectionPool:
    """Return a pool of kept connections to one server.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    target : tuple of (str, int)
        IP address and port of the server.
    size : int
        Most idle connections that are kept.

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
