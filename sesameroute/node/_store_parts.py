"""What a node reads from and writes to the platform's store."""

from collections.abc import Callable

from sesameroute.mirror import Mirror, MirrorNews, StoreWatcher
from sesameroute.node._address import parse_address
from sesameroute.node._fleet import Fleet
from sesameroute.node._membership import Membership
from sesameroute.node._receiver import NodeReceiver
from sesameroute.node._settings import NodeSettings
from sesameroute.node._sync import MirrorSync
from sesameroute.platform import PlatformFeed, PlatformStore
from sesameroute.ports import Clock, Peers, TcpWire

__all__ = ['StoreParts']


class StoreParts:
    """Mirror, watch and membership of one node.

    Parameters
    ----------
    settings : NodeSettings
        Addresses.
    receiver : NodeReceiver
        Puts what the store says into force.
    fleet : Fleet
        Says who watches.
    peers : Peers
        Streams to the other nodes.
    clock : Clock
        Source of time.

    """

    def __init__(
        self,
        settings: NodeSettings,
        receiver: NodeReceiver,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
    ) -> None:
        """Build the parts."""
        self.clock = clock
        place = settings.node
        feed = PlatformFeed(receiver)
        self._store = PlatformStore(
            parse_address(settings.store.address),
            TcpWire(),
            place.address,
        )
        self.mirror = Mirror(feed.take)
        self.sync = MirrorSync(self.mirror, fleet, peers, clock)
        self._watcher = StoreWatcher(
            self.mirror,
            self._store,
            self.sync.is_needed,
            self.sync.tell,
            clock,
        )
        self._membership = Membership(
            self._store,
            feed.name_member(place.address),
            feed.write_member(place.address, place.zone, place.region),
        )

    def start(self) -> None:
        """Start the threads."""
        self._watcher.start()
        self._membership.start()

    def observe_calls(self, observe: Callable[[str, str], None]) -> None:
        """Call something with the name and the result of each call."""
        self._store.on_call = observe

    def leave(self) -> None:
        """Take this node's entry out of the store."""
        self._membership.stop()

    def stop(self) -> None:
        """End the threads; an entry that is left lapses."""
        self._membership.abandon()
        self._watcher.stop()

    def dump(self) -> MirrorNews:
        """Return all items, for a peer."""
        return self.mirror.dump(self.clock.read_monotonic())
