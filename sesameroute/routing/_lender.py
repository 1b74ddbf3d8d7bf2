"""The owner's side of lent slots."""

from collections.abc import Iterator

from sesameroute.limits import Ledger, Term
from sesameroute.routing._book import SlotBook
from sesameroute.routing._geography import Geography
from sesameroute.routing._headroom import count_own
from sesameroute.routing._messages import GrantAsk, GrantReply, Holding
from sesameroute.statement import Upstream

__all__ = ['Lender']

_SPILL_RAMP = 0.5  # part of a service's slots newly lent abroad per second
_SPILL_BURST = 0.1  # part of a service's slots lent abroad at once


class Lender:
    """Lends slots that this VM owns or holds for long.

    Parameters
    ----------
    book : SlotBook
        The slots of this VM.
    incarnation : str
        Incarnation of this VM.

    """

    def __init__(
        self,
        book: SlotBook,
        incarnation: str,
    ) -> None:
        """Store the arguments; nothing is lent."""
        self.book = book
        self.incarnation = incarnation
        self.orders_: dict[tuple[str, str], tuple[float, int]] = {}
        self.ramps_: dict[str, tuple[float, float]] = {}

    def grant(
        self,
        borrower: str,
        ask: GrantAsk,
        *,
        busy: bool,
    ) -> GrantReply | None:
        """Answer an ask; None when it is older than one already answered.

        Parameters
        ----------
        borrower : str
            Name of the VM that asks.
        ask : GrantAsk
            Its message.
        busy : bool
            Whether requests wait for slots of the service here: then no
            slots more are lent.

        """
        geography = self.book.read_geography()
        order = (ask.boot, ask.number)
        known = self.orders_.get((borrower, ask.service), (0, 0))
        if geography is None or order <= known:
            return None
        self.orders_[borrower, ask.service] = order
        granted = self._renew(geography, borrower, ask)
        granted.update(self._lend_standing(borrower, ask))
        limit = 0 if busy else self._limit_extra(geography, borrower, ask)
        if limit > 0:
            granted.update(self._lend(geography, borrower, ask, limit))
        return GrantReply(
            ask.service,
            self.incarnation,
            ask.number,
            tuple(Holding(name, slots) for name, slots in granted.items()),
        )

    def list_borrowers(self, service: str) -> set[str]:
        """Return the VMs that hold slots of a service lent here."""
        geography = self.book.read_geography()
        if geography is None:
            return set()
        return {
            borrower
            for upstream in geography.statement.list_upstreams(service)
            for borrower in self.book.ledgers_[upstream.name].lent
        }

    def _renew(
        self,
        geography: Geography,
        borrower: str,
        ask: GrantAsk,
    ) -> dict[str, int]:
        now = self.book.clock.read_monotonic()
        held = {one.upstream: one.slots for one in ask.held}
        standing = {wish.upstream for wish in ask.standing}
        renewed = {}
        for name, ledger in self._list_lent(geography, borrower, ask.service):
            slots = held.get(name, 0)
            if name in standing:
                # A home that restarted may have lent them to others before.
                slots = ledger.count_lent_to(borrower)
            term = self.book.build_term(ask.service, standing=name in standing)
            if ledger.grant(borrower, slots, now, term):
                renewed[name] = ledger.count_lent_to(borrower)
        return renewed

    def _list_lent(
        self,
        geography: Geography,
        borrower: str,
        service: str,
    ) -> Iterator[tuple[str, Ledger]]:
        for upstream in geography.list_service(service):
            ledger = self.book.ledgers_[upstream.name]
            if borrower in ledger.lent:
                yield upstream.name, ledger

    def _lend(
        self,
        geography: Geography,
        borrower: str,
        ask: GrantAsk,
        limit: int,
    ) -> dict[str, int]:
        now = self.book.clock.read_monotonic()
        term = self.book.build_term(ask.service)
        granted = {}
        for _ in range(limit):
            upstream = self._pick_lendable(
                geography,
                borrower,
                ask.service,
                term,
            )
            if upstream is None:
                break
            ledger = self.book.ledgers_[upstream.name]
            granted[upstream.name] = ledger.lend(borrower, 1, now, term)
        return granted

    def _lend_standing(self, borrower: str, ask: GrantAsk) -> dict[str, int]:
        now = self.book.clock.read_monotonic()
        term = self.book.build_term(ask.service, standing=True)
        granted = {}
        for wish in ask.standing:
            ledger = self.book.ledgers_.get(wish.upstream)
            if ledger is None:
                continue
            missing = wish.slots - ledger.count_lent_to(borrower)
            if missing > 0:
                units = ledger.lend(borrower, missing, now, term)
                granted[wish.upstream] = units
        return granted

    def _pick_lendable(
        self,
        geography: Geography,
        borrower: str,
        service: str,
        term: Term,
    ) -> Upstream | None:
        until = self.book.clock.read_monotonic() + term.cover
        barred = self.book.list_barred(service)
        best, most = None, 0
        for upstream in geography.list_service(service):
            if borrower not in geography.list_connectors(upstream.name):
                continue
            free = self._count_lendable(upstream, until)
            if free > most and upstream.name not in barred:
                best, most = upstream, free
        return best

    def _count_lendable(self, upstream: Upstream, until: float) -> int:
        ledger = self.book.ledgers_[upstream.name]
        now = self.book.clock.read_monotonic()
        return ledger.count_usable(now, until) - ledger.used

    def _limit_extra(
        self,
        geography: Geography,
        borrower: str,
        ask: GrantAsk,
    ) -> int:
        if geography.is_near_vm(borrower):
            return ask.extra
        free, total = count_own(self.book, ask.service)
        reserve = geography.statement.policy.reserve * total
        room = int(free - reserve)
        return self._ramp(ask.service, min(ask.extra, room), total)

    def _ramp(self, service: str, wanted: int, total: int) -> int:
        now = self.book.clock.read_monotonic()
        burst = max(1, total * _SPILL_BURST)
        tokens, since = self.ramps_.get(service, (burst, now))
        tokens = min(burst, tokens + (now - since) * total * _SPILL_RAMP)
        allowed = max(0, min(wanted, int(tokens)))
        self.ramps_[service] = (tokens - allowed, now)
        return allowed
