"""Lending and borrowing of slots between entry VMs."""

import random
from functools import singledispatchmethod
from typing import Any

from sesameroute.ports import Peers
from sesameroute.routing._book import SlotBook
from sesameroute.routing._borrower import Borrower
from sesameroute.routing._census import Census
from sesameroute.routing._demand import Demand
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

    """

    def __init__(
        self,
        book: SlotBook,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        """Store the arguments; nothing is lent or borrowed."""
        self.book = book
        self.peers = peers
        self.lender_ = Lender(book, f'{rng.getrandbits(_BITS):x}')
        self.borrower_ = Borrower(book, peers)
        self.census_ = Census(book, peers)
        self.demands_: dict[str, Demand] = {}
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
        self.census_.ask_missing()
        free, used = self.book.count_service(service)
        demand = self.demands_.setdefault(service, Demand())
        now = self.book.clock.read_monotonic()
        demand.observe(used + waiting, now)
        self.waiting_[service] = waiting
        missing = demand.count_needed(used) - free
        self.borrower_.renew(service, -missing)
        if missing > 0:
            self.borrower_.ask_room(service, missing, far=waiting > 0)
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

    def _recall(self, service: str) -> None:
        for borrower in sorted(self.lender_.list_borrowers(service)):
            self.peers.cast(borrower, GrantRecall(service))
