"""Tells what became of a request: one line for each event, and a record."""

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.forward._trip import Trip
from sesameroute.ports import Answer

__all__ = ['Observer', 'RequestRecord', 'note_end', 'note_event']

_MILLISECONDS = 1000  # in a second
_SAMPLE = 64  # one in so many requests that went well gets a line

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request that got its answer.

    Attributes
    ----------
    seconds : float
        From its arrival to the head of its answer.
    waited : float
        Seconds of these without a slot.
    is_late : bool
        Whether the route's objective was missed, earlier attempts included.

    """

    route: str
    service: str
    status: int
    seconds: float
    waited: float
    is_late: bool


Observer = Callable[[RequestRecord], None]


def note_event(trip: Trip, event: str, why: str, backend: str) -> None:
    """Write a line on a decision or failure."""
    left = trip.until - trip.seen
    _logger.info(
        event,
        extra={
            **_describe(trip, backend),
            'why': why,
            'left_ms': round(left * _MILLISECONDS),
        },
    )


def note_end(trip: Trip, answer: Answer, now: float) -> RequestRecord:
    """Write a line on a late answer and on some others; return the record."""
    seconds = now - trip.request.arrived
    is_late = seconds + trip.lost > trip.route.objective
    if is_late or _is_sampled(trip.terms.identifier):
        _logger.info(
            'request late' if is_late else 'request answered',
            extra={
                **_describe(trip, trip.backend),
                'status': answer.status,
                'took_ms': round(seconds * _MILLISECONDS),
                'objective_ms': round(trip.route.objective * _MILLISECONDS),
                'earlier_ms': round(trip.lost * _MILLISECONDS),
            },
        )
    return RequestRecord(
        trip.route.name,
        trip.service,
        answer.status,
        seconds,
        trip.waited,
        is_late,
    )


def _describe(trip: Trip, backend: str) -> dict[str, object]:
    return {
        'request': trip.terms.identifier,
        'route': trip.route.name,
        'service': trip.service,
        'backend': backend or '-',
        'attempt': trip.attempts,
        'waited_ms': round(trip.waited * _MILLISECONDS),
    }


def _is_sampled(identifier: str) -> bool:
    """Return the same on every node, so that a sample is whole.

    Examples
    --------
    >>> sum(_is_sampled(str(number)) for number in range(6400))
    96

    """
    return zlib.crc32(identifier.encode()) % _SAMPLE == 0
