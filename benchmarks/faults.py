"""Runs each fault, and pairs of faults that users named, on two deployments.

Prints a line for each run. Exits with status 1 if a guarantee was violated: an
order was lost, ran twice, had a wrong answer or was reported as not run though
it had, a cap was exceeded, or a configuration was lost.

    python -m benchmarks.faults
    python -m benchmarks.faults --institution kalina --only entry-crash
    python -m benchmarks.faults --only region-lost+store-down --seed 7
"""

import io
import logging
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

from absl import app, flags

from sesameroute.local import (
    RunOptions,
    ScheduledFault,
    build_report,
    list_faults,
    reserve_address_offset,
    run_local_deployment,
    shift_addresses,
)
from sesameroute.statement import read_statement

__all__ = ['PAIRS', 'describe_report', 'list_violations', 'run_case']

PAIRS = (
    'measurements-stop+vm-lost',
    'region-lost+store-down',
    'store-lost-answers+operators-race',
    'lease-lapse+operators-race',
    'request-of-death+drain-domain',
    'cut-regions+silent-connections',
)

_EXAMPLES_DIRECTORY = pathlib.Path(__file__).parent.parent / 'examples'
_INSTITUTIONS = ('kalina', 'herd_returns')
_FIRST_FAULT_SECOND = 3.0
_PAIR_GAP_SECONDS = 0.5  # between the two faults of a pair
_VIOLATION_COUNTS = ('lost', 'doubled', 'wrong_answer', 'false_not_run')
_CAP_PEAKS = ('link_peak', 'region_peak')
_SHOWN_COUNTS = (
    'sent',
    'answered',
    'refused_not_run',
    'may_have_run',
    *_VIOLATION_COUNTS,
)
# With a longer lag, the harness itself causes failures.
_MAX_HARNESS_LAG_MS = 1000
_MAX_SHOWN_PROBLEMS = 5
_TABLE_HEADER = (
    'case                                sent  answ notru   may  lost doubl'
    ' wrong false service  headrm   drain newwork  config    link  region'
    '  lag ms'
)

_DEFAULT_SECONDS = 12
_DEFAULT_REQUESTS_PER_SECOND = 20


def define_flags() -> None:
    """Define the flags; not on import, as other programs use the same names."""
    flags.DEFINE_enum(
        'institution',
        '',
        ['', *_INSTITUTIONS],
        'Run only this institution.',
    )
    flags.DEFINE_multi_string('only', [], 'Run only this case, as A or A+B.')
    flags.DEFINE_float('seconds', _DEFAULT_SECONDS, 'Duration of each run.')
    flags.DEFINE_integer('seed', 1, 'Random seed of each run.')
    flags.DEFINE_float(
        'rate', _DEFAULT_REQUESTS_PER_SECOND, 'Requests per second.'
    )


def run_case(institution: str, options: RunOptions) -> dict[str, Any]:
    """Return the report of one run."""
    text = (_EXAMPLES_DIRECTORY / f'{institution}.ini').read_text(
        encoding='utf-8'
    )
    statement = read_statement(text)
    offset, claim = reserve_address_offset(statement)
    with claim:
        result = run_local_deployment(
            shift_addresses(statement, offset),
            options,
            io.StringIO(),
        )
    return build_report(result)


def plan_faults(case: str) -> tuple[ScheduledFault, ...]:
    """Return the faults of a case with their times in seconds.

    Parameters
    ----------
    case : str
        Names of faults, joined by ``+``; empty for none.

    """
    names = case.split('+') if case else []
    return tuple(
        ScheduledFault(name, _FIRST_FAULT_SECOND + number * _PAIR_GAP_SECONDS)
        for number, name in enumerate(names)
    )


def sum_count(report: dict[str, Any], count_name: str) -> int:
    """Return the sum of a count over all request kinds."""
    return sum(counts[count_name] for counts in report['requests'].values())


def list_violations(report: dict[str, Any]) -> Iterator[str]:
    """Yield a text for each guarantee that a run violated."""
    for count_name in _VIOLATION_COUNTS:
        count = sum_count(report, count_name)
        if count:
            yield f'{count_name} {count}'
    for cap in _CAP_PEAKS:
        if report[cap] > 1:
            yield f'{cap} {report[cap]}'
    version_problems = [
        text for text in report['problems'] if 'version' in text
    ]
    yield from (text for text in report['problems'] if 'got lost' in text)
    yield from version_problems


def describe_report(case: str, report: dict[str, Any]) -> str:
    """Return the report of a run as a line of the table."""
    counts = ' '.join(
        f'{sum_count(report, count_name):5}' for count_name in _SHOWN_COUNTS
    )
    figures = ' '.join(
        f'{report[name]:7.2f}'
        for name in (
            'weighted_service',
            'headroom_min',
            'drain_seconds',
            'leaving_new_work_seconds',
            'configuration_seconds',
            *_CAP_PEAKS,
        )
    )
    return f'{case:34} {counts} {figures} {report["harness_lag_ms"]:7.0f}'


def list_cases() -> list[str]:
    """Return the cases that the flags choose; all by default."""
    if flags.FLAGS.only:
        return flags.FLAGS.only
    return ['', *(name for name, _ in list_faults()), *PAIRS]


def run_all(institution: str) -> int:
    """Run the chosen cases; return the number of runs with violations."""
    violated_cases = 0
    for case in list_cases():
        options = RunOptions(
            seconds=flags.FLAGS.seconds,
            seed=flags.FLAGS.seed,
            rate=flags.FLAGS.rate,
            faults=plan_faults(case),
        )
        report = run_case(institution, options)
        print(describe_report(case or 'no fault', report), flush=True)
        violations = list(list_violations(report))
        if not violations:
            continue
        violated_cases += 1
        print(f'    VIOLATED: {"; ".join(violations)}')
        if report['harness_lag_ms'] > _MAX_HARNESS_LAG_MS:
            print('    the machine was overloaded during this run; repeat it')
        for problem in report['problems'][:_MAX_SHOWN_PROBLEMS]:
            print(f'    {problem}')
    return violated_cases


def main(_arguments: list[str]) -> int:
    """Run the chosen cases; return 1 if a guarantee was violated."""
    for name in ('sesameroute', 'urllib3'):
        logging.getLogger(name).setLevel(logging.ERROR)
    violated_runs = 0
    chosen = flags.FLAGS.institution
    for institution in (chosen,) if chosen else _INSTITUTIONS:
        print(f'{institution}, seed {flags.FLAGS.seed}')
        print(_TABLE_HEADER)
        violated_runs += run_all(institution)
    print(f'{violated_runs} runs violated a guarantee')
    return 1 if violated_runs else 0


if __name__ == '__main__':
    define_flags()
    sys.modules['__main__'].__doc__ = __doc__
    app.run(main)
