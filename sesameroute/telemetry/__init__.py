"""Metrics, spans and logs."""

from sesameroute.telemetry._bridge import LogBridge
from sesameroute.telemetry._events import EventLog, PairsFormatter
from sesameroute.telemetry._meter import Meter, Metric
from sesameroute.telemetry._tracer import Span, Tracer

__all__ = [
    'EventLog',
    'LogBridge',
    'Meter',
    'Metric',
    'PairsFormatter',
    'Span',
    'Tracer',
]
