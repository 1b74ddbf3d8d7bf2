"""The servers of a node, and how they end without cutting a request."""

import threading
import time

from sesameroute.adapters import FrontServer, KeptConnections
from sesameroute.forward import (
    FleetRetryBudget,
    Forwarder,
    Guards,
    RetryBudgets,
    Sender,
)
from sesameroute.node._address import parse_address
from sesameroute.node._fleet import Fleet
from sesameroute.node._front import (
    DirectoryHandler,
    FrontHandler,
    ReadyHandler,
)
from sesameroute.node._placing import FleetPlacing
from sesameroute.node._settings import NodeSettings
from sesameroute.platform import PlatformDialect
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.quarantine import Quarantine
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper

__all__ = ['FrontParts']

_MOST_LOSSES = 3  # backend servers that one request may bring down
_SMALL_THREADS = 2  # of the servers for checks and the directory
_TICK_SECONDS = 0.05  # between two looks at what still runs
_QUIET_SECONDS = 2.5  # after which a leaving node without requests ends


class FrontParts:
    """Front, readiness check and directory of one node.

    Parameters
    ----------
    settings : NodeSettings
        Addresses and bounds.
    keeper : ConfigurationKeeper
        Routes in force.
    registry : Registry
        Backend servers.
    fleet : Fleet
        The other nodes.
    placing : FleetPlacing
        Grants slots.
    is_leaving : threading.Event
        Set when the node has been told to stop.

    """

    def __init__(
        self,
        settings: NodeSettings,
        keeper: ConfigurationKeeper,
        registry: Registry,
        fleet: Fleet,
        placing: FleetPlacing,
        is_leaving: threading.Event,
    ) -> None:
        """Build the servers."""
        self.keeper = keeper
        self.clock = SystemClock()
        self._retries = RetryBudgets(
            _read_retry_terms(settings),
            fleet.count,
            is_leaving.is_set,
        )
        self.quarantine = Quarantine(
            fleet.own.address,
            self.clock,
            fleet.peers,
            _MOST_LOSSES,
        )
        connections = KeptConnections(
            TcpWire(),
            settings.node.address,
            self.clock,
        )
        self.forwarder = Forwarder(
            keeper,
            registry,
            placing,
            Sender(connections, PlatformDialect(), self.clock),
            Guards(self._retries, self.quarantine),
            self.clock,
        )
        self._directory = DirectoryHandler(fleet, settings.bounds.longest_ttl)
        self._front = FrontServer(
            parse_address(settings.listen.front),
            FrontHandler(self.forwarder, self.clock),
            is_leaving.is_set,
        )
        ready = FrontServer(
            parse_address(settings.listen.ready),
            ReadyHandler(fleet),
            threads=_SMALL_THREADS,
        )
        directory = FrontServer(
            parse_address(settings.listen.directory),
            self._directory,
            threads=_SMALL_THREADS,
        )
        self.servers = (self._front, ready, directory)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Put other bounds in force."""
        self._retries.fleet_budget = _read_retry_terms(settings)
        self._directory.longest = settings.bounds.longest_ttl

    def apply_limits(self) -> None:
        """Put the configuration's limits on callers in force."""
        found = self.keeper.configuration
        if found is not None:
            limits = found.limits
            self._front.set_limits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_seconds,
                limits.idle_seconds,
            )

    def count_running(self) -> int:
        """Return the requests without an answer."""
        return self._front.running_.count

    def leave(self, ends: float) -> None:
        """Serve until callers have gone elsewhere and all has ended.

        Callers that have not heard yet still connect; the last of their
        requests must have time to end.

        Parameters
        ----------
        ends : float
            Monotonic time in seconds at which the process must end.

        """
        now = self.clock.read_monotonic()
        self._wait_quiet(ends - self._find_longest_timeout(ends - now))
        self._front.stop_accepting()
        while self.count_running() and self.clock.read_monotonic() < ends:
            time.sleep(_TICK_SECONDS)

    def _wait_quiet(self, until: float) -> None:
        quiet_since = self.clock.read_monotonic()
        while self.clock.read_monotonic() < until:
            time.sleep(_TICK_SECONDS)
            now = self.clock.read_monotonic()
            running = self._front.running_
            if running.count or running.changed > quiet_since:
                quiet_since = now
            if now - quiet_since > _QUIET_SECONDS:
                return

    def _find_longest_timeout(self, left: float) -> float:
        found = self.keeper.configuration
        routes = found.routes if found else ()
        longest = max((route.timeout for route in routes), default=0)
        return min(longest, left / 2)


def _read_retry_terms(settings: NodeSettings) -> FleetRetryBudget:
    bounds = settings.bounds
    return FleetRetryBudget(bounds.retry_ratio, bounds.retry_slack)
