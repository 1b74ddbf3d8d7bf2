"""Builds the components of a node and runs its periodic work."""

import logging
import threading
import uuid

from sesameroute.adapters import MIN_KEY_BYTES, FrontServer, PeerNetwork
from sesameroute.node._announcement_exchange import AnnouncementExchange
from sesameroute.node._dispatch import MessageDispatch
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._metrics_server import (
    MetricsServer,
    build_metrics_server,
)
from sesameroute.node._pools import PoolTable
from sesameroute.node._receiver import NodeReceiver
from sesameroute.node._servers import NodeServers
from sesameroute.node._settings import NodeSettings
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.node._store_connection import StoreConnection
from sesameroute.ports import PeerIdentity, SystemClock, TcpWire, Wire
from sesameroute.registry import Registry
from sesameroute.routes import ActiveConfiguration
from sesameroute.telemetry import LoopWatch, survive

__all__ = ['FleetNode']

# Interval at which waiting requests are processed, and while none waits.
_WAITING_INTERVAL_SECONDS = 0.015
_IDLE_INTERVAL_SECONDS = 0.05
_REFRESH_INTERVAL_SECONDS = 0.25  # interval of reports between pools
# Part of the grace period that is kept for closing connections and threads.
_STOP_MARGIN_SECONDS = 0.7

_logger = logging.getLogger(__name__)


