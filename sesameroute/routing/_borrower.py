"""The borrower's side of lent slots."""

import itertools
from dataclasses import dataclass

from sesameroute.limits import LEASE_SECONDS, STANDING_SECONDS
from sesameroute.ports import Peers
from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography
from sesameroute.routing._lenders import list_lenders
from sesameroute.routing._messages import (
    GrantAsk,
    GrantCensus,
    GrantHeld,
    GrantReply,
    Holding,
)

__all__ = ['Borrower']

_RENEW_AFTER = 0.4  # seconds from an ask to its renewal
_ASK_GAP = 0.02  # seconds between asks to one owner beyond its round trip


@dataclass(frozen=True, slots=True)
class _LastAsk:
    """The last ask to an owner; `number` is 0 when no reply counts."""

    number: int
    since: float
    standing: frozenset[str] = frozenset()

    def measure_term(self, upstream: str) -> float:
        """Return the seconds for which slots were asked."""
        if upstream in self.standing:
            return STANDING_SECONDS
        return LEASE_SECONDS


class Borrower:
    """Asks owners for slots, renews those in use and returns idle ones.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    peers : Peers
        Streams to the other entry VMs.

    """

    def __init__(
        self,
        book: SlotBook,
        peers: Peers,
    ) -> None:
        """Store the arguments; nothing is borrowed."""
        self.book = book
        self.peers = peers
        self.boot_ = book.clock.read_wall()
        self.asked_: dict[tuple[str, str], _LastAsk] = {}
        self._numbers = itertools.count(1)

    def ask_room(self, service: str, wanted: int, region: str) -> None:
        """Ask the owners of slots in a region for more.

        Parameters
        ----------
        service : str
            Name of the service.
        wanted : int
            Slots to ask for.
        region : str
            Region of the backend servers.

        """
        geography = self.book.read_geography()
        if geography is None:
            return
        now = self.book.clock.read_monotonic()
        for owner, room in list_lenders(self.book, service, region):
            share = min(wanted, room)
            asked = self._find_ask(owner, service).since
            round_trip = 2 * geography.measure_vm_delay(owner)
            if share > 0 and now - asked >= round_trip + _ASK_GAP:
                self._ask(geography, owner, service, share)
            wanted -= max(0, share)

    def renew(self, service: str, excess: dict[str, int]) -> None:
        """Renew leases before they end and return idle slots.

        Parameters
        ----------
        service : str
            Name of the service.
        excess : dict of str to int
            Free slots that are more than is needed, by region.

        """
        geography = self.book.read_geography()
        if geography is None:
            return
        now = self.book.clock.read_monotonic()
        for owner in reversed(self._list_partners(geography, service)):
            dropped = self._drop_idle(geography, owner, service, excess)
            asked = self._find_ask(owner, service).since
            if dropped or now - asked >= _RENEW_AFTER:
                self._ask(geography, owner, service, 0)

    def accept(self, owner: str, reply: GrantReply) -> None:
        """Hold what was granted in answer to the last ask."""
        ask = self._find_ask(owner, reply.service)
        if ask.number != reply.number:
            return
        self.asked_[owner, reply.service] = _LastAsk(0, ask.since)
        for holding in reply.granted:
            ledger = self.book.ledgers_.get(holding.upstream)
            if ledger is not None:
                expires = ask.since + ask.measure_term(holding.upstream)
                ledger.accept(owner, holding.slots, expires)

    def give_up(self, owner: str, service: str) -> None:
        """Return all idle slots that an owner calls back."""
        geography = self.book.read_geography()
        if geography is None:
            return
        most = sum(one.slots for one in geography.list_service(service))
        regions = geography.statement.places.regions
        everywhere = dict.fromkeys(regions, most)
        if self._drop_idle(geography, owner, service, everywhere):
            self._ask(geography, owner, service, 0)

    def tell_held(self, owner: str, question: GrantCensus) -> None:
        """Tell a restarted owner what is held of its slots.

        Replies to earlier asks no longer count: what they grant is not in
        the answer.
        """
        geography = self.book.read_geography()
        if geography is None:
            return
        held: list[Holding] = []
        for service in geography.statement.services:
            asked = self._find_ask(owner, service).since
            self.asked_[owner, service] = _LastAsk(0, asked)
            held.extend(self._list_held(geography, owner, service))
        self.peers.cast(owner, GrantHeld(question.boot, tuple(held)))

    def _ask(
        self,
        geography: Geography,
        owner: str,
        service: str,
        extra: int,
    ) -> None:
        now = self.book.clock.read_monotonic()
        ask = GrantAsk(
            service,
            self.boot_,
            next(self._numbers),
            self._list_held(geography, owner, service),
            geography.list_standing(service).get(owner, ()),
            extra,
        )
        standing = frozenset(wish.upstream for wish in ask.standing)
        self.asked_[owner, service] = _LastAsk(ask.number, now, standing)
        self.peers.cast(owner, ask)

    def _find_ask(self, owner: str, service: str) -> _LastAsk:
        return self.asked_.get((owner, service), _LastAsk(0, -LEASE_SECONDS))

    def _list_held(
        self,
        geography: Geography,
        owner: str,
        service: str,
    ) -> tuple[Holding, ...]:
        now = self.book.clock.read_monotonic()
        counted = (
            Holding(
                one.name,
                self.book.ledgers_[one.name].count_held(owner, now),
            )
            for one in geography.list_service(service)
        )
        return tuple(holding for holding in counted if holding.slots)

    def _drop_idle(
        self,
        geography: Geography,
        owner: str,
        service: str,
        excess: dict[str, int],
    ) -> bool:
        now = self.book.clock.read_monotonic()
        standing = geography.list_standing(service).get(owner, ())
        kept = {wish.upstream for wish in standing}
        dropped = 0
        for upstream in geography.list_service(service):
            if upstream.name not in kept:
                region = geography.find_region(upstream.domain)
                ledger = self.book.ledgers_[upstream.name]
                units = ledger.drop_idle(owner, now, excess.get(region, 0))
                excess[region] = excess.get(region, 0) - units
                dropped += units
        return dropped > 0

    def _list_partners(self, geography: Geography, service: str) -> list[str]:
        owners = {
            owner
            for upstream in geography.list_service(service)
            for owner in self.book.ledgers_[upstream.name].borrowed
        }
        owners.update(geography.list_standing(service))
        # Leases of a silent owner run out; those of a dead one stay.
        owners.intersection_update(self.book.members.list_live())
        return sorted(
            owners,
            key=lambda owner: (geography.measure_vm_delay(owner), owner),
        )
