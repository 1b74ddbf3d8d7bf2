"""A node of the fleet: one process with all that it does."""

import logging
import threading
import uuid

from sesameroute.adapters import MIN_KEY_BYTES, PeerNetwork
from sesameroute.exceptions import SesameError
from sesameroute.node._dispatch import MessageDispatch
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._front_parts import FrontParts
from sesameroute.node._metrics import MetricsServer, NodeMeter
from sesameroute.node._placing import FleetPlacing
from sesameroute.node._pools import PoolTable
from sesameroute.node._receiver import NodeReceiver
from sesameroute.node._settings import NodeSettings
from sesameroute.node._store_parts import StoreParts
from sesameroute.ports import PeerIdentity, SystemClock, TcpWire
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper

__all__ = ['FleetNode']

_TICK_SECONDS = 0.015  # between two looks at waiting requests
_IDLE_TICK_SECONDS = 0.05  # while none waits
_REFRESH_SECONDS = 0.25  # between two reports of pools
_STATE_SECONDS = 1.0  # between two words about this node
_STOP_MARGIN = 0.7  # seconds of the grace period left for the end

_logger = logging.getLogger(__name__)


class FleetNode:
    """Everything that one process runs.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.

    """

    def __init__(self, settings: NodeSettings) -> None:
        """Build the parts."""
        self.settings = settings
        self.clock = SystemClock()
        place = settings.node
        self.peers = PeerNetwork(
            PeerIdentity(place.address, uuid.uuid4().hex),
            settings.peers.key.encode().ljust(MIN_KEY_BYTES, b'-'),
            TcpWire(),
            self.clock,
            (place.address, settings.peers.ports[0]),
        )
        own = NodeState(
            place.address,
            place.zone,
            place.region,
            settings.listen.front,
        )
        self.fleet = Fleet(own, self.peers, self.clock)
        self.keeper = ConfigurationKeeper()
        self.registry = Registry()
        self._store = StoreParts(
            settings,
            NodeReceiver(
                self.keeper,
                self.registry,
                self.fleet,
                self.clock,
            ),
            self.fleet,
            self.peers,
            self.clock,
        )
        self._is_leaving = threading.Event()
        self.placing = FleetPlacing(
            self.fleet,
            self.peers,
            PoolTable(
                self.fleet,
                self.registry,
                self.keeper,
                settings.zones,
                self.clock,
            ),
            self.clock,
        )
        self._parts = FrontParts(
            settings,
            self.keeper,
            self.registry,
            self.fleet,
            self.placing,
            self._is_leaving,
        )
        self._servers = list(self._parts.servers)
        if settings.listen.metrics:
            self._open_metrics(settings.listen.metrics)
        self._dispatch = MessageDispatch(
            self.fleet,
            self._store,
            self.placing,
            self._parts.quarantine,
        )
        self._is_ended = threading.Event()
        self._connected: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start listening and the threads."""
        self.peers.start(self._dispatch.handle)
        _note_seeds(self.fleet, self.settings)
        _dial(self.fleet, self.peers, self.settings)
        self._store.start()
        for server in self._servers:
            server.start()
        for name, loop in (('tick', self._tick), ('beat', self._beat)):
            threading.Thread(target=loop, name=name, daemon=True).start()
        _logger.info('node started', extra={'zone': self.fleet.own.zone})

    def stop(self) -> None:
        """Leave in order: no request is cut."""
        grace = self.settings.bounds.grace - _STOP_MARGIN
        ends = self.clock.read_monotonic() + grace
        _logger.info('node stopping')
        self._is_leaving.set()
        self._tell_state()
        self._store.leave()
        self._parts.leave(ends)
        _logger.info('node stopped', extra={'cut': self._parts.count_running()})
        self._end()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Put other settings in force; see `SettingsFile` for which."""
        self.settings = settings
        self._parts.apply_settings(settings)
        self.placing.pools.replace_regions(settings.zones)
        _note_seeds(self.fleet, self.settings)

    def kill(self) -> None:
        """End at once, as a process that loses power does."""
        for server in self._servers:
            server.stop_accepting()
        self._end()

    def _end(self) -> None:
        self._is_ended.set()
        self._store.stop()
        self.peers.stop()
        for server in self._servers:
            server.stop()

    def _open_metrics(self, address: str) -> None:
        meter = NodeMeter(
            self.keeper,
            self.registry,
            self.placing,
            self.peers,
        )
        self._parts.forwarder.observer_ = meter.observe
        self._store.observe_calls(meter.observe_call)
        self._servers.append(MetricsServer(address, meter))

    def _tick(self) -> None:
        refreshed = 0
        while not self._is_ended.is_set():
            try:
                is_waiting = self.placing.tick()
                now = self.clock.read_monotonic()
                if now - refreshed >= _REFRESH_SECONDS:
                    refreshed = now
                    self._refresh(now)
            except SesameError as error:
                _logger.warning('tick failed', extra={'why': error.message})
            pause = _TICK_SECONDS if is_waiting else _IDLE_TICK_SECONDS
            self._is_ended.wait(pause)

    def _refresh(self, now: float) -> None:
        for name in self.registry.expire(now):
            _logger.info('backend server gone', extra={'backend': name})
        connected = frozenset(self.peers.list_connected())
        for lost in self._connected - connected:
            _logger.warning('node lost', extra={'peer': lost})
            self.placing.forget_node(lost)
        for found in connected - self._connected:
            self.peers.cast(found, self.fleet.make_state())
        self._connected = connected
        self.placing.refresh()
        self._parts.apply_limits()
        is_ready = self.keeper.table_ is not None
        if self.fleet.describe(
            is_ready=is_ready and not self._is_leaving.is_set(),
            is_leaving=self._is_leaving.is_set(),
        ):
            self._tell_state()

    def _beat(self) -> None:
        while not self._is_ended.wait(_STATE_SECONDS):
            self._tell_state()
            _dial(self.fleet, self.peers, self.settings)
            self._store.sync.ask_if_empty()

    def _tell_state(self) -> None:
        if self._is_leaving.is_set():
            self.fleet.describe(is_ready=False, is_leaving=True)
        state = self.fleet.make_state()
        for peer in self.peers.list_connected():
            self.peers.cast(peer, state)


def _note_seeds(fleet: Fleet, settings: NodeSettings) -> None:
    for seed in settings.peers.seeds:
        fleet.add_address(seed.rpartition(':')[0])


def _dial(fleet: Fleet, peers: PeerNetwork, settings: NodeSettings) -> None:
    port = settings.peers.ports[0]
    peers.set_targets(
        {address: (address, port) for address in fleet.list_targets()},
    )
