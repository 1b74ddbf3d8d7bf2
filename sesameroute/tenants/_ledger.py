"""Counts the requests of tenants against tokens that nodes move.

Answers a tenant that sends several times its usual at all nodes, and one whose
callers move from zone to zone in moments. Each node issues a part of each
allowance (`RegionCensus`). What it does not need it sends to the depot of its
region; a node without a token asks there, and depots of different regions help
each other. A token is at one place at a time: who sends it no longer has it,
and one that is lost on the way is lost. So the sum of all nodes holds whatever
is lost, cut, frozen or held by two depots.
"""

import math
import threading
from collections.abc import Iterable

from sesameroute.tenants._bounds import QuotaBounds
from sesameroute.tenants._messages import (
    AllowanceAsk,
    AllowanceGrant,
    AllowanceNeed,
    AllowanceTransfer,
)
from sesameroute.tenants._model import Tenant
from sesameroute.tenants._stock import MAX_LATE_SECONDS, Part, Stock
from sesameroute.tenants._transit import TransitClock

__all__ = ['AllowanceLedger']

# A node asks its depot for tokens for so long ahead.
_AHEAD_SECONDS = 0.2
# Time for which a depot keeps room for a node that has sent it tokens.
_DEPOT_SECONDS = 1.5
# Silence before a node turns to another depot, which then keeps the room.
_SWITCH_SECONDS = 2.25
# Longest time without another ask after a depot had no token.
_MAX_DRY_SECONDS = 0.2
_MIN_AMOUNT = 0.001  # less is not worth sending, nor refused for
# Retry-After for a tenant that this node does not know yet.
_UNKNOWN_WAIT_SECONDS = 0.5


