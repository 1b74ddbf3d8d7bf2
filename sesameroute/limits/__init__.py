"""Slots, links, shift caps and budgets."""

from sesameroute.limits._budget import Budget
from sesameroute.limits._ledger import (
    CLOCK_DRIFT,
    LEASE_SECONDS,
    STANDING_SECONDS,
    Lease,
    Ledger,
    Term,
)
from sesameroute.limits._link import LinkBudgets, TokenBucket
from sesameroute.limits._queue import Waiter, WaitQueue, limit_wait
from sesameroute.limits._window import SlidingWindow

__all__ = [
    'Budget',
    'CLOCK_DRIFT',
    'LEASE_SECONDS',
    'STANDING_SECONDS',
    'Lease',
    'Ledger',
    'LinkBudgets',
    'SlidingWindow',
    'Term',
    'TokenBucket',
    'WaitQueue',
    'Waiter',
    'limit_wait',
]
