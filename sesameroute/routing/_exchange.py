"""Lending and borrowing of slots between entry VMs."""

import random
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from sesameroute.ports import Peers
from sesameroute.routing._book import SlotBook
from sesameroute.routing._borrower import Borrower
from sesameroute.routing._census import Census
from sesameroute.routing._demand import Demand
from sesameroute.routing._headroom import count_region
from sesameroute.routing._inheritance import Inheritance
from sesameroute.routing._lender import Lender
from sesameroute.routing._messages import (
    GrantAsk,
    GrantCensus,
    GrantHeld,
    GrantRecall,
    GrantReply,
)

__all__ = ['Exchange']

_BITS = 64  # of a random incarnation

Wishes = Callable[[str, str], int]


class Exchange:
    """Keeps this VM supplied with slots, and others with its idle ones.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    peers : Peers
        Streams to the other entry VMs.
    rng : random.Random
        Makes the incarnation.
    pop_wishes : callable
        Takes a service and a region; returns the requests that lacked a
        slot there.

    """

    def __init__(
        self,
        book: SlotBook,
        peers: Peers,
        rng: random.Random,
        pop_wishes: Wishes,
    ) -> None:
        """Store the arguments; nothing is lent or borrowed."""
        self.book = book
        self.peers = peers
        self.pop_wishes = pop_wishes
        self.lender_ = Lender(book, f'{rng.getrandbits(_BITS):x}')
        self.borrower_ = Borrower(book, peers)
        self.census_ = Census(book, peers)
        self.inheritance_ = Inheritance(book, peers)
        self.demands_: dict[tuple[str, str], Demand] = {}
        self.waiting_: dict[str, int] = {}

    def balance(self, service: str, waiting: int) -> None:
        """Ask for slots that are missing and return those not needed.

        Parameters
        ----------
        service : str
            Name of the service.
        waiting : int
            Requests that wait for a slot here.

        """
        geography = self.book.read_geography()
        if geography is None:
            return
        self.census_.ask_missing()
        self.inheritance_.take_over(service)
        self.waiting_[service] = waiting
        excess = {geography.region: self._serve_near(service, waiting)}
        for region in geography.list_far_regions(service):
            wanted = waiting + self.pop_wishes(service, region)
            excess[region] = self._serve_far(service, region, wanted)
        self.borrower_.renew(service, excess)
        if waiting:
            self._recall(service)

    @singledispatchmethod
    def handle(self, message: Any, sender: str) -> str:
        """Take a peer's message; return the service that may have room."""
        return ''

    @handle.register
    def _grant(self, message: GrantAsk, sender: str) -> str:
        busy = self.waiting_.get(message.service, 0) > 0
        reply = self.lender_.grant(sender, message, busy=busy)
        if reply is not None:
            self.peers.cast(sender, reply)
        return message.service

    @handle.register
    def _accept(self, message: GrantReply, sender: str) -> str:
        self.borrower_.accept(sender, message)
        return message.service

    @handle.register
    def _give_up(self, message: GrantRecall, sender: str) -> str:
        self.borrower_.give_up(sender, message.service)
        return ''

    @handle.register
    def _tell_held(self, message: GrantCensus, sender: str) -> str:
        self.borrower_.tell_held(sender, message)
        return ''

    @handle.register
    def _count(self, message: GrantHeld, sender: str) -> str:
        self.census_.count(sender, message)
        return ''

    def _serve_near(self, service: str, waiting: int) -> int:
        """Ask near owners for missing slots; return the slots too many."""
        geography = self.book.read_geography()
        region = geography.region if geography else ''
        missing = self._count_missing(service, region, waiting)
        if missing > 0:
            self.borrower_.ask_room(service, missing, region)
        return -missing

    def _serve_far(self, service: str, region: str, wanted: int) -> int:
        """Ask owners of a region for missing slots; return those too many."""
        missing = self._count_missing(service, region, wanted)
        if wanted and missing > 0:
            self.borrower_.ask_room(service, missing, region)
        return -missing

    def _count_missing(self, service: str, region: str, wanted: int) -> int:
        geography = self.book.read_geography()
        is_far = geography is not None and region != geography.region
        free, used = count_region(self.book, service, region)
        demand = self.demands_.setdefault((service, region), Demand(is_far))
        demand.observe(used + wanted, self.book.clock.read_monotonic())
        return demand.count_needed(used) - free

    def _recall(self, service: str) -> None:
        for borrower in sorted(self.lender_.list_borrowers(service)):
            self.peers.cast(borrower, GrantRecall(service))
