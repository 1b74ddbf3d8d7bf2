"""Finds out whether backend servers that fall silent have ended."""

import contextlib
import logging
import math
import queue
import threading
from collections.abc import Callable, Iterator
from typing import Final

from urllib3.exceptions import HTTPError

from sesameroute.adapters import ConnectionPool
from sesameroute.exceptions import has_refused
from sesameroute.registry import RegistryEntry
from sesameroute.telemetry import survive

__all__ = ['EndDetector']

_CONNECT_TIMEOUT_SECONDS: Final = 0.25
# A server is not checked again for this time.
_INTERVAL_SECONDS: Final = 0.5
_MAX_QUEUED: Final = 64
# Servers whose last answer is known; all are forgotten beyond.
_MAX_SERVERS: Final = 1024

# Name and incarnation.
Server = tuple[str, int]

_LOG = logging.getLogger(__name__)


class EndDetector:
    """Opens a connection to servers that let tries time out in silence.

    A server that ends without closing its connections looks like a slow one
    until something asks for a new connection, which it refuses. Idle
    connections to the server are closed, so that requests open new ones, too.

    Parameters
    ----------
    connections : ConnectionPool
        Opens the connections, and keeps them for requests.
    find_entry : callable
        Returns the registry's entry of a server by its name, or None.
    observe_end : callable
        Gets the name and incarnation of a server that has ended.

    """

    def __init__(
        self,
        connections: ConnectionPool,
        find_entry: Callable[[str], RegistryEntry | None],
        observe_end: Callable[[Server], None],
    ) -> None:
        """Store the parameters."""
        self.connections = connections
        self.find_entry = find_entry
        self.observe_end = observe_end
        self._silent: queue.Queue[Server | None] = queue.Queue(_MAX_QUEUED)
        self._is_stopped = False
        self._answered_at: dict[Server, float] = {}
        self._checked_at: dict[Server, float] = {}
        self._unreached_at: dict[Server, float] = {}
        self._refused_at: dict[Server, float] = {}

    def start(self) -> None:
        """Start the thread that checks servers."""
        threading.Thread(target=self._run, name='ends', daemon=True).start()

    def stop(self) -> None:
        """Stop checking."""
        self._is_stopped = True
        with contextlib.suppress(queue.Full):  # then the thread is awake
            self._silent.put_nowait(None)

    def observe_answer(self, server: Server) -> None:
        """Note that a server has answered."""
        if len(self._answered_at) >= _MAX_SERVERS:
            self._answered_at.clear()
        self._answered_at[server] = self.connections.clock.read_monotonic()

    def observe_timeout(self, server: Server, sent_at: float) -> None:
        """Check a server soon if it has answered nothing since a time.

        It is left out if too many servers wait for their check.
        """
        if self._answered_at.get(server, -math.inf) >= sent_at:
            return
        try:
            self._silent.put_nowait(server)
        except queue.Full:
            _LOG.info(
                'check of a backend server left out',
                extra={'backend': server[0], 'why': 'queue is full'},
            )

    def is_unreached(self, server: Server, sent_at: float) -> bool:
        """Whether a server has taken no connection since a time."""
        return self._unreached_at.get(server, -math.inf) >= sent_at

    def has_refused(self, server: Server, sent_at: float) -> bool:
        """Whether a server has refused a connection since a time."""
        return self._refused_at.get(server, -math.inf) >= sent_at

    def check(self, server: Server) -> None:
        """Check one server."""
        name, incarnation = server
        entry = self.find_entry(name)
        if entry is None or entry.backend.incarnation != incarnation:
            self._answered_at.pop(server, None)
            self.observe_end(server)
            return
        target = entry.backend.target
        self.connections.close_idle(target)
        try:
            connection = self.connections.open(target, _CONNECT_TIMEOUT_SECONDS)
        except HTTPError as error:
            has_ended = has_refused(error)
            _LOG.info(
                'silent backend server checked',
                extra={
                    'backend': name,
                    'has_ended': has_ended,
                    'why': str(error),
                },
            )
            self._note_failure(server, has_ended=has_ended)
            return
        self._unreached_at.pop(server, None)
        self.connections.put_back(connection)

    def _note_failure(self, server: Server, *, has_ended: bool) -> None:
        if len(self._unreached_at) >= _MAX_SERVERS:
            self._unreached_at.clear()
            self._refused_at.clear()
        now = self.connections.clock.read_monotonic()
        self._unreached_at[server] = now
        if has_ended:
            self._refused_at[server] = now
            self.observe_end(server)

    def _run(self) -> None:
        for server in self._iterate_due():
            with survive('check of a silent backend server'):
                self.check(server)

    def _iterate_due(self) -> Iterator[Server]:
        """Yield servers to check, each at most once in an interval."""
        while not self._is_stopped:
            server = self._silent.get()
            if server is None:
                return
            now = self.connections.clock.read_monotonic()
            self._checked_at = {
                checked: when
                for checked, when in self._checked_at.items()
                if now - when < _INTERVAL_SECONDS
            }
            if server not in self._checked_at:
                self._checked_at[server] = now
                yield server
