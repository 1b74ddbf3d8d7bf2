"""Stand-in for a backend server."""

import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from http import HTTPStatus
from threading import Lock, Thread

from sesameroute.fakes._behaviour import Behaviour, WorkKind
from sesameroute.fakes._connection import Connection
from sesameroute.fakes._exchange import HttpRequest, Reply
from sesameroute.fakes._journal import Journal
from sesameroute.fakes._worker import CrashError, Worker
from sesameroute.statement import Upstream

__all__ = ['FakeUpstream']

_PROBE_SECONDS = 0.006
_CONNECT_SECONDS = 0.001
_BACKLOG = 128
_DRAINING = (('Sesame-Draining', '1'),)


class FakeUpstream:
    """Takes requests over HTTP, works by sleeping and journals each run.

    Parameters
    ----------
    upstream : Upstream
        Name, address, slots and most connections.
    kinds : mapping of str to WorkKind
        Work by kind of request.
    journal : Journal
        Takes every run.
    behaviour : Behaviour, optional
        Habits and faults, may be changed while it runs.

    Notes
    -----
    A run is journalled when its work begins, since from then on it may have
    had an effect; work that was cancelled or crashed stays unfinished there.

    """

    def __init__(
        self,
        upstream: Upstream,
        kinds: Mapping[str, WorkKind],
        journal: Journal,
        behaviour: Behaviour | None = None,
    ) -> None:
        """Store the parameters."""
        self.upstream = upstream
        self.kinds = kinds
        self.journal = journal
        self.behaviour = behaviour or Behaviour()
        self.drained_at: float = 0
        self.worker = self._hire()
        self._lock = Lock()
        self._listener: socket.socket | None = None
        self._connections: set[Connection] = set()

    @property
    def is_running(self) -> bool:
        """Whether it listens."""
        return self._listener is not None

    def start(self) -> None:
        """Listen; after a crash the server is cold again."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.upstream.address, self.upstream.port))
        listener.listen(_BACKLOG)
        self._listener = listener
        self.worker = self._hire()
        self.drained_at = 0
        Thread(target=self._accept, args=(listener,), daemon=True).start()

    def crash(self) -> None:
        """Close every socket without an answer."""
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
        """Announce the leaving, or that it is off.

        New work is refused some seconds later.
        """
        self.drained_at = time.monotonic() if leaving else 0

    def silence(self) -> None:
        """Never answer again on the connections that are open now."""
        with self._lock:
            for connection in self._connections:
                connection.is_silent = True

    def answer(self, request: HttpRequest, connection: Connection) -> Reply:
        """Return the reply to a request; a reply without status is none."""
        if request.path.startswith('/-/'):
            return self._answer_platform(request.path.removeprefix('/-/'))
        if _has_passed(self.drained_at, self.behaviour.leaves_after):
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, _DRAINING)
        try:
            reply = self.worker.answer(request, connection)
        except CrashError:
            self.crash()
            return Reply(None)
        if self.drained_at:
            headers = (*reply.headers, *_DRAINING)
            return Reply(reply.status, headers, reply.chunks)
        return reply

    def _hire(self) -> Worker:
        return Worker(
            self.upstream.name,
            self.upstream.slots,
            self.kinds,
            self.journal,
            self.behaviour,
        )

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, _address = listener.accept()
            except OSError:
                return
            self._open(Connection(accepted, self.answer, self._forget))

    def _open(self, connection: Connection) -> None:
        with self._lock:
            full = len(self._connections) >= self.upstream.connections
            if full or self._listener is None:
                connection.reset()
                return
            self._connections.add(connection)
        connection.start(_CONNECT_SECONDS)

    def _forget(self, connection: Connection) -> None:
        with self._lock:
            self._connections.discard(connection)

    def _answer_platform(self, name: str) -> Reply:
        time.sleep(_PROBE_SECONDS)
        if name.startswith('cancel/'):
            self.worker.cancel(name.removeprefix('cancel/'))
            return Reply(HTTPStatus.NO_CONTENT)
        if name == 'load' and self.behaviour.reports_load:
            return Reply(HTTPStatus.OK, self.worker.tell_load())
        if name == 'health':
            return Reply(HTTPStatus.OK, _DRAINING if self.drained_at else ())
        return Reply(HTTPStatus.NOT_FOUND)


def _has_passed(start: float, seconds: float) -> bool:
    return bool(start) and time.monotonic() - start > seconds
