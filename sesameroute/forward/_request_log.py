"""Logs the events of a request and builds the record for the metrics."""

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.forward._request_state import RequestState
from sesameroute.ports import Answer

__all__ = ['Observer', 'RequestRecord', 'log_answer', 'log_event']

_MILLISECONDS = 1000  # in a second
# One in this many requests that were answered in time is logged.
_SAMPLE_INTERVAL = 64

_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Status and latency of an answered request.

    Attributes
    ----------
    seconds : float
        Time from the arrival of the request to the head of its answer.
    waited : float
        Part of `seconds` that was spent waiting for slots.
    is_relayed : bool
        Whether it was passed on to another node.
    is_late : bool
        Whether the route's latency objective was missed, counting the time
        of the caller's earlier attempts.

    """

    route: str
    service: str
    status: int
    seconds: float
    waited: float
    is_relayed: bool
    is_late: bool


Observer = Callable[[RequestRecord], None]


def log_event(
    state: RequestState, event: str, why: str, backend: str, **details: object
) -> None:
    """Log a decision on a request or a failure of it."""
    remaining = state.deadline - state.decided_at
    _logger.info(
        event,
        extra={
            **_describe(state, backend),
            'why': why,
            'left_ms': round(remaining * _MILLISECONDS),
            **details,
        },
    )


def log_answer(
    state: RequestState, answer: Answer, now: float
) -> RequestRecord:
    """Log a late answer, or one of a sample; return the record."""
    seconds = now - state.request.arrived
    is_late = seconds + state.earlier_seconds > state.route.latency_target
    if is_late or _is_sampled(state.request_metadata.identifier):
        _logger.info(
            'request late' if is_late else 'request answered',
            extra={
                **_describe(state, state.backend),
                'status': answer.status,
                'took_ms': round(seconds * _MILLISECONDS),
                'objective_ms': round(
                    state.route.latency_target * _MILLISECONDS
                ),
                'earlier_ms': round(state.earlier_seconds * _MILLISECONDS),
            },
        )
    return RequestRecord(
        state.route.name,
        state.service,
        answer.status,
        seconds,
        state.waited,
        bool(state.relayed_to),
        is_late,
    )


def _describe(state: RequestState, backend: str) -> dict[str, object]:
    return {
        'request': state.request_metadata.identifier,
        'route': state.route.name,
        'service': state.service,
        'backend': backend or '-',
        'attempt': state.tries,
        'waited_ms': round(state.waited * _MILLISECONDS),
        **({'relay': state.relayed_to[-1]} if state.relayed_to else {}),
    }


def _is_sampled(identifier: str) -> bool:
    """Return whether a request is in the sample.

    The identifier decides, so all nodes log the same requests.

    Examples
    --------
    >>> sum(_is_sampled(str(number)) for number in range(6400))
    96

    """
    return zlib.crc32(identifier.encode()) % _SAMPLE_INTERVAL == 0
