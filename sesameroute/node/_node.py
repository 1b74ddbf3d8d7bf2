"""A node of the fleet: one process with all that it does."""

import logging
import threading
import time
import uuid
from typing import Any

from sesameroute.adapters import FrontServer, KeptConnections, PeerNetwork
from sesameroute.exceptions import SesameError
from sesameroute.forward import Forwarder, RetryBudgets, RetryTerms, Sender
from sesameroute.mirror import Mirror, MirrorNews, MirrorQuery, StoreWatcher
from sesameroute.node._address import parse_address
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._front import (
    DirectoryHandler,
    FrontHandler,
    ReadyHandler,
)
from sesameroute.node._membership import Membership
from sesameroute.node._placing import FleetPlacing
from sesameroute.node._receiver import NodeReceiver
from sesameroute.node._settings import NodeSettings
from sesameroute.node._sync import MirrorSync
from sesameroute.platform import (
    PlatformDialect,
    PlatformFeed,
    PlatformStore,
)
from sesameroute.ports import PeerIdentity, SystemClock, TcpWire
from sesameroute.registry import Registry
from sesameroute.routes import ConfigurationKeeper

__all__ = ['FleetNode']

_TICK_SECONDS = 0.015  # between two looks at waiting requests
_IDLE_TICK_SECONDS = 0.05  # while none waits
_REFRESH_SECONDS = 0.25  # between two reports of pools
_STATE_SECONDS = 1.0  # between two words about this node
_STOP_MARGIN = 0.7  # seconds of the grace period left for the end
_QUIET_SECONDS = 2.5  # after which a leaving node without requests ends
_STOP_TICK_SECONDS = 0.05
_SMALL_THREADS = 2  # of the servers for checks and the directory

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
        wire = TcpWire()
        place = settings.node
        self.peers = PeerNetwork(
            PeerIdentity(place.address, uuid.uuid4().hex),
            settings.peers.key.encode().ljust(16, b'-'),
            wire,
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
        self._receiver = NodeReceiver(
            self.keeper,
            self.registry,
            self.fleet,
            self.clock,
        )
        self._feed = PlatformFeed(self._receiver)
        self._store = PlatformStore(
            parse_address(settings.store.address),
            wire,
            place.address,
        )
        self._build_sync()
        self._build_front(wire)
        self._is_leaving = threading.Event()
        self._is_ended = threading.Event()
        self._connected: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start listening and the threads."""
        self.peers.start(self._handle)
        for seed in self.settings.peers.seeds:
            self.fleet.add_address(seed.rpartition(':')[0])
        self._dial()
        self._watcher.start()
        self._membership.start()
        for server in self._servers:
            server.start()
        for name, loop in (('tick', self._tick), ('beat', self._beat)):
            threading.Thread(target=loop, name=name, daemon=True).start()
        _logger.info('node started', extra={'zone': self.fleet.own.zone})

    def stop(self) -> None:
        """Leave in order: no request is cut."""
        began = self.clock.read_monotonic()
        ends = began + self.settings.bounds.grace - _STOP_MARGIN
        self._is_leaving.set()
        self._tell_state()
        self._membership.stop()
        _logger.info('node stopping')
        # Callers that have not heard yet still connect; the last of their
        # requests must have time to end.
        self._wait_quiet(ends - self._find_longest_timeout())
        self._front.stop_accepting()
        while self._handler.running and self.clock.read_monotonic() < ends:
            time.sleep(_STOP_TICK_SECONDS)
        self._is_ended.set()
        self._watcher.stop()
        self.peers.stop()
        _logger.info('node stopped', extra={'cut': self._handler.running})

    def kill(self) -> None:
        """End at once, as a process that loses power does."""
        self._is_ended.set()
        self._watcher.stop()
        self._membership.abandon()
        self.peers.stop()
        for server in self._servers:
            server.stop_accepting()

    def _wait_quiet(self, until: float) -> None:
        quiet_since = self.clock.read_monotonic()
        while self.clock.read_monotonic() < until:
            time.sleep(_STOP_TICK_SECONDS)
            now = self.clock.read_monotonic()
            if self._handler.running or self._handler.seen > quiet_since:
                quiet_since = now
            if now - quiet_since > _QUIET_SECONDS:
                return

    def _find_longest_timeout(self) -> float:
        found = self.keeper.configuration
        routes = found.routes if found else ()
        longest = max((route.timeout for route in routes), default=0)
        return min(longest, self.settings.bounds.grace / 2)

    def _build_sync(self) -> None:
        self.mirror = Mirror(self._feed.take)
        self._sync = MirrorSync(
            self.mirror,
            self.fleet,
            self.peers,
            self.clock,
        )
        self._watcher = StoreWatcher(
            self.mirror,
            self._store,
            self._sync.is_needed,
            self._sync.tell,
            self.clock,
        )
        place = self.settings.node
        self._membership = Membership(
            self._store,
            self._feed.name_member(place.address),
            self._feed.write_member(place.address, place.zone, place.region),
        )

    def _build_front(self, wire: TcpWire) -> None:
        settings = self.settings
        connections = KeptConnections(wire, settings.node.address, self.clock)
        bounds = settings.bounds
        self.placing = FleetPlacing(
            self.fleet,
            self.peers,
            self.registry,
            self.keeper,
            settings.zones,
            self.clock,
        )
        forwarder = Forwarder(
            self.keeper,
            self.registry,
            self.placing,
            Sender(connections, PlatformDialect(), self.clock),
            RetryBudgets(
                RetryTerms(bounds.retry_ratio, bounds.retry_slack),
                self.fleet.count,
            ),
            self.clock,
        )
        self._handler = FrontHandler(forwarder, self.clock)
        self._front = FrontServer(
            parse_address(settings.listen.front),
            self._handler,
            lambda: self._is_leaving.is_set(),
        )
        ready = FrontServer(
            parse_address(settings.listen.ready),
            ReadyHandler(self.fleet),
            threads=_SMALL_THREADS,
        )
        directory = FrontServer(
            parse_address(settings.listen.directory),
            DirectoryHandler(self.fleet, bounds.longest_ttl),
            threads=_SMALL_THREADS,
        )
        self._servers = (self._front, ready, directory)

    def _handle(self, sender: str, message: Any) -> Any:
        if isinstance(message, NodeState):
            self.fleet.take_state(message)
        elif isinstance(message, MirrorNews):
            self._sync.take(sender, message)
        elif isinstance(message, MirrorQuery):
            return self.mirror.dump(self.clock.read_monotonic())
        else:
            return self.placing.handle(sender, message)
        return None

    def _tick(self) -> None:
        refreshed = 0.0
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
        self._apply_limits()
        is_ready = self.keeper.table_ is not None
        if self.fleet.set_own(
            is_ready=is_ready and not self._is_leaving.is_set(),
            is_leaving=self._is_leaving.is_set(),
        ):
            self._tell_state()

    def _apply_limits(self) -> None:
        found = self.keeper.configuration
        if found is not None:
            limits = found.limits
            self._front.set_limits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_seconds,
                limits.idle_seconds,
            )

    def _beat(self) -> None:
        while not self._is_ended.wait(_STATE_SECONDS):
            self._tell_state()
            self._dial()
            self._sync.ask_if_empty()

    def _tell_state(self) -> None:
        if self._is_leaving.is_set():
            self.fleet.set_own(is_ready=False, is_leaving=True)
        state = self.fleet.make_state()
        for peer in self.peers.list_connected():
            self.peers.cast(peer, state)

    def _dial(self) -> None:
        port = self.settings.peers.ports[0]
        self.peers.set_targets(
            {address: (address, port) for address in self.fleet.list_targets()},
        )
