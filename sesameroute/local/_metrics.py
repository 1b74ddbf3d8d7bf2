"""Computes latency quantiles, weighted service and drain times of a run."""

import math
from collections.abc import Iterable, Sequence

from sesameroute.fakes import ExecutionLog
from sesameroute.local._client_request import ClientRequest
from sesameroute.local._consistency import KindCounts
from sesameroute.local._monitors import DrainRecord
from sesameroute.statement import Statement

__all__ = [
    'compute_quantile',
    'compute_weighted_service',
    'measure_drain',
    'measure_new_work',
    'summarize_latency',
]

_QUANTILES = (('p50', 0.5), ('p99', 0.99), ('p999', 0.999))
_MILLISECONDS = 1000
_LATENCY_DECIMALS = 1


def compute_quantile(values: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank quantile; 0 without values.

    It is the smallest value that at least `fraction` of the values do not
    exceed.

    Examples
    --------
    >>> compute_quantile([3, 1, 2, 4], 0.5)
    2
    >>> compute_quantile([], 0.5)
    0

    """
    if not values:
        return 0
    index = math.ceil(len(values) * fraction) - 1
    return sorted(values)[max(index, 0)]


def summarize_latency(
    requests: Iterable[ClientRequest],
) -> dict[str, dict[str, float]]:
    """Return the latency quantiles of answered requests by kind, in ms."""
    by_kind: dict[str, list[float]] = {}
    for request in requests:
        values = by_kind.setdefault(request.kind.name, [])
        if request.is_answered:
            values.append((request.ended - request.started) * _MILLISECONDS)
    return {
        kind: {
            name: round(compute_quantile(values, fraction), _LATENCY_DECIMALS)
            for name, fraction in _QUANTILES
        }
        for kind, values in by_kind.items()
    }


def compute_weighted_service(
    statement: Statement,
    counts: dict[str, KindCounts],
) -> float:
    """Return the fraction of requests answered, weighted by kind.

    It is 1 when nothing was sent.
    """
    sent: float = 0
    answered: float = 0
    for name, kind in counts.items():
        weight = statement.kinds[name].weight
        sent += weight * kind.sent
        answered += weight * kind.answered
    return answered / sent if sent else 1


def measure_new_work(execution_log: ExecutionLog, drain: DrainRecord) -> float:
    """Return the seconds from the drain's start to the last request started.

    Counts requests that drained servers started before the drain was undone;
    0 when there were none.
    """
    return _find_latest(execution_log, drain, 'started')


def measure_drain(execution_log: ExecutionLog, drain: DrainRecord) -> float:
    """Return the seconds from the start of a drain until no work was left."""
    if not drain.upstreams:
        return drain.seconds
    return _find_latest(execution_log, drain, 'ended')


def _find_latest(
    execution_log: ExecutionLog,
    drain: DrainRecord,
    run_attribute: str,
) -> float:
    ended = drain.ended or math.inf
    delays = (
        getattr(run, run_attribute) - drain.started
        for run in execution_log.list_runs()
        if run.upstream in drain.upstreams
        and drain.started <= run.started < ended
    )
    return max(delays, default=0)
