"""Builds the report of a local run and formats it as JSON or a table."""

import json
from collections.abc import Iterator
from dataclasses import asdict
from typing import Any

from sesameroute.local._consistency import Finding, count_kinds
from sesameroute.local._metrics import (
    compute_quantile,
    compute_weighted_service,
    measure_drain,
    measure_new_work,
    summarize_latency,
)
from sesameroute.local._session import RunResult

__all__ = ['build_report', 'format_json', 'format_table']

_MILLISECONDS = 1000
_DECIMALS = 4
_MAX_FINDINGS = 20
_LAG_QUANTILE = 0.99
_COUNT_KEYS = (
    'sent',
    'answered',
    'refused_not_run',
    'may_have_run',
    'lost',
    'doubled',
    'wrong_answer',
    'false_not_run',
)
_TABLE_HEADER = ('kind', *_COUNT_KEYS, 'p50 ms', 'p99 ms')
_FIGURE_KEYS = (
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


def build_report(result: RunResult) -> dict[str, Any]:
    """Return the report of a run; the glossary of the docs defines its keys."""
    context = result.context
    deployment = context.deployment
    requests = context.load.requests
    counts, violations = count_kinds(requests, deployment.execution_log)
    return {
        'institution': deployment.statement.institution,
        'seed': deployment.options.seed,
        'rate': deployment.options.rate,
        'seconds': round(result.seconds, _DECIMALS),
        'faults': [interval.describe() for interval in result.intervals],
        'requests': {name: asdict(each) for name, each in counts.items()},
        'weighted_service': round(
            compute_weighted_service(deployment.statement, counts),
            _DECIMALS,
        ),
        'latency_ms': summarize_latency(requests),
        **_measure_drains(result),
        **_measure_utilization(result),
        'control': {
            name: round(value, _DECIMALS)
            for name, value in asdict(result.costs).items()
        },
        'problems': list(_list_problems(result, violations)),
        'notes': context.notes,
    }


def _measure_drains(result: RunResult) -> dict[str, float]:
    context = result.context
    execution_log = context.deployment.execution_log
    drains = [measure_drain(execution_log, drain) for drain in context.drains]
    new_work = [
        measure_new_work(execution_log, drain) for drain in context.drains
    ]
    return {
        'drain_seconds': _round_max(drains),
        'leaving_new_work_seconds': _round_max(new_work),
        'configuration_seconds': _round_max(context.monitor.seconds),
    }


def _measure_utilization(result: RunResult) -> dict[str, float]:
    samples = result.sampler.samples
    headroom = min((each.headroom for each in samples), default=1)
    lag = compute_quantile(result.context.load.lags, _LAG_QUANTILE)
    calls = result.store_calls / result.seconds
    return {
        'headroom_min': round(headroom, _DECIMALS),
        'link_peak': _round_max(each.link_load for each in samples),
        'region_peak': _round_max(each.region_load for each in samples),
        'store_calls_per_second': round(calls, _DECIMALS),
        'harness_lag_ms': round(lag * _MILLISECONDS, 1),
    }


def format_json(report: dict[str, Any]) -> str:
    """Return the report as one line of JSON."""
    return json.dumps(report, separators=(',', ':'))


def format_table(report: dict[str, Any]) -> str:
    """Return the report as a table for people to read."""
    return '\n'.join(_list_lines(report))


def _list_lines(report: dict[str, Any]) -> Iterator[str]:
    yield f'{report["institution"]}  seed {report["seed"]}'
    yield f'faults: {", ".join(report["faults"]) or "none"}'
    yield ''
    yield from _align([_TABLE_HEADER, *_list_rows(report)])
    yield ''
    for figure in _FIGURE_KEYS:
        yield f'{figure.replace("_", " ")}: {report[figure]}'
    for cost, value in report['control'].items():
        yield f'control {cost.replace("_", " ")}: {value}'
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


def _round_max(values: Any) -> float:
    return round(max(values, default=0), _DECIMALS)


def _list_problems(
    result: RunResult, violations: list[Finding]
) -> Iterator[str]:
    if result.unfinished_requests:
        yield f'{result.unfinished_requests} requests are still in flight'
    yield from result.context.monitor.problems
    yield from result.context.load.errors[:_MAX_FINDINGS]
    for finding in violations[:_MAX_FINDINGS]:
        yield finding.describe()
