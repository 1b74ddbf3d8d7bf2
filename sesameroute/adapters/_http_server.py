"""HTTP server of one process: a hot path and operators' pages.

CherryPy's page handlers cost more than a plain WSGI callable, so the hot
path is grafted beside them. The server is cheroot, which CherryPy uses.
"""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

import cherrypy
from cheroot import wsgi

__all__ = ['HttpServer', 'ServerLimits', 'WsgiCallable']

Environ = dict[str, Any]
WsgiCallable = Callable[[Environ, Callable[..., Any]], Iterable[bytes]]

_PAGES_PATH = '/-'
_START_SECONDS = 5.0
_STOP_SECONDS = 1.0
_BACKLOG = 512
_PAGES_CONFIG = MappingProxyType(
    {
        '/': {
            'tools.trailing_slash.on': False,
            'request.show_tracebacks': False,
            'log.screen': False,
        },
    }
)


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what one caller may cost.

    Attributes
    ----------
    threads : int
        Requests handled at once.
    header_bytes, body_bytes : int
        Largest request header block and body.
    read_seconds : float
        Longest silence of a caller inside a request.

    """

    threads: int = 48
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    read_seconds: float = 5.0


class CallerGateway(wsgi.Gateway_10):
    """WSGI gateway that names the caller's socket in the environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with `sesameroute.socket`."""
        environ = super().get_environ()
        environ['sesameroute.socket'] = self.req.conn.socket
        return environ


class HttpServer:
    """Serves one address.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    hot : callable
        WSGI callable for all paths but the operators'.
    pages : object, optional
        CherryPy handlers for the operators, below ``/-``.
    limits : ServerLimits, optional
        Bounds on requests.

    """

    def __init__(
        self,
        address: tuple[str, int],
        hot: WsgiCallable,
        pages: object | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        """Store the parameters."""
        self.address = address
        self.hot = hot
        self.pages = pages
        self.limits = limits or ServerLimits()
        self._server: wsgi.Server | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen and serve in a thread of its own.

        Raises
        ------
        OSError
            The address is taken or not of this machine.

        """
        server = self._build()
        server.prepare()
        self._server = server
        self._thread = threading.Thread(
            target=server.serve,
            name='http-{0}:{1}'.format(*self.address),
            daemon=True,
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.stop()
        self._thread.join(_STOP_SECONDS)
        self._server = None

    def _build(self) -> wsgi.Server:
        server = wsgi.Server(
            self.address,
            self._choose_application(),
            numthreads=self.limits.threads,
            request_queue_size=_BACKLOG,
            timeout=self.limits.read_seconds,
            shutdown_timeout=_STOP_SECONDS,
            accepted_queue_size=_BACKLOG,
        )
        server.gateway = CallerGateway
        server.max_request_header_size = self.limits.header_bytes
        server.max_request_body_size = self.limits.body_bytes
        server.server_name = 'sesameroute'
        server.error_log = _drop_log
        server.nodelay = True
        return server

    def _choose_application(self) -> WsgiCallable:
        if self.pages is None:
            return self.hot
        tree = cherrypy._cptree.Tree()
        tree.graft(self.hot, '')
        pages = tree.mount(self.pages, _PAGES_PATH, dict(_PAGES_CONFIG))
        _silence_access_log(pages)
        return tree


def _drop_log(*_args: object, **_options: object) -> None:
    """Ignore errors of single connections: the event log has them."""


def _silence_access_log(pages: cherrypy.Application) -> None:
    """Keep CherryPy's lines out: the event log and metrics have them."""
    for manager in (cherrypy.log, pages.log):
        manager.screen = False
        manager.access_log.propagate = False
        manager.error_log.propagate = False
