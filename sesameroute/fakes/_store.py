"""HTTP server of the fake key-value store."""

import socket
import threading
from collections import Counter
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, unquote

from cheroot import wsgi

from sesameroute.exceptions import ConflictError
from sesameroute.fakes._memory_store import (
    MemoryStore,
    StoreFaults,
    StoreOutage,
)
from sesameroute.ports import StoredValue

__all__ = ['FakeStoreServer']

_THREADS = 40  # each waiting watch occupies one
_STOP_SECONDS = 0.2
# Interval at which a hanging call checks whether the outage is over.
_OUTAGE_POLL_SECONDS = 0.05

Environ = dict[str, Any]
Reply = tuple[HTTPStatus, StoredValue | None]


class SocketGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the client's socket in the environment."""

    def get_environ(self) -> Environ:
        """Return the environment with the socket as `sesameroute.socket`."""
        environ = super().get_environ()
        environ['sesameroute.socket'] = self.req.conn.socket
        return environ


class FakeStoreServer:
    """Serves a `MemoryStore` over HTTP, with faults.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.

    Attributes
    ----------
    faults : StoreFaults
        Faults in force; its fields may be set while the server runs.
    call_counts : Counter
        Number of calls by kind; a waiting watch is one call, and calls during
        an outage are counted as `failed`.

    """

    def __init__(self, address: str, port: int) -> None:
        """Store the address."""
        self.address = address
        self.port = port
        self.memory = MemoryStore()
        self._is_stopping = threading.Event()
        self._server: wsgi.Server | None = None

    @property
    def faults(self) -> StoreFaults:
        """Faults in force."""
        return self.memory.faults

    @property
    def call_counts(self) -> Counter[str]:
        """Number of calls by kind."""
        return self.memory.call_counts

    @property
    def url(self) -> str:
        """Base URL for clients."""
        return f'http://{self.address}:{self.port}'

    def start(self) -> None:
        """Listen and serve in background threads."""
        self._is_stopping.clear()
        server = wsgi.Server(
            (self.address, self.port),
            self._answer,
            numthreads=_THREADS,
            shutdown_timeout=_STOP_SECONDS,
        )
        server.gateway = SocketGateway
        server.nodelay = True
        server.error_log = _ignore_log
        server.prepare()
        self._server = server
        threading.Thread(target=server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop listening, so that clients are refused; values are kept."""
        self._is_stopping.set()
        self.memory.release_watches()
        if self._server:
            self._server.stop()
            self._server = None

    def _answer(self, environ: Environ, start_response: Any) -> Iterable[bytes]:
        reply = self._apply_faults(environ) or self._dispatch(environ)
        is_write = environ['REQUEST_METHOD'] == 'PUT'
        if is_write and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            reply = _close_client(environ)
        status, found = reply
        headers = [('Content-Length', str(len(found.content) if found else 0))]
        if found:
            headers.append(('Store-Revision', str(found.revision)))
            headers.append(('ETag', found.tag))
        start_response(f'{status.value} {status.phrase}', headers)
        return [found.content] if found else []

    def _apply_faults(self, environ: Environ) -> Reply | None:
        """Apply the faults that occur before a call takes effect."""
        if self.faults.delay:
            self._is_stopping.wait(self.faults.delay)
        if self.faults.outage is StoreOutage.NONE:
            return None
        self.call_counts['failed'] += 1
        if self.faults.outage is StoreOutage.REFUSE:
            return HTTPStatus.SERVICE_UNAVAILABLE, None
        while self.faults.outage is StoreOutage.HANG:
            if self._is_stopping.wait(_OUTAGE_POLL_SECONDS):
                break
        return _close_client(environ)

    def _dispatch(self, environ: Environ) -> Reply:
        kind, _, key = unquote(environ['PATH_INFO'])[1:].partition('/')
        query = parse_qs(environ['QUERY_STRING'])
        route = kind, environ['REQUEST_METHOD']
        if route == ('kv', 'GET'):
            return self._read(key, query, environ)
        if route == ('kv', 'PUT'):
            return self._swap(key, environ)
        if route == ('lease', 'PUT'):
            return self._lease(key, query)
        return HTTPStatus.BAD_REQUEST, None

    def _read(
        self, key: str, query: dict[str, list[str]], environ: Environ
    ) -> Reply:
        after, wait = query.get('after'), query.get('wait', ('0',))
        if after is None:
            found = self.memory.read(key)
            return HTTPStatus.OK if found else HTTPStatus.NOT_FOUND, found
        found = self.memory.watch(
            key,
            int(after[0]),
            float(wait[0]),
            environ.get('HTTP_IF_NONE_MATCH', ''),
        )
        return HTTPStatus.OK if found else HTTPStatus.NO_CONTENT, found

    def _swap(self, key: str, environ: Environ) -> Reply:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        content = environ['wsgi.input'].read(length)
        condition = environ.get('HTTP_IF_MATCH', '0')
        is_revision = condition.isdecimal()
        revision, tag = (int(condition), '') if is_revision else (0, condition)
        try:
            return HTTPStatus.OK, self.memory.swap(key, content, revision, tag)
        except ConflictError:
            return HTTPStatus.PRECONDITION_FAILED, None

    def _lease(self, key: str, query: dict[str, list[str]]) -> Reply:
        holder, seconds = query['holder'][0], float(query['seconds'][0])
        has_lease = self.memory.lease(key, holder, seconds)
        return HTTPStatus.OK if has_lease else HTTPStatus.CONFLICT, None


def _close_client(environ: Environ) -> Reply:
    """Close the client's connection so that no answer reaches it."""
    environ['sesameroute.socket'].shutdown(socket.SHUT_RDWR)
    return HTTPStatus.SERVICE_UNAVAILABLE, None


def _ignore_log(*_args: object, **_options: object) -> None:
    """Discard log messages about single connections."""
