"""The HTTP servers of a node and their graceful shutdown."""

import logging
import threading
import time

from sesameroute.adapters import ConnectionPool, FrontServer
from sesameroute.forward import (
    FleetRetryBudget,
    Forwarder,
    Guards,
    Relay,
    RelayCodec,
    RetryBudgets,
    Sender,
)
from sesameroute.limits import Shutdown
from sesameroute.node._address import parse_address
from sesameroute.node._front import (
    DirectoryHandler,
    ForwardHandler,
    ReadyHandler,
)
from sesameroute.node._front_check import FrontCheck
from sesameroute.node._relay_handler import RelayHandler
from sesameroute.node._relay_peers import RelayPeers
from sesameroute.node._settings import NodeSettings
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.platform import PlatformHeaderCodec
from sesameroute.ports import SystemClock, TcpWire, Wire
from sesameroute.quarantine import LossExchange, Quarantine, TrialPolicy
from sesameroute.reachability import EndDetector, ObservedWire, Prober
from sesameroute.routes import Configuration

__all__ = ['NodeServers']

_logger = logging.getLogger(__name__)

# A request is quarantined after it has crashed this many backend servers.
_MAX_BACKEND_LOSSES = 3
# A node that is cut off from the others goes on serving what it can.
_TRIAL_SECONDS = 0.3
_TRIAL_POLICY = TrialPolicy(
    _TRIAL_SECONDS, is_granted_alone=True, pause=_TRIAL_SECONDS
)
# Room for the header that nodes add to requests that they pass on.
_RELAY_HEADER_BYTES = 64
# Part of the memory for answers that wait: the rest has to bear the threads
# that read them and the connections.
_HELD_BYTES_PER_MEGABYTE = 65_536
# Threads of each server for readiness checks and the directory.
_AUXILIARY_THREADS = 2
# Interval at which shutdown polls the running requests.
_POLL_SECONDS = 0.05
# A node that is shutting down stops accepting after this time without a
# request.
_IDLE_SECONDS = 2.5
# Time for the answers to the requests that run until the end of the stop.
_LAST_ANSWERS_SECONDS = 0.3


