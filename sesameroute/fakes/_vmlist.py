"""Fake of the platform's list of VMs, which lags behind changes."""

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict
from threading import Lock, Thread
from typing import Any

from cheroot import wsgi

from sesameroute.ports import ListedVm

__all__ = ['FakeVmList']

_THREADS = 4
_STOP_SECONDS = 0.2

VmTable = tuple[ListedVm, ...]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class FakeVmList:
    """Serves the list over HTTP as it was some seconds ago.

    Parameters
    ----------
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    lag : float
        Age in seconds of the list that is served.

    Attributes
    ----------
    is_stale : bool
        While set, `publish` is ignored, so the list no longer changes.
    is_down : bool
        While set, requests are answered with status 503.

    """

    def __init__(self, address: str, port: int, lag: float = 0) -> None:
        """Store the parameters."""
        self.address = address
        self.port = port
        self.lag = lag
        self.is_stale = False
        self.is_down = False
        self._lock = Lock()
        self._versions: list[tuple[float, VmTable]] = []
        self._server: wsgi.Server | None = None

    @property
    def url(self) -> str:
        """URL of the list."""
        return f'http://{self.address}:{self.port}/vms'

    def publish(self, listed: Iterable[ListedVm]) -> None:
        """Replace the list; readers see the new one after the lag."""
        if self.is_stale:
            return
        with self._lock:
            self._versions.append((time.monotonic(), tuple(listed)))

    def read(self) -> VmTable:
        """Return the list that readers see now; the first one has no lag."""
        visible_at = time.monotonic() - self.lag
        with self._lock:
            versions = tuple(self._versions)
        visible = [listed for start, listed in versions if start <= visible_at]
        if visible:
            return visible[-1]
        return versions[0][1] if versions else ()

    def start(self) -> None:
        """Listen and serve in background threads."""
        self._server = wsgi.Server(
            (self.address, self.port),
            self.answer,
            numthreads=_THREADS,
            shutdown_timeout=_STOP_SECONDS,
        )
        self._server.prepare()
        thread = Thread(target=self._server.serve, daemon=True)
        thread.start()

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def answer(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> list[bytes]:
        """Handle one request; a WSGI application."""
        if self.is_down:
            start_response('503 Service Unavailable', [])
            return [b'']
        listed = [asdict(vm) for vm in self.read()]
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [json.dumps(listed).encode()]