class AllowanceLedger:
    """Tokens of all tenants at one node.

    Parameters
    ----------
    bounds : QuotaBounds
        How far allowances may be exceeded.
    name : str
        Name of this node.
    boot : str
        Identifies this run of its process.

    Attributes
    ----------
    weight_ : float
        Part of all allowances that this node issues.
    stocks_ : dict of str to Stock
        Its tokens by tenant.

    """

    def __init__(self, bounds: QuotaBounds, name: str, boot: str) -> None:
        """Start without tokens."""
        self.bounds = bounds
        self.name = name
        self.boot = boot
        self.weight_: float = 0
        self._lock = threading.Lock()
        self.stocks_: dict[str, Stock] = {}
        self._refreshed_at = -math.inf
        self._depot = _Depot()
        self._transits: dict[str, TransitClock] = {}

    def refresh(
        self, tenants: Iterable[Tenant], weight: float, now: float
    ) -> None:
        """Follow the configuration and the weight; issue tokens.

        Parameters
        ----------
        tenants : iterable of Tenant
            The tenants that have a limit.
        weight : float
            Part of all allowances that this node issues.
        now : float
            Monotonic time in seconds.

        """
        with self._lock:
            self.weight_ = weight
            self._refreshed_at = now
            part = Part(weight, self._depot.list_weights(now))
            former = self.stocks_
            self.stocks_ = {}
            for tenant in tenants:
                allowance = self.bounds.compute_allowance(tenant)
                stock = former.get(tenant.name) or Stock(allowance, now)
                stock.allowance = allowance
                stock.part = part
                stock.refill(now)
                stock.demand.update(now)
                self.stocks_[tenant.name] = stock

    def take(self, tenant: str, now: float) -> float | None:
        """Take a token for a request; return None if there was one.

        Else return the seconds until there probably is one.
        """
        with self._lock:
            stock = self._find(tenant, now)
            if stock is None:
                return _UNKNOWN_WAIT_SECONDS
            stock.demand.count(1)
            return None if stock.remove_least(1, 1) else stock.wait

    def give_back(self, tenant: str, now: float) -> None:
        """Take back the token of a request that was not sent."""
        with self._lock:
            stock = self._find(tenant, now)
            if stock is not None:
                stock.add(1)

    def plan_ask(self, tenant: str, now: float) -> AllowanceAsk | None:
        """Return what to ask a depot for; None if it had too few just now.

        The part of a token that is here is set aside until `receive_grant`.
        """
        with self._lock:
            stock = self._find(tenant, now)
            if stock is None or now < stock.dry_until_:
                return None
            least = 1 - stock.remove(1)
            ahead = min(stock.demand.average_ * _AHEAD_SECONDS, stock.capacity)
            return AllowanceAsk(tenant, least + ahead, least)

    def receive_grant(
        self, ask: AllowanceAsk, grant: AllowanceGrant | None, now: float
    ) -> bool:
        """Add what a depot gave, None for nothing in time.

        Returns
        -------
        bool
            Whether the request may be sent.

        """
        with self._lock:
            stock = self._find(ask.tenant, now)
            if stock is None:
                return False
            amount = 1 - ask.least
            if grant:
                amount += grant.amount
            has_one = amount > 1 - _MIN_AMOUNT
            stock.add(max(amount - 1, 0) if has_one else amount)
            if grant and not grant.amount:
                seconds = min(grant.wait, _MAX_DRY_SECONDS)
                stock.dry_until_ = now + seconds
            return has_one

    def grant(self, ask: AllowanceAsk, now: float) -> AllowanceGrant:
        """Give tokens of this depot to a node; never a part of one alone."""
        with self._lock:
            stock = self._find(ask.tenant, now)
            if stock is None:
                return AllowanceGrant(0, _UNKNOWN_WAIT_SECONDS)
            stock.demand.count(ask.amount)
            # The next node shall find some, too.
            fair = max(stock.level_ / 2, ask.least)
            given = stock.remove_least(min(ask.amount, fair), ask.least)
            return AllowanceGrant(given, 0 if given else stock.wait)

    def plan_transfer(self, depot: str, now: float) -> AllowanceTransfer | None:
        """Return the tokens to send to the depot; they are gone then.

        Parameters
        ----------
        depot : str
            Name of the depot of the own region, maybe of this node.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        AllowanceTransfer or None
            None if nothing is to be sent now. A transfer without tokens tells
            the depot to keep room.

        """
        with self._lock:
            if not self._depot.choose(depot, now):
                return None
            if depot == self.name:
                self._depot.keep_room(self.name, self.weight_, now)
                return None
            amounts = {
                tenant: stock.remove(surplus)
                for tenant, stock in self.stocks_.items()
                if (surplus := stock.surplus) > _MIN_AMOUNT
            }
            return AllowanceTransfer(amounts, self.boot, now, self.weight_)

    def receive(
        self, sender: str, transfer: AllowanceTransfer, now: float
    ) -> bool:
        """Add tokens that another node sent; return whether they are valid."""
        with self._lock:
            clock = self._transits.setdefault(sender, TransitClock())
            seconds = clock.measure(transfer.boot, transfer.sent_at, now)
            is_late = seconds > self.bounds.max_transit
            if is_late and seconds > MAX_LATE_SECONDS:
                return False
            if transfer.weight > 0:
                self._depot.keep_room(sender, transfer.weight, now - seconds)
            for tenant, amount in transfer.amounts.items():
                stock = self._find(tenant, now)
                if stock is not None:
                    add = stock.add_late if is_late else stock.add
                    add(max(amount, 0))
            return True

    def plan_need(self, depot_count: int) -> AllowanceNeed:
        """Return what this depot asks of each of the depots elsewhere."""
        with self._lock:
            return AllowanceNeed(
                {
                    tenant: stock.lack / depot_count
                    for tenant, stock in self.stocks_.items()
                    if stock.lack > _MIN_AMOUNT
                }
            )

    def answer_need(self, need: AllowanceNeed, now: float) -> AllowanceTransfer:
        """Return tokens for another region; they are gone from here."""
        with self._lock:
            amounts = {}
            for tenant, wanted in need.amounts.items():
                stock = self._find(tenant, now)
                if stock is not None and stock.spare > _MIN_AMOUNT:
                    amounts[tenant] = stock.remove(min(wanted, stock.spare))
            return AllowanceTransfer(amounts, self.boot, now)

    def _find(self, tenant: str, now: float) -> Stock | None:
        """Return a stock with the tokens that it may hold at this time."""
        stock = self.stocks_.get(tenant)
        if stock is not None:
            if now - self._refreshed_at > _DEPOT_SECONDS:
                # The node stood still: others may have another depot now.
                stock.part = Part(self.weight_)
            stock.refill(now)
        return stock


class _Depot:
    """Which depot this node uses, and which nodes use it as theirs."""

    def __init__(self) -> None:
        self._chosen = ''
        self._used_at = -math.inf
        # Weights of the nodes that use this one, and when they said so.
        self._users: dict[str, tuple[float, float]] = {}

    def choose(self, depot: str, now: float) -> bool:
        """Use a depot, unless another one still keeps room for this node."""
        if depot != self._chosen and now - self._used_at < _SWITCH_SECONDS:
            return False
        self._chosen = depot
        self._used_at = now
        return True

    def keep_room(self, user: str, weight: float, now: float) -> None:
        """Keep room for the tokens of a node for a while."""
        self._users[user] = (weight, now)

    def list_weights(self, now: float) -> tuple[float, ...]:
        """Return the weights of all nodes that have used this one lately."""
        self._users = {
            user: (weight, used_at)
            for user, (weight, used_at) in self._users.items()
            if now - used_at <= _DEPOT_SECONDS
        }
        return tuple(weight for weight, _ in self._users.values())
