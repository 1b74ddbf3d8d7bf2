"""Fake backend server."""

import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from http import HTTPStatus
from threading import Lock, Thread

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._connection import Connection
from sesameroute.fakes._exchange import HttpRequest, Reply
from sesameroute.fakes._journal import ExecutionLog
from sesameroute.fakes._worker import CrashError, Worker
from sesameroute.statement import Upstream

__all__ = ['FakeUpstream']

# Simulated duration of a request to a path below /-/.
_PROBE_SECONDS = 0.006
# Simulated cost of a new connection.
_CONNECT_SECONDS = 0.001
_BACKLOG = 128
_DRAINING_HEADERS = (('Sesame-Draining', '1'),)


class FakeUpstream:
    """Serves HTTP requests by sleeping, and records each run.

    Parameters
    ----------
    upstream : Upstream
        Name, address, slots and maximum number of connections.
    kinds : mapping of str to WorkKind
        Duration and answer size by kind of request.
    execution_log : ExecutionLog
        Records every run.
    behaviour : Behaviour, optional
        Performance settings and faults; may be changed while it runs.

    Notes
    -----
    A run is recorded when its work begins, since from then on it may have
    had an effect; the record of work that was cancelled or crashed stays
    unfinished.

    """

    def __init__(
        self,
        upstream: Upstream,
        kinds: Mapping[str, WorkKind],
        execution_log: ExecutionLog,
        behaviour: Behaviour | None = None,
    ) -> None:
        """Store the parameters."""
        self.upstream = upstream
        self.kinds = kinds
        self.execution_log = execution_log
        self.behaviour = behaviour or Behaviour()
        self.drain_started_at: float = 0
        self.worker = self._create_worker()
        self._lock = Lock()
        self._listener: socket.socket | None = None
        self._connections: set[Connection] = set()

    @property
    def is_running(self) -> bool:
        """Whether the server is listening."""
        return self._listener is not None

    def start(self) -> None:
        """Listen; a restarted server goes through its cold phase again."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.upstream.address, self.upstream.port))
        listener.listen(_BACKLOG)
        self._listener = listener
        self.worker = self._create_worker()
        self.drain_started_at = 0
        Thread(target=self._accept, args=(listener,), daemon=True).start()

    def crash(self) -> None:
        """Stop listening and reset every connection without a reply."""
        with self._lock:
            listener = self._listener
            self._listener = None
            connections = tuple(self._connections)
            self._connections.clear()
        if listener is not None:
            with suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for connection in connections:
            connection.reset()

    def drain(self, *, leaving: bool = True) -> None:
        """Announce a drain, or cancel it if `leaving` is False.

        New work is refused `Behaviour.drain_notice_seconds` later.
        """
        self.drain_started_at = time.monotonic() if leaving else 0

    def silence(self) -> None:
        """Stop replying on the connections that are open now."""
        with self._lock:
            for connection in self._connections:
                connection.is_silent = True

    def answer(self, request: HttpRequest, connection: Connection) -> Reply:
        """Return the reply to a request; a status of None means no reply."""
        if request.path.startswith('/-/'):
            return self._answer_control_path(request.path.removeprefix('/-/'))
        if _has_elapsed(
            self.drain_started_at, self.behaviour.drain_notice_seconds
        ):
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, _DRAINING_HEADERS)
        try:
            reply = self.worker.answer(request, connection)
        except CrashError:
            self.crash()
            return Reply(None)
        if self.drain_started_at:
            headers = (*reply.headers, *_DRAINING_HEADERS)
            return Reply(reply.status, headers, reply.chunks)
        return reply

    def _create_worker(self) -> Worker:
        return Worker(
            self.upstream.name,
            self.upstream.slots,
            self.kinds,
            self.execution_log,
            self.behaviour,
        )

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, _address = listener.accept()
            except OSError:
                return
            self._open(
                Connection(accepted, self.answer, self._remove_connection)
            )

    def _open(self, connection: Connection) -> None:
        with self._lock:
            is_full = len(self._connections) >= self.upstream.connections
            if is_full or self._listener is None:
                connection.reset()
                return
            self._connections.add(connection)
        connection.start(_CONNECT_SECONDS)

    def _remove_connection(self, connection: Connection) -> None:
        with self._lock:
            self._connections.discard(connection)

    def _answer_control_path(self, name: str) -> Reply:
        time.sleep(_PROBE_SECONDS)
        if name.startswith('cancel/'):
            self.worker.cancel(name.removeprefix('cancel/'))
            return Reply(HTTPStatus.NO_CONTENT)
        if name == 'load' and self.behaviour.reports_load:
            return Reply(HTTPStatus.OK, self.worker.build_load_headers())
        if name == 'health':
            return Reply(
                HTTPStatus.OK,
                _DRAINING_HEADERS if self.drain_started_at else (),
            )
        return Reply(HTTPStatus.NOT_FOUND)


def _has_elapsed(start: float, seconds: float) -> bool:
    return bool(start) and time.monotonic() - start > seconds
