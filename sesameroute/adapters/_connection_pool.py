"""Pool of idle HTTP connections, limited by age, idle time and number."""

import select
import socket
import threading
import weakref
from collections import defaultdict
from dataclasses import dataclass

from sesameroute.adapters._http_pool import WireConnection
from sesameroute.ports import Clock, Wire

__all__ = ['PooledConnection', 'ConnectionPool', 'is_reusable']

_MAX_AGE_SECONDS = 60.0
_MAX_IDLE_SECONDS = 5.0
_MAX_IDLE_PER_TARGET = 8


@dataclass(slots=True)
class PooledConnection:
    """An open connection that can be reused.

    Attributes
    ----------
    target : tuple of (str, int)
        IP address and port of the server.
    http_connection : WireConnection
        The HTTP connection.
    opened_at, last_used : float
        Monotonic times in seconds.
    reused : bool
        Whether it was taken from the pool.
    idle_seconds : float
        Longest idle time that the server permits.

    """

    target: tuple[str, int]
    http_connection: WireConnection
    opened_at: float
    last_used: float
    reused: bool = False
    idle_seconds: float = _MAX_IDLE_SECONDS


class ConnectionPool:
    """Pool of idle connections; the most recently used is taken first.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.
    max_age_seconds, idle_seconds : float
        Longest age and longest idle time at which a connection is reused.
    max_idle_connections : int
        Largest number of idle connections per target.

    Attributes
    ----------
    is_aborted : bool
        Whether all exchanges have been broken off.

    """

    def __init__(
        self,
        wire: Wire,
        source: str,
        clock: Clock,
        max_age_seconds: float = _MAX_AGE_SECONDS,
        idle_seconds: float = _MAX_IDLE_SECONDS,
        max_idle_connections: int = _MAX_IDLE_PER_TARGET,
    ) -> None:
        """Store the parameters."""
        self.wire = wire
        self.source = source
        self.clock = clock
        self.max_age_seconds = max_age_seconds
        self.idle_seconds = idle_seconds
        self.max_idle_connections = max_idle_connections
        self.is_aborted = False
        self._opened: weakref.WeakSet[WireConnection] = weakref.WeakSet()
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[PooledConnection]] = defaultdict(
            list,
        )

    def take_idle(self, target: tuple[str, int]) -> PooledConnection | None:
        """Return an idle connection that may still be reused, or None."""
        while True:
            with self._lock:
                if not self._idle[target]:
                    return None
                connection = self._idle[target].pop()
            if self._is_usable(connection):
                connection.reused = True
                return connection
            connection.http_connection.close()

    def open(self, target: tuple[str, int], seconds: float) -> PooledConnection:
        """Return a new connection.

        Raises
        ------
        urllib3.exceptions.HTTPError
            The connection could not be opened; nothing was sent.
        ConnectionAbortedError
            All exchanges have been broken off; nothing was sent.

        """
        host, port = target
        http_connection = WireConnection(
            host,
            port,
            timeout=seconds,
            wire=self.wire,
            source=self.source,
        )
        http_connection.connect()
        with self._lock:
            self._opened.add(http_connection)
        if self.is_aborted:
            http_connection.close()
            raise ConnectionAbortedError('exchanges were broken off')
        now = self.clock.read_monotonic()
        return PooledConnection(
            target, http_connection, opened_at=now, last_used=now
        )

    def put_back(self, connection: PooledConnection) -> None:
        """Put back a connection whose last answer was read to its end."""
        connection.last_used = self.clock.read_monotonic()
        with self._lock:
            idle = self._idle[connection.target]
            if len(idle) < self.max_idle_connections:
                idle.append(connection)
                return
        connection.http_connection.close()

    def close_idle(self, target: tuple[str, int]) -> int:
        """Close all idle connections to a target; return how many."""
        with self._lock:
            closing = self._idle.pop(target, [])
        for connection in closing:
            connection.http_connection.close()
        return len(closing)

    def close_all_idle(self) -> None:
        """Close all idle connections, after one of them got no answer.

        A middlebox on the way may have lost the state of many connections at
        once, and opening a new one costs little.
        """
        for target in tuple(self._idle):
            self.close_idle(target)

    def abort(self) -> None:
        """Break off all exchanges, and open no connection any more."""
        self.is_aborted = True
        with self._lock:
            opened = tuple(self._opened)
        for connection in opened:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_all_idle()

    def _is_usable(self, connection: PooledConnection) -> bool:
        now = self.clock.read_monotonic()
        young = now - connection.opened_at <= self.max_age_seconds
        idle = min(self.idle_seconds, connection.idle_seconds)
        return (
            young
            and now - connection.last_used <= idle
            and is_reusable(connection.http_connection.sock)
        )


def is_reusable(idle_socket: socket.socket | None) -> bool:
    """Return whether an idle connection is open and has no bytes to read.

    A connection with unsolicited bytes must not be reused, since they would
    be read as the answer to the next request.
    """
    if idle_socket is None:
        return False
    poller = select.poll()
    poller.register(idle_socket, select.POLLIN | select.POLLHUP)
    return not poller.poll(0)
