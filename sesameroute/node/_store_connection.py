"""A node's connection to the platform's store."""

from collections.abc import Callable

from sesameroute.mirror import Mirror, StoreWatcher
from sesameroute.node._address import parse_address
from sesameroute.node._catch_up import CatchUp
from sesameroute.node._era_translation import EraTranslation
from sesameroute.node._fleet import Fleet
from sesameroute.node._lease import NodeLease
from sesameroute.node._mirror_sync import MirrorSync
from sesameroute.node._receiver import NodeReceiver
from sesameroute.node._settings import NodeSettings
from sesameroute.platform import (
    IgnoredItems,
    PlatformDocumentOrder,
    PlatformStore,
    StoreItemDispatcher,
)
from sesameroute.ports import Clock, Peers, TcpWire

__all__ = ['StoreConnection']

# Updates come more often than this while any node reads the store.
_CURRENT_SECONDS = 1.3


class StoreConnection:
    """A node's copy of the store, its watch on it and its own entry.

    Parameters
    ----------
    settings : NodeSettings
        Addresses and location of the node.
    receiver : NodeReceiver
        Applies changed items.
    fleet : Fleet
        Ranks the nodes that may watch the store.
    peers : Peers
        Connections to the other nodes.
    clock : Clock
        Source of time.

    Attributes
    ----------
    ignored_items : IgnoredItems
        Records the items that are not valid.
    catch_up : CatchUp
        Compares the node with its peers after its start.

    """

    def __init__(
        self,
        settings: NodeSettings,
        receiver: NodeReceiver,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Build the components without starting them."""
        self.clock = clock
        node_settings = settings.node
        self.ignored_items = IgnoredItems()
        dispatcher = StoreItemDispatcher(receiver, self.ignored_items)
        self._store = PlatformStore(
            parse_address(settings.store.address),
            TcpWire(),
            node_settings.address,
            ignored_items=self.ignored_items,
        )
        self.mirror = Mirror(
            dispatcher.dispatch,
            dispatcher.dispatch_loss,
            PlatformDocumentOrder(),
        )
        receiver.read_source = lambda: self.mirror.source_.peer_
        self.eras = EraTranslation(lambda: self._store.first_era_)
        self.sync = MirrorSync(self.mirror, fleet, peers, clock, self.eras)
        self.catch_up = CatchUp(
            fleet, self.sync, receiver.active_configuration, clock
        )
        self._watcher = StoreWatcher(
            self.mirror,
            self._store,
            self.sync.should_watch,
            self.sync.broadcast,
            clock,
        )
        self._lease = NodeLease(
            self._store,
            dispatcher.build_member_key(node_settings.address),
            dispatcher.encode_member(
                node_settings.address, node_settings.zone, node_settings.region
            ),
        )

    def is_current(self) -> bool:
        """Whether the copy of the store was up to date a moment ago."""
        return self.measure_age() <= _CURRENT_SECONDS

    def measure_age(self) -> float:
        """Return the seconds since the copy was known to be up to date."""
        return self.clock.read_monotonic() - self.mirror.verified_at_

    def start(self) -> None:
        """Start watching the store and keeping this node's entry."""
        self._watcher.start()
        self._lease.start()

    def observe_calls(self, observe: Callable[[str, str], None]) -> None:
        """Call `observe` with the name and the result of each store call."""
        self._store.on_call = observe

    def deregister(self) -> None:
        """Remove this node's entry from the store."""
        self._lease.stop()

    def stop(self) -> None:
        """Stop the threads; a remaining entry expires with its lease."""
        self._lease.stop_renewing()
        self._watcher.stop()
