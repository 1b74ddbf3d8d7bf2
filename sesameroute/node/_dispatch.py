"""Hands the messages of other nodes to the part that takes them."""

from collections.abc import Callable
from typing import Any

from sesameroute.mirror import MirrorNews, MirrorQuery
from sesameroute.node._fleet import Fleet, NodeState
from sesameroute.node._placing import FleetPlacing
from sesameroute.node._store_parts import StoreParts
from sesameroute.quarantine import Acquittal, LossReport, Quarantine

__all__ = ['MessageDispatch']


class MessageDispatch:
    """Takes the messages of other nodes.

    Parameters
    ----------
    fleet : Fleet
        Takes what nodes say of themselves.
    store : StoreParts
        Takes and gives the store's items.
    placing : FleetPlacing
        Takes all that concerns slots.
    quarantine : Quarantine
        Takes news of requests that crash backend servers.

    """

    def __init__(
        self,
        fleet: Fleet,
        store: StoreParts,
        placing: FleetPlacing,
        quarantine: Quarantine,
    ) -> None:
        """Store what takes a message, by its type."""
        self.placing = placing
        self._handlers: dict[type, Callable[[str, Any], Any]] = {
            NodeState: lambda _sender, state: fleet.take_state(state),
            MirrorNews: store.sync.take,
            MirrorQuery: lambda _sender, _query: store.dump(),
            LossReport: lambda sender, report: quarantine.hear(report, sender),
            Acquittal: lambda _sender, message: quarantine.acquit(message),
        }

    def handle(self, sender: str, message: Any) -> Any:
        """Take a message; return the reply, None if there is none."""
        handler = self._handlers.get(type(message), self.placing.handle)
        return handler(sender, message)
