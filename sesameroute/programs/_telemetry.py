"""Event log, metrics and tracer of one process."""

import sys
from dataclasses import dataclass
from typing import TextIO

from sesameroute.settings import Settings
from sesameroute.telemetry import EventLog, Meter, Tracer

__all__ = ['Telemetry', 'build_telemetry']


@dataclass(frozen=True, slots=True)
class Telemetry:
    """Event log, metrics and tracer of one process."""

    log: EventLog
    meter: Meter
    tracer: Tracer


def build_telemetry(
    settings: Settings,
    node: str,
    stream: TextIO | None = None,
) -> Telemetry:
    """Return the event log, metrics and tracer that the settings ask for.

    Parameters
    ----------
    node : str
        Node name in log lines and spans.
    stream : file, optional
        Stream for log lines; standard error by default.

    """
    log = EventLog(
        node,
        settings.log.format,
        stream or sys.stderr,
        settings.log.level.upper(),
    )
    tracer = Tracer(
        node,
        settings.trace.export,
        settings.trace.sample,
        log,
        settings.trace.url or None,
    )
    return Telemetry(log, Meter(), tracer)
