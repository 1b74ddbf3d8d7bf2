"""HTTP server of one process: a WSGI application and operators' pages.

The requests that matter for speed go to a plain WSGI callable, because
CherryPy's page handlers cost more; CherryPy serves only the pages for
operators. The server is cheroot, which CherryPy uses as well.
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
    """Limits on what callers may use.

    Attributes
    ----------
    threads : int
        Requests handled at the same time.
    header_bytes, body_bytes : int
        Largest request header block and body.
    read_seconds : float
        Longest time without a byte from a caller while a request is read.

    """

    threads: int = 48
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    read_seconds: float = 5.0


class CallerGateway(wsgi.Gateway_10):
    """WSGI gateway that adds the caller's socket to the environment."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with `sesameroute.socket`."""
        environ = super().get_environ()
        environ['sesameroute.socket'] = self.req.conn.socket
        return environ


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to listen on.
    application : callable
        WSGI callable for all other paths than those of `pages`.
    pages : object, optional
        CherryPy handlers for operators, served below ``/-``.
    limits : ServerLimits, optional
        Limits on requests.

    """

    def __init__(
        self,
        address: tuple[str, int],
        application: WsgiCallable,
        pages: object | None = None,
        limits: ServerLimits | None = None,
    ) -> None:
        """Store the parameters."""
        self.address = address
        self.application = application
        self.pages = pages
        self.limits = limits or ServerLimits()
        self._server: wsgi.Server | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Listen and serve in a new thread.

        Raises
        ------
        OSError
            The address is in use or does not belong to this machine.

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
            self._build_application(),
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
        server.error_log = _ignore_error_log
        server.nodelay = True
        return server

    def _build_application(self) -> WsgiCallable:
        if self.pages is None:
            return self.application
        tree = cherrypy._cptree.Tree()
        tree.graft(self.application, '')
        pages = tree.mount(self.pages, _PAGES_PATH, dict(_PAGES_CONFIG))
        _silence_access_log(pages)
        return tree


def _ignore_error_log(*_args: object, **_options: object) -> None:
    """Ignore cheroot's errors of connections; the event log has them."""


def _silence_access_log(pages: cherrypy.Application) -> None:
    """Turn off CherryPy's logs; the event log and metrics replace them."""
    for manager in (cherrypy.log, pages.log):
        manager.screen = False
        manager.access_log.propagate = False
        manager.error_log.propagate = False
