"""Figures of a run: latency, drains, use of what is limited."""

import math
from collections.abc import Iterable, Sequence

from sesameroute.fakes import Journal
from sesameroute.local._judge import KindCounts
from sesameroute.local._order import Order
from sesameroute.local._watch import DrainWatch
from sesameroute.statement import Statement

__all__ = [
    'find_quantile',
    'measure_drain',
    'measure_latency',
    'measure_new_work',
    'weigh_service',
]

_QUANTILES = (('p50', 0.5), ('p99', 0.99), ('p999', 0.999))
_MILLISECONDS = 1000
_DIGITS = 1


def find_quantile(values: Sequence[float], part: float) -> float:
    """Return the least value that `part` of the values do not exceed.

    Examples
    --------
    >>> find_quantile([3, 1, 2, 4], 0.5)
    2
    >>> find_quantile([], 0.5)
    0

    """
    if not values:
        return 0
    place = math.ceil(len(values) * part) - 1
    return sorted(values)[max(place, 0)]


def measure_latency(orders: Iterable[Order]) -> dict[str, dict[str, float]]:
    """Return quantiles in milliseconds of answered orders, by kind."""
    by_kind: dict[str, list[float]] = {}
    for order in orders:
        values = by_kind.setdefault(order.kind.name, [])
        if order.is_answered:
            values.append((order.ended - order.started) * _MILLISECONDS)
    return {
        kind: {
            name: round(find_quantile(values, part), _DIGITS)
            for name, part in _QUANTILES
        }
        for kind, values in by_kind.items()
    }


def weigh_service(
    statement: Statement,
    counts: dict[str, KindCounts],
) -> float:
    """Return answered by weight of kind over sent by weight."""
    sent: float = 0
    answered: float = 0
    for name, kind in counts.items():
        weight = statement.kinds[name].weight
        sent += weight * kind.sent
        answered += weight * kind.answered
    return answered / sent if sent else 1


def measure_new_work(journal: Journal, drain: DrainWatch) -> float:
    """Return the seconds for which drained servers got new work."""
    return _find_last(journal, drain, 'started')


def measure_drain(journal: Journal, drain: DrainWatch) -> float:
    """Return the seconds until what was drained had no work."""
    if not drain.upstreams:
        return drain.seconds
    return _find_last(journal, drain, 'ended')


def _find_last(journal: Journal, drain: DrainWatch, moment: str) -> float:
    ended = drain.ended or math.inf
    times = (
        getattr(run, moment) - drain.started
        for run in journal.list_runs()
        if run.upstream in drain.upstreams
        and drain.started <= run.started < ended
    )
    return max(times, default=0)
