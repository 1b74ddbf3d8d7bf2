"""Idle HTTP connections, bounded by age, idle time and number."""

import select
import socket
import threading
from collections import defaultdict
from dataclasses import dataclass

from sesameroute.adapters._http_pool import WireConnection
from sesameroute.ports import Clock, Wire

__all__ = ['KeptConnection', 'KeptConnections', 'is_quiet']

_AGE_SECONDS = 60.0
_IDLE_SECONDS = 5.0
_MOST_IDLE = 8  # per target


@dataclass(slots=True)
class KeptConnection:
    """An open connection and its times in monotonic seconds.

    Attributes
    ----------
    idle_seconds : float
        Longest idle time that its server permits.

    """

    target: tuple[str, int]
    line: WireConnection
    opened: float
    used: float
    reused: bool = False
    idle_seconds: float = _IDLE_SECONDS


class KeptConnections:
    """Hands out idle connections, the one used last first.

    Parameters
    ----------
    wire : Wire
        Opens the TCP connections.
    source : str
        Local IP address to bind.
    clock : Clock
        Source of time.
    age_seconds, idle_seconds : float
        Longest life and longest idle time of a kept connection.
    most_idle : int
        Most idle connections per target.

    """

    def __init__(
        self,
        wire: Wire,
        source: str,
        clock: Clock,
        age_seconds: float = _AGE_SECONDS,
        idle_seconds: float = _IDLE_SECONDS,
        most_idle: int = _MOST_IDLE,
    ) -> None:
        """Store the parameters."""
        self.wire = wire
        self.source = source
        self.clock = clock
        self.age_seconds = age_seconds
        self.idle_seconds = idle_seconds
        self.most_idle = most_idle
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[KeptConnection]] = defaultdict(
            list,
        )

    def take(self, target: tuple[str, int]) -> KeptConnection | None:
        """Return an idle connection that is within its bounds, or None."""
        while True:
            with self._lock:
                if not self._idle[target]:
                    return None
                kept = self._idle[target].pop()
            if self._is_usable(kept):
                kept.reused = True
                return kept
            kept.line.close()

    def open(self, target: tuple[str, int], seconds: float) -> KeptConnection:
        """Return a new connection.

        Raises
        ------
        urllib3.exceptions.HTTPError
            It could not be opened; nothing was sent.

        """
        host, port = target
        line = WireConnection(
            host,
            port,
            timeout=seconds,
            wire=self.wire,
            source=self.source,
        )
        line.connect()
        now = self.clock.read_monotonic()
        return KeptConnection(target, line, opened=now, used=now)

    def keep(self, kept: KeptConnection) -> None:
        """Take back a connection whose last answer was read whole."""
        kept.used = self.clock.read_monotonic()
        with self._lock:
            idle = self._idle[kept.target]
            if len(idle) < self.most_idle:
                idle.append(kept)
                return
        kept.line.close()

    def suspect(self, target: tuple[str, int]) -> int:
        """Close all idle connections to a target; return how many."""
        with self._lock:
            suspects = self._idle.pop(target, [])
        for kept in suspects:
            kept.line.close()
        return len(suspects)

    def suspect_all(self) -> None:
        """Close all idle connections: one of them has gone silent.

        What lies between the two ends may have lost track of many; a new
        connection costs little.
        """
        for target in tuple(self._idle):
            self.suspect(target)

    def close(self) -> None:
        """Close all idle connections."""
        self.suspect_all()

    def _is_usable(self, kept: KeptConnection) -> bool:
        now = self.clock.read_monotonic()
        young = now - kept.opened <= self.age_seconds
        idle = min(self.idle_seconds, kept.idle_seconds)
        return young and now - kept.used <= idle and is_quiet(kept.line.sock)


def is_quiet(connection: socket.socket | None) -> bool:
    """Return whether an idle connection is open and has no bytes to read.

    Bytes that nobody asked for belong to no request.
    """
    if connection is None:
        return False
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLHUP)
    return not poller.poll(0)
