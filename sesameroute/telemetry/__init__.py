"""Metrics, spans and logs.

Submodules load on first use, so that a program only pays for the parts
that it uses.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_bridge': ['LogBridge'],
        '_events': ['EventLog', 'PairsFormatter'],
        '_line_budget': ['LineBudget'],
        '_lines': ['parse_line'],
        '_meter': ['Meter', 'Metric'],
        '_queued': ['QueuedStream'],
        '_tracer': ['Span', 'Tracer'],
    },
)
