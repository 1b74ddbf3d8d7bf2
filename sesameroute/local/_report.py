"""The report of a local run, as JSON or as a table."""

import json
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

from sesameroute.local._figures import (
    find_quantile,
    measure_drain,
    measure_latency,
    measure_new_work,
    weigh_service,
)
from sesameroute.local._judge import Finding, count_kinds
from sesameroute.local._session import Result

__all__ = ['build_report', 'print_json', 'print_table']

_MILLISECONDS = 1000
_DIGITS = 4
_MOST_FINDINGS = 20
_LAG_QUANTILE = 0.99
_COUNTS = (
    'sent',
    'answered',
    'refused_not_run',
    'may_have_run',
    'lost',
    'doubled',
    'wrong_answer',
    'false_not_run',
)
_HEADS = ('kind', *_COUNTS, 'p50 ms', 'p99 ms')
_FIGURES = (
    'weighted_service',
    'headroom_min',
    'drain_seconds',
    'leaving_new_work_seconds',
    'configuration_seconds',
    'link_peak',
    'region_peak',
    'store_calls_per_second',
    'harness_lag_ms',
)


def build_report(result: Result) -> dict[str, Any]:
    """Return the report of a run; the glossary explains its words."""
    scene = result.scene
    deployment = scene.deployment
    orders = scene.load.orders
    counts, broken = count_kinds(orders, deployment.journal)
    return {
        'institution': deployment.statement.institution,
        'seed': deployment.options.seed,
        'rate': deployment.options.rate,
        'seconds': round(result.seconds, _DIGITS),
        'faults': [span.describe() for span in result.spans],
        'requests': {name: asdict(each) for name, each in counts.items()},
        'weighted_service': round(
            weigh_service(deployment.statement, counts),
            _DIGITS,
        ),
        'latency_ms': measure_latency(orders),
        **_measure_drains(result),
        **_measure_use(result),
        'control': {
            name: round(value, _DIGITS)
            for name, value in asdict(result.costs).items()
        },
        'problems': list(_list_problems(result, broken)),
        'notes': scene.notes,
    }


def _measure_drains(result: Result) -> dict[str, float]:
    scene = result.scene
    journal = scene.deployment.journal
    drains = [measure_drain(journal, drain) for drain in scene.drains]
    new_work = [measure_new_work(journal, drain) for drain in scene.drains]
    return {
        'drain_seconds': _find_longest(drains),
        'leaving_new_work_seconds': _find_longest(new_work),
        'configuration_seconds': _find_longest(scene.watch.seconds),
    }


def _measure_use(result: Result) -> dict[str, float]:
    samples = result.sampler.samples
    headroom = min((each.headroom for each in samples), default=1)
    lag = find_quantile(result.scene.load.lags, _LAG_QUANTILE)
    calls = result.store_calls / result.seconds
    return {
        'headroom_min': round(headroom, _DIGITS),
        'link_peak': _find_longest(each.link for each in samples),
        'region_peak': _find_longest(each.region for each in samples),
        'store_calls_per_second': round(calls, _DIGITS),
        'harness_lag_ms': round(lag * _MILLISECONDS, 1),
    }


def print_json(report: dict[str, Any]) -> str:
    """Return the report as one line."""
    return json.dumps(report, separators=(',', ':'))


def print_table(report: dict[str, Any]) -> str:
    """Return the report for a person."""
    return '\n'.join(_list_lines(report))


def _list_lines(report: dict[str, Any]) -> Iterator[str]:
    yield f'{report["institution"]}  seed {report["seed"]}'
    yield f'faults: {", ".join(report["faults"]) or "none"}'
    yield ''
    yield from _align([_HEADS, *_list_rows(report)])
    yield ''
    for figure in _FIGURES:
        yield f'{figure.replace("_", " ")}: {report[figure]}'
    for part, value in report['control'].items():
        yield f'control {part.replace("_", " ")}: {value}'
    for title in ('problems', 'notes'):
        yield from (f'{title[:-1]}: {text}' for text in report[title])


def _align(rows: list[tuple[str, ...]]) -> Iterator[str]:
    columns = zip(*rows, strict=True)
    widths = [max(map(len, column)) for column in columns]
    for row in rows:
        cells = zip(row, widths, strict=True)
        yield '  '.join(cell.rjust(width) for cell, width in cells)


def _list_rows(report: dict[str, Any]) -> Iterator[tuple[str, ...]]:
    for kind, counts in report['requests'].items():
        latency = report['latency_ms'][kind]
        numbers = [*counts.values(), latency['p50'], latency['p99']]
        yield (kind, *map(str, numbers))


def _find_longest(values: Any) -> float:
    return round(max(values, default=0), _DIGITS)


def _list_problems(result: Result, broken: list[Finding]) -> Iterator[str]:
    if result.open_orders:
        yield f'{result.open_orders} orders are still under way'
    yield from result.scene.watch.problems
    yield from result.scene.load.errors[:_MOST_FINDINGS]
    for finding in broken[:_MOST_FINDINGS]:
        yield finding.describe()