class NodeServers:
    """The servers for callers, readiness checks and the directory.

    Parameters
    ----------
    settings : NodeSettings
        Addresses and bounds.
    allocator : FleetSlotAllocator
        Grants slots on backend servers.
    server_wire : Wire
        Opens the connections to backend servers.

    Attributes
    ----------
    shutdown : Shutdown
        The planned stop, once it has begun.
    directory : DirectoryHandler
        Names the ready nodes to callers.
    front_check : FrontCheck
        Observes whether callers are answered.

    """

    def __init__(
        self,
        settings: NodeSettings,
        allocator: FleetSlotAllocator,
        server_wire: Wire,
    ) -> None:
        """Build the servers."""
        fleet = allocator.fleet
        registry = allocator.pools.registry
        active_configuration = allocator.pools.active_configuration
        self.active_configuration = active_configuration
        self.clock = SystemClock()
        self.shutdown = Shutdown()
        self._retries = RetryBudgets(
            _read_retry_budget(settings),
            fleet.count_known,
            self.shutdown.has_begun,
        )
        self.quarantine = Quarantine(
            fleet.own_state.address,
            self.clock,
            fleet.peers,
            _MAX_BACKEND_LOSSES,
            _TRIAL_POLICY,
        )
        self.loss_exchange = LossExchange(self.quarantine)
        connections = ConnectionPool(
            ObservedWire(server_wire, allocator.reachability),
            settings.node.address,
            self.clock,
        )
        relay_connections = ConnectionPool(
            TcpWire(), settings.node.address, self.clock
        )
        self._connection_pools = (connections, relay_connections)
        end_detector = EndDetector(
            connections, registry.find, self.quarantine.evidence.observe_end
        )
        self.forwarder = Forwarder(
            active_configuration,
            registry,
            allocator,
            Sender(connections, PlatformHeaderCodec(), self.clock),
            Guards(
                self._retries,
                self.quarantine,
                registry.announcements,
                end_detector,
                self.clock,
                self.shutdown,
            ),
            self.clock,
        )
        allocator.list_left_ = self.forwarder.waiting_callers_.list_left
        self.directory = DirectoryHandler(fleet, settings.bounds.longest_ttl)
        self._front_handler = ForwardHandler(self.forwarder, self.clock)
        self._front = FrontServer(
            parse_address(settings.listen.front),
            self._front_handler,
            self.shutdown.has_begun,
            on_refusal=self.forwarder.refusals_.record,
        )
        self._front.allow_read_ahead(self._front_handler.may_repeat)
        self._front.limit_held(
            int(settings.limits.memory * _HELD_BYTES_PER_MEGABYTE)
        )
        self.front_check = FrontCheck(self._front)
        self._checks = (
            Prober(
                allocator.reachability,
                connections,
                allocator.pools.list_backends,
            ),
            end_detector,
            self.front_check,
        )
        ready = FrontServer(
            parse_address(settings.listen.ready),
            ReadyHandler(fleet),
            threads=_AUXILIARY_THREADS,
        )
        directory = FrontServer(
            parse_address(settings.listen.directory),
            self.directory,
            threads=_AUXILIARY_THREADS,
        )
        self.servers = (self._front, ready, directory)
        # Servers that take requests, and the header bytes that nodes add.
        self._taking = {self._front: 0}
        if settings.relay_address:
            self._add_relay(settings, allocator)

    def start_checks(self) -> None:
        """Start the checks of backend servers and of the links to them."""
        for check in self._checks:
            check.start()

    def stop_checks(self) -> None:
        """Stop all checks."""
        for check in self._checks:
            check.stop()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed retry and TTL bounds."""
        self._retries.fleet_budget = _read_retry_budget(settings)
        self.directory.max_ttl_seconds = settings.bounds.longest_ttl

    def apply_limits(self) -> None:
        """Apply the limits on callers of the current configuration."""
        current_configuration = self.active_configuration.configuration
        if current_configuration is not None:
            limits = current_configuration.limits
            for server, added_bytes in self._taking.items():
                server.set_limits(
                    limits.header_bytes + added_bytes,
                    limits.body_bytes,
                    limits.header_seconds,
                    limits.idle_seconds,
                )

    def count_running(self) -> int:
        """Return the number of requests that are being served."""
        return sum(server.running_.count for server in self._taking)

    def shut_down(self, deadline: float) -> None:
        """Serve until callers have moved away and no request is running.

        Callers with an old directory answer still connect, so the node
        accepts requests until it is idle, or until the longest route time-out
        before the deadline. What still runs at the deadline gets its final
        answer then.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which all requests end.

        """
        now = self.clock.read_monotonic()
        self._wait_until_idle(
            deadline
            - _find_longest_timeout(
                self.active_configuration.configuration, deadline - now
            )
        )
        for server in self._taking:
            server.stop_accepting()
        self._wait_for_running(deadline)
        self._close_connections(deadline)

    def _add_relay(
        self,
        settings: NodeSettings,
        allocator: FleetSlotAllocator,
    ) -> None:
        """Take requests from other nodes, and pass requests on to them."""
        reachability = allocator.reachability
        _, relay_connections = self._connection_pools
        relay_server = FrontServer(
            parse_address(settings.relay_address),
            RelayHandler(
                self.forwarder,
                self.clock,
                lambda: reachability.is_cut_off_,
            ),
            self.shutdown.has_begun,
            threads=_AUXILIARY_THREADS,
            on_refusal=self.forwarder.refusals_.record,
        )
        self._taking[relay_server] = _RELAY_HEADER_BYTES
        self.servers = (*self.servers, relay_server)
        self.forwarder.relay_ = Relay(
            Sender(
                relay_connections,
                RelayCodec(self.forwarder.sender.header_codec),
                self.clock,
            ),
            RelayPeers(allocator.fleet),
            lambda: reachability.should_detour,
            self._retries,
            lambda: self.active_configuration.version,
        )

    def _wait_for_running(self, until: float) -> None:
        while self.count_running() and self.clock.read_monotonic() < until:
            time.sleep(_POLL_SECONDS)

    def _close_connections(self, deadline: float) -> None:
        """Close kept connections; what was read from them is answered."""
        _logger.info('connections closing')
        answers_until = deadline + _LAST_ANSWERS_SECONDS
        stopping = [
            threading.Thread(target=server.stop, args=(answers_until,))
            for server in self._taking
        ]
        for thread in stopping:
            thread.start()
        for thread in stopping:
            thread.join(max(deadline - self.clock.read_monotonic(), 0))
        self._end_running()
        for thread in stopping:
            thread.join()

    def _end_running(self) -> None:
        """Give the requests that still run their final answers."""
        running = self.count_running()
        if not running:
            return
        _logger.warning('requests ended by the stop', extra={'count': running})
        # Breaking off an exchange says nothing about its backend server.
        self.stop_checks()
        for pool in self._connection_pools:
            pool.abort()

    def _wait_until_idle(self, accept_until: float) -> None:
        idle_since = self.clock.read_monotonic()
        while self.clock.read_monotonic() < accept_until:
            time.sleep(_POLL_SECONDS)
            now = self.clock.read_monotonic()
            changed_at = max(
                server.running_.last_change_at for server in self._taking
            )
            if self.count_running() or changed_at > idle_since:
                idle_since = now
            if now - idle_since > _IDLE_SECONDS:
                return


def _find_longest_timeout(
    configuration: Configuration | None, remaining: float
) -> float:
    """Return the longest time-out of a route, at most half of what is left."""
    routes = configuration.routes if configuration else ()
    longest_timeout = max((route.timeout for route in routes), default=0)
    return min(longest_timeout, remaining / 2)


def _read_retry_budget(settings: NodeSettings) -> FleetRetryBudget:
    bounds = settings.bounds
    return FleetRetryBudget(bounds.retry_ratio, bounds.retry_slack)
