"""Metrics, trace spans and event logs.

Submodules are imported on first use, so that a program only loads the ones
that it needs.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        '_bridge': ['LogBridge'],
        '_events': ['EventLog', 'KeyValueFormatter'],
        '_event_rate_filter': ['EventRateFilter'],
        '_line_parser': ['parse_line'],
        '_loop_watch': ['LoopWatch'],
        '_meter': ['Meter', 'Metric'],
        '_queued_stream': ['QueuedStream'],
        '_survival': ['survive'],
        '_tracer': ['Span', 'Tracer'],
    },
)
