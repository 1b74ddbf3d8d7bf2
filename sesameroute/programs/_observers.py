"""Log, metrics and tracer of one process, built from its settings."""

import sys
from dataclasses import dataclass
from typing import TextIO

from sesameroute.settings import Settings
from sesameroute.telemetry import EventLog, Meter, Tracer

__all__ = ['Observers', 'build_observers']


@dataclass(frozen=True, slots=True)
class Observers:
    """What a node tells about itself."""

    log: EventLog
    meter: Meter
    tracer: Tracer


def build_observers(
    settings: Settings,
    node: str,
    stream: TextIO | None = None,
) -> Observers:
    """Return log, metrics and tracer.

    Parameters
    ----------
    node : str
        Name that log lines and spans carry.
    stream : file, optional
        Where log lines go; standard error by default.

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
    return Observers(log, Meter(), tracer)
