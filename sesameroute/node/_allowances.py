"""Moves the tokens of tenants' allowances between nodes."""

import logging
import random
import threading
import uuid
from contextlib import suppress
from typing import Any

from sesameroute.exceptions import PeerError
from sesameroute.node._fleet import Fleet
from sesameroute.node._pools import PoolTable
from sesameroute.node._settings import Bounds
from sesameroute.placement import hash_key
from sesameroute.ports import Clock, Peers
from sesameroute.tenants import (
    AllowanceAsk,
    AllowanceGrant,
    AllowanceLedger,
    AllowanceNeed,
    AllowanceQuery,
    AllowanceTransfer,
    AllowanceView,
    QuotaBounds,
    RegionCensus,
    Tenant,
)

__all__ = ['FleetAllowances']

# Longest time for a depot's reply; a request waits meanwhile.
_CALL_SECONDS = 0.4
# A depot that has not replied is asked again after this time.
_AVOID_SECONDS = 0.3
_MAX_ASKED = 3  # depots for one request
# A build that knows no allowances fails the call, and is no depot for so long.
_FAILED = 'peer-failed'
_UNABLE_SECONDS = 30.0

_logger = logging.getLogger(__name__)


class FleetAllowances:
    """Implements `forward.Allowances` with tokens that nodes move.

    Without tenants in the configuration it sends no message.

    Parameters
    ----------
    fleet : Fleet
        Knows the live nodes.
    peers : Peers
        Connections to the other nodes.
    pools : PoolTable
        Knows the configuration in force and the regions.
    clock : Clock
        Source of time.

    Attributes
    ----------
    ledger : AllowanceLedger
        The tokens of this node.
    depots : _Depots
        Nodes that keep the tokens of others.

    """

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        pools: PoolTable,
        clock: Clock,
    ) -> None:
        """Start without tokens."""
        self.fleet = fleet
        self.peers = peers
        self.pools = pools
        self.clock = clock
        self.ledger = AllowanceLedger(
            QuotaBounds(), fleet.own_state.address, uuid.uuid4().hex
        )
        self._census = RegionCensus()
        self.depots = _Depots(fleet.own_state.address)

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds of the settings."""
        self.ledger.bounds = QuotaBounds(
            bounds.quota_window, bounds.quota_excess, bounds.quota_slack
        )

    def take(self, tenant: Tenant) -> float | None:
        """Count one request; return None if it is within the allowance.

        Else return the seconds until there is probably room for it. Asks a
        depot if this node has no token.
        """
        now = self.clock.read_monotonic()
        seconds = self.ledger.take(tenant.name, now)
        if seconds is None:
            return None
        ask = self.ledger.plan_ask(tenant.name, now)
        if ask is None:
            return seconds
        grant = self._ask_depot(ask)
        now = self.clock.read_monotonic()
        if self.ledger.receive_grant(ask, grant, now):
            return None
        return (grant and grant.wait) or seconds

    def give_back(self, tenant: Tenant) -> None:
        """Count a request as not sent after all."""
        self.ledger.give_back(tenant.name, self.clock.read_monotonic())

    def read_level(self, tenant: str) -> float:
        """Return the tokens of a tenant that lie at this node."""
        stock = self.ledger.stocks_.get(tenant)
        return stock.level_ if stock else 0

    def list_views(self, tenant: str) -> list[AllowanceView]:
        """Return what lies at this node, then at the depots that it asks.

        Counts nothing, and moves nothing. A depot that does not reply, or
        whose build does not know the question, is left out.
        """
        now = self.clock.read_monotonic()
        views = [_view(self.ledger, tenant)]
        for depot in self.depots.list_usable(now):
            with suppress(PeerError):
                views.append(
                    self.peers.call(
                        depot, AllowanceQuery(tenant), _CALL_SECONDS
                    )
                )
        return views

    def handle(self, sender: str, message: Any) -> Any:
        """Handle a message of another node; return the reply if any."""
        now = self.clock.read_monotonic()
        if isinstance(message, AllowanceAsk):
            return self.ledger.grant(message, now)
        if isinstance(message, AllowanceQuery):
            return _view(self.ledger, message.tenant)
        if isinstance(message, AllowanceTransfer):
            if not self.ledger.receive(sender, message, now):
                _logger.info('tokens void', extra={'peer': sender})
        elif isinstance(message, AllowanceNeed):
            transfer = self.ledger.answer_need(message, now)
            if transfer.amounts:
                self.peers.send_one_way(sender, transfer)
        return None

    def refresh(self) -> None:
        """Issue tokens and move them to where they are needed."""
        configuration = self.pools.active_configuration.configuration
        tenants = configuration.tenants if configuration else ()
        limited = [tenant for tenant in tenants if tenant.rate]
        now = self.clock.read_monotonic()
        self.ledger.refresh(limited, self._count_weight(now), now)
        if limited:
            self._find_depots(now)
            self._exchange(now)

    def _ask_depot(self, ask: AllowanceAsk) -> AllowanceGrant | None:
        """Return the reply of the first depot with enough, or of the last."""
        now = self.clock.read_monotonic()
        grant = None
        for depot in self.depots.list_usable(now):
            try:
                grant = self.peers.call(depot, ask, _CALL_SECONDS)
            except PeerError as error:
                self.depots.avoid(depot, now, error.code)
                _logger.info(
                    'depot not reached',
                    extra={'peer': depot, 'why': error.code},
                )
            if grant and grant.amount:
                break
        return grant

    def _count_weight(self, now: float) -> float:
        """Return the part of all allowances that this node issues."""
        own_state = self.fleet.own_state
        live = self.fleet.list_live()
        weight = self._census.observe(
            [each.address for each in live if each.region == own_state.region],
            self.pools.list_regions(),
            (len(live), self.fleet.count_known()),
            self.ledger.bounds.minority_fraction,
            now,
        )
        # One that has just started may not know all others yet.
        has_started = own_state.is_ready or own_state.is_leaving
        return weight if has_started else 0

    def _find_depots(self, now: float) -> None:
        by_region: dict[str, list[str]] = {}
        for state in self.fleet.list_live():
            if state.is_ready and self.depots.is_able(state.address, now):
                by_region.setdefault(state.region, []).append(state.address)
        self.depots.replace(
            {
                region: min(addresses, key=hash_key)
                for region, addresses in by_region.items()
            },
            self.fleet.own_state.region,
        )

    def _exchange(self, now: float) -> None:
        own, others = self.depots.own, self.depots.others
        if own == self.ledger.name and others:
            need = self.ledger.plan_need(len(others))
            for depot in others if need.amounts else ():
                self.peers.send_one_way(depot, need)
        transfer = self.ledger.plan_transfer(own, now) if own else None
        if transfer is not None:
            self.peers.send_one_way(own, transfer)


def _view(ledger: AllowanceLedger, tenant: str) -> AllowanceView:
    stock = ledger.stocks_.get(tenant)
    if stock is None:
        return AllowanceView(ledger.name)
    wait = 0 if stock.level_ >= 1 else stock.wait
    return AllowanceView(ledger.name, stock.level_, stock.capacity, wait)


class _Depots:
    """Depots of the own and of other regions, and those without a reply."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.own = ''
        self.others: tuple[str, ...] = ()
        self.random = random.Random()
        self._lock = threading.Lock()
        self._avoided: dict[str, float] = {}

    def replace(self, by_region: dict[str, str], own_region: str) -> None:
        """Set the depot of each region that has one."""
        with self._lock:
            self.own = by_region.pop(own_region, '')
            others = list(by_region.values())
            self.random.shuffle(others)
            self.others = tuple(others)

    def avoid(self, depot: str, now: float, code: str) -> None:
        """Ask a depot no more for a time that depends on its error."""
        seconds = _UNABLE_SECONDS if code == _FAILED else _AVOID_SECONDS
        with self._lock:
            self._avoided[depot] = now + seconds

    def is_able(self, name: str, now: float) -> bool:
        """Return whether a node may be a depot, as far as is known."""
        with self._lock:
            return self._avoided.get(name, 0) <= now + _AVOID_SECONDS

    def list_usable(self, now: float) -> list[str]:
        """Return the depots to ask: of the own region and of another one."""
        with self._lock:
            usable = [
                depot
                for depot in (self.own, *self.others)
                if depot and self._avoided.get(depot, 0) <= now
            ]
        return [each for each in usable if each != self.own_name][:_MAX_ASKED]
