"""Slots of owners whose process is known to be dead."""

from sesameroute.limits import STANDING_SECONDS
from sesameroute.ports import Peers
from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography
from sesameroute.statement import Upstream

__all__ = ['Inheritance']

_MAX_GAP = 4.0  # seconds between two refusals that count as one absence


class Inheritance:
    """Uses the slots of a co-owner while its machine refuses connections.

    A machine that refuses a connection runs no process that could use the
    slots; silence proves nothing and gives no right. What the dead process
    had lent is waited for. The right lasts a term from the start of the
    last dial that was refused, and a restarted owner waits longer than that
    term before it uses its slots without having asked.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(self, book: SlotBook, peers: Peers) -> None:
        """Store the arguments; nobody is known to be dead."""
        self.book = book
        self.peers = peers
        self.first_: dict[str, float] = {}
        self.last_: dict[str, float] = {}

    def take_over(self, service: str) -> None:
        """Use the slots of dead co-owners of a service."""
        geography = self.book.read_geography()
        if geography is None:
            return
        for vm, refused in self.peers.list_refused().items():
            self._note(vm, refused)
            self._inherit(geography, service, vm)

    def _note(self, vm: str, refused: float) -> None:
        is_live = vm in self.book.members.list_live()
        if is_live or refused - self.last_.get(vm, refused) > _MAX_GAP:
            self.first_.pop(vm, None)
        if not is_live:
            self.first_.setdefault(vm, refused)
        self.last_[vm] = refused

    def _inherit(self, geography: Geography, service: str, vm: str) -> None:
        now = self.book.clock.read_monotonic()
        expires = self.last_[vm] + STANDING_SECONDS
        lent = self.book.build_term(service).hold
        is_dead = vm in self.first_ and now >= self.first_[vm] + lent
        if not is_dead or expires <= now:
            return
        for upstream in geography.list_service(service):
            if self._is_heir(geography, upstream, vm):
                slots = geography.split(upstream.name)[vm]
                ledger = self.book.ledgers_[upstream.name]
                ledger.accept(vm, slots, expires)

    def _is_heir(
        self,
        geography: Geography,
        upstream: Upstream,
        vm: str,
    ) -> bool:
        owners = geography.split(upstream.name)
        return vm != self.book.vm and vm in owners and self.book.vm in owners