class FleetNode:
    """All components of one node process.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    server_wire : Wire, optional
        Opens the connections to backend servers.

    Attributes
    ----------
    loops : LoopWatch
        Tells which of the loops have ended.

    """

    def __init__(
        self, settings: NodeSettings, server_wire: Wire | None = None
    ) -> None:
        """Build the components without starting them."""
        self.settings = settings
        self.clock = SystemClock()
        node_settings = settings.node
        self.peers = PeerNetwork(
            PeerIdentity(node_settings.address, uuid.uuid4().hex),
            settings.peers.key.encode().ljust(MIN_KEY_BYTES, b'-'),
            TcpWire(),
            self.clock,
            (node_settings.address, settings.peers.ports[0]),
        )
        own_state = NodeState(
            node_settings.address,
            node_settings.zone,
            node_settings.region,
            settings.listen.front,
            relay=settings.relay_address,
            first_era=-1,
            is_answer=False,
        )
        self.fleet = Fleet(own_state, self.peers, self.clock)
        self.active_configuration = ActiveConfiguration(is_held_back=True)
        self.registry = Registry()
        self._store = StoreConnection(
            settings,
            NodeReceiver(
                self.active_configuration,
                self.registry,
                self.fleet,
                self.clock,
            ),
            self.fleet,
            self.peers,
            self.clock,
        )
        self.allocator = FleetSlotAllocator(
            self.fleet,
            self.peers,
            PoolTable(
                self.fleet,
                self.registry,
                self.active_configuration,
                settings.zones,
                self.clock,
            ),
            self.clock,
        )
        self.allocator.pools.terms_ = settings.placement_terms
        self._node_servers = NodeServers(
            settings,
            self.allocator,
            server_wire or TcpWire(),
        )
        self._node_servers.directory.is_open_ = lambda: (
            self._store.catch_up.is_complete_
        )
        self._servers = list(self._node_servers.servers)
        if settings.listen.metrics:
            self._servers.append(
                build_metrics_server(
                    settings.listen.metrics,
                    self.allocator,
                    self._store,
                    self._node_servers,
                )
            )
        self._announcement_exchange = AnnouncementExchange(
            node_settings.address,
            self.peers,
            self.registry,
            self.clock,
        )
        self.registry.announcements.listener_ = (
            self._announcement_exchange.publish
        )
        self._dispatch = MessageDispatch(
            self.fleet,
            self._store,
            self.allocator,
            self._node_servers.loss_exchange,
            self._announcement_exchange,
        )
        self._dispatch.allowances.apply_bounds(settings.bounds)
        gate = self._node_servers.forwarder.guards.tenants
        gate.allowances_ = self._dispatch.allowances
        gate.may_take_keys_ = lambda: self.settings.revocation.may_take_keys(
            self._store.measure_age()
        )
        self.loops = LoopWatch(
            {
                'tick': lambda: self._ticked_at + _IDLE_INTERVAL_SECONDS,
                'beat': lambda: self._beat_at + self._beat_seconds,
                'peer-loop': self.peers.read_turn,
                **{
                    each.name: each.read_turn
                    for each in self._node_servers.servers
                },
            }
        )
        self._ticked_at = self.clock.read_monotonic()
        self._beat_at = self._ticked_at
        self._beat_seconds = self.fleet.heartbeats.choose_interval()
        self._is_stopped = threading.Event()
        self._broadcast_lock = threading.Lock()
        self._connected: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start the servers and the threads."""
        self.peers.start(self._dispatch.handle)
        _add_seeds(self.fleet, self.settings)
        self._store.start()
        for server in self._servers:
            server.start()
        self._node_servers.start_checks()
        self._store.catch_up.start(
            self._is_stopped,
            lambda: _dial(self.fleet, self.peers, self.settings),
            self._update_own_state,
        )
        for name, loop in (
            ('tick', self._run_pool_loop),
            ('beat', self._run_heartbeat_loop),
        ):
            threading.Thread(target=loop, name=name, daemon=True).start()
        _logger.info('node started', extra={'zone': self.fleet.own_state.zone})

    def stop(self) -> None:
        """Shut down gracefully: running requests finish first."""
        grace = self.settings.bounds.grace - _STOP_MARGIN_SECONDS
        now = self.clock.read_monotonic()
        deadline = now + grace
        _logger.info('node stopping')
        self._node_servers.shutdown.begin(now, deadline)
        self._broadcast_state()
        self._store.deregister()
        self._node_servers.shut_down(deadline)
        _logger.info(
            'node stopped', extra={'cut': self._node_servers.count_running()}
        )
        self._stop_components()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        `SettingsFile` keeps the ones that need a restart unchanged.
        """
        self.settings = settings
        self._node_servers.apply_settings(settings)
        self._dispatch.allowances.apply_bounds(settings.bounds)
        self.allocator.pools.replace_regions(settings.zones)
        _add_seeds(self.fleet, self.settings)

    def kill(self) -> None:
        """Stop at once without notifying the store or peers, as in a crash."""
        for server in self._servers:
            server.stop_accepting()
        self._stop_components()

    def _stop_components(self) -> None:
        self._is_stopped.set()
        # Without its peers it would name the nodes that it loses last.
        self._node_servers.directory.is_open_ = bool
        self._node_servers.stop_checks()
        self._store.stop()
        self.peers.stop()
        _stop_servers(self._servers)

    def _run_pool_loop(self) -> None:
        refreshed_at = 0
        is_waiting = False
        while not self._is_stopped.is_set():
            self._ticked_at = self.clock.read_monotonic()
            with survive('pool update'):
                is_waiting = self.allocator.process_waiting()
                now = self.clock.read_monotonic()
                if now - refreshed_at >= _REFRESH_INTERVAL_SECONDS:
                    refreshed_at = now
                    self._refresh(now)
            pause = (
                _WAITING_INTERVAL_SECONDS
                if is_waiting
                else _IDLE_INTERVAL_SECONDS
            )
            self._is_stopped.wait(pause)

    def _refresh(self, now: float) -> None:
        for name in self.registry.expire(now):
            _logger.info('backend server gone', extra={'backend': name})
        connected = frozenset(self.peers.list_connected())
        for lost in self._connected - connected:
            _logger.warning('node lost', extra={'peer': lost})
            self.allocator.release_node(lost)
        for found in connected - self._connected:
            self.peers.send_one_way(found, self.fleet.build_state())
            for gossip in self._dispatch.gossips:
                gossip.share_with(found)
        self._connected = connected
        self.allocator.refresh()
        self._dispatch.allowances.refresh()
        self._node_servers.apply_limits()
        self._update_own_state()

    def _update_own_state(self) -> None:
        is_ready = self._store.catch_up.is_complete_
        is_leaving = self._node_servers.shutdown.has_begun()
        if self.fleet.update_own_state(
            is_ready=is_ready and not is_leaving,
            is_leaving=is_leaving,
            reaches_servers=not self.allocator.reachability.is_cut_off_,
            answers_callers=self._node_servers.front_check.is_answering_,
        ):
            self._broadcast_state()

    def _run_heartbeat_loop(self) -> None:
        while not self._is_stopped.wait(self._beat_seconds):
            self._beat_at = self.clock.read_monotonic()
            self._beat_seconds = self.fleet.heartbeats.choose_interval()
            with survive('heartbeat'):
                self._broadcast_state(is_heartbeat=True)
                for gossip in self._dispatch.gossips:
                    gossip.share_with_next()
                _dial(self.fleet, self.peers, self.settings)
                self._store.sync.fetch_if_empty()

    def _broadcast_state(self, *, is_heartbeat: bool = False) -> None:
        """Send this node's state to its peers; later states are sent later.

        A heartbeat leaves out peers that know the state.
        """
        with self._broadcast_lock:
            if self._node_servers.shutdown.has_begun():
                self.fleet.update_own_state(is_ready=False, is_leaving=True)
            self.fleet.update_own_state(first_era=self._store.eras.first_era_)
            state = self.fleet.build_state(
                self._store.mirror.revision_, is_complete=False
            )
            is_current = is_heartbeat and self._store.is_current()
            for peer, message in self.fleet.heartbeats.plan_messages(
                state, self.fleet.list_live(), is_current=is_current
            ):
                self.peers.send_one_way(peer, message)


def _stop_servers(servers: list[FrontServer | MetricsServer]) -> None:
    """Stop all servers at the same time, since each one takes a while."""
    stopping = [threading.Thread(target=server.stop) for server in servers]
    for thread in stopping:
        thread.start()
    for thread in stopping:
        thread.join()


def _add_seeds(fleet: Fleet, settings: NodeSettings) -> None:
    for seed in settings.peers.seeds:
        fleet.add_address(seed.rpartition(':')[0])


def _dial(fleet: Fleet, peers: PeerNetwork, settings: NodeSettings) -> None:
    port = settings.peers.ports[0]
    peers.set_targets(
        {address: (address, port) for address in fleet.list_dial_addresses()},
    )
