"""Limits on slots, inter-region links, traffic shifts and retries.

Submodules are imported on first use, so that a program only pays the import
cost of the parts that it uses.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_admission_queue': ['AdmissionQueue', 'QueueBounds'],
        '_budget': ['Budget'],
        '_concurrency': ['ConcurrencyBounds', 'ConcurrencyLimit'],
        '_ledger': [
            'CLOCK_DRIFT_RATIO',
            'DEMAND_LEASE_SECONDS',
            'STANDBY_LEASE_SECONDS',
            'Lease',
            'Ledger',
            'LeaseTerm',
        ],
        '_link': ['LinkBudgets', 'TokenBucket'],
        '_queue': ['WaitingRequest', 'WaitQueue', 'compute_max_wait'],
        '_shutdown': ['Shutdown'],
        '_window': ['SlidingWindow'],
    },
)
