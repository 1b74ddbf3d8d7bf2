"""Metrics, spans and logs."""

from sesameroute.telemetry._events import EventLog, LogForm, PairsFormatter
from sesameroute.telemetry._meter import Meter, Metric
from sesameroute.telemetry._tracer import Span, TraceExport, Tracer

__all__ = [
    'EventLog',
    'LogForm',
    'Meter',
    'Metric',
    'PairsFormatter',
    'Span',
    'TraceExport',
    'Tracer',
]
