"""Slots, links, shift caps and budgets.

Submodules load on first use, so that a program only pays for the parts
that it uses.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_budget': ['Budget'],
        '_ledger': [
            'CLOCK_DRIFT',
            'LEASE_SECONDS',
            'STANDING_SECONDS',
            'Lease',
            'Ledger',
            'Term',
        ],
        '_link': ['LinkBudgets', 'TokenBucket'],
        '_queue': ['Waiter', 'WaitQueue', 'limit_wait'],
        '_window': ['SlidingWindow'],
    },
)
