"""Checks the links to the backend servers when there is reason for doubt."""

import logging
import threading
from collections.abc import Callable, Iterable

from urllib3.exceptions import HTTPError

from sesameroute.adapters import ConnectionPool
from sesameroute.reachability._reachability import Reachability
from sesameroute.registry import Backend
from sesameroute.telemetry import survive

__all__ = ['Prober']

# Requests that open a connection meanwhile make a check needless.
_GRACE_SECONDS = 0.05
_CHECKED_SERVERS = 3
_CONNECT_TIMEOUT_SECONDS = 0.25
# Interval of checks while this node is cut off.
_RETRY_SECONDS = 0.25

_logger = logging.getLogger(__name__)


class Prober:
    """Opens connections to a few backend servers; sends no request.

    Parameters
    ----------
    reachability : Reachability
        Says when to check, and notes the results.
    connections : ConnectionPool
        Opens the connections, and keeps them for requests.
    list_backends : callable
        Returns the backend servers in the order in which to check them.

    """

    def __init__(
        self,
        reachability: Reachability,
        connections: ConnectionPool,
        list_backends: Callable[[], Iterable[Backend]],
    ) -> None:
        """Store the parameters."""
        self.reachability = reachability
        self.connections = connections
        self.list_backends = list_backends
        self._is_stopped = threading.Event()

    def start(self) -> None:
        """Start to wait for doubt."""
        threading.Thread(target=self._run, name='probe', daemon=True).start()

    def stop(self) -> None:
        """Stop checking."""
        self._is_stopped.set()
        self.reachability.doubt_.set()

    def check(self) -> None:
        """Check the links once."""
        backends = self._pick_backends()
        for backend in backends:
            if self._try_to_open(backend.target):
                return
            if not self._is_in_doubt():
                return  # a request has opened a connection meanwhile
        if backends:
            self.connections.close_all_idle()
            self.reachability.conclude_cut_off()
        else:
            self.reachability.conclude_sound()

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            pause = _GRACE_SECONDS
            if self.reachability.is_cut_off_:
                pause = _RETRY_SECONDS
            else:
                self.reachability.doubt_.wait()
            self._is_stopped.wait(pause)
            if self._is_in_doubt() and not self._is_stopped.is_set():
                with survive('check of the links'):
                    self.check()

    def _is_in_doubt(self) -> bool:
        return (
            self.reachability.is_cut_off_ or self.reachability.doubt_.is_set()
        )

    def _pick_backends(self) -> list[Backend]:
        """Return some that have not failed, in different zones if possible."""
        seen_zones: set[str] = set()
        preferred, others = [], []
        for backend in self.list_backends():
            has_failed = self.reachability.has_failed(backend.target)
            if has_failed or backend.zone in seen_zones:
                others.append(backend)
            else:
                preferred.append(backend)
            seen_zones.add(backend.zone)
        return [*preferred, *others][:_CHECKED_SERVERS]

    def _try_to_open(self, target: tuple[str, int]) -> bool:
        try:
            connection = self.connections.open(target, _CONNECT_TIMEOUT_SECONDS)
        except HTTPError as error:
            _logger.info(
                'check of a backend server failed',
                extra={
                    'target': '{0}:{1}'.format(*target),
                    'why': str(error),
                },
            )
            return False
        self.connections.put_back(connection)
        return True
