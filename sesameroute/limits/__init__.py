"""Slots, links, shift caps and budgets."""

from sesameroute.limits._budget import Budget
from sesameroute.limits._ledger import CLOCK_DRIFT, Lease, Ledger
from sesameroute.limits._queue import Waiter, WaitQueue, limit_wait

__all__ = [
    'Budget',
    'CLOCK_DRIFT',
    'Lease',
    'Ledger',
    'WaitQueue',
    'Waiter',
    'limit_wait',
]
