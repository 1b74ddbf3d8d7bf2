"""Every fault alone, and the pairs that the users name, on both deployments.

Prints a line for each run and ends with status 1 when a promise broke: an
order lost, doubled, wrongly answered or falsely said not to have run, a cap
passed, or a configuration lost.

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
    FaultTime,
    RunOptions,
    build_report,
    claim_offset,
    list_faults,
    relocate,
    run_session,
)
from sesameroute.statement import read_statement

__all__ = ['PAIRS', 'describe_report', 'list_broken', 'run_case']

PAIRS = (
    'measurements-stop+vm-lost',
    'region-lost+store-down',
    'store-lost-answers+operators-race',
    'lease-lapse+operators-race',
    'request-of-death+drain-domain',
    'cut-regions+silent-connections',
)

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
_INSTITUTIONS = ('kalina', 'herd_returns')
_FAULT_SECOND = 3.0
_PAIR_GAP = 0.5  # seconds between the two faults of a pair
_PROMISES = ('lost', 'doubled', 'wrong_answer', 'false_not_run')
_CAPS = ('link_peak', 'region_peak')
_WORDS = ('sent', 'answered', 'refused_not_run', 'may_have_run', *_PROMISES)
_BUSY_MS = 1000  # a harness that lags more shows its own faults
_SHOWN_PROBLEMS = 5
_HEAD = (
    'case                                sent  answ notru   may  lost doubl'
    ' wrong false service  headrm   drain newwork  config    link  region'
    '  lag ms'
)

_USUAL_SECONDS = 12
_USUAL_RATE = 20


def define_flags() -> None:
    """Define the flags now: other programs use the same names."""
    flags.DEFINE_enum(
        'institution',
        '',
        ['', *_INSTITUTIONS],
        'Only this institution.',
    )
    flags.DEFINE_multi_string('only', [], 'Only this case, as A or A+B.')
    flags.DEFINE_float('seconds', _USUAL_SECONDS, 'Length of each load.')
    flags.DEFINE_integer('seed', 1, 'Seed of every run.')
    flags.DEFINE_float('rate', _USUAL_RATE, 'Requests of callers a second.')


def run_case(institution: str, options: RunOptions) -> dict[str, Any]:
    """Return the report of one run."""
    text = (_EXAMPLES / f'{institution}.ini').read_text(encoding='utf-8')
    statement = read_statement(text)
    offset, claim = claim_offset(statement)
    with claim:
        result = run_session(
            relocate(statement, offset),
            options,
            io.StringIO(),
        )
    return build_report(result)


def plan_faults(case: str) -> tuple[FaultTime, ...]:
    """Return the faults of a case with their seconds.

    Parameters
    ----------
    case : str
        Names of faults, joined by ``+``; empty for none.

    """
    names = case.split('+') if case else []
    return tuple(
        FaultTime(name, _FAULT_SECOND + number * _PAIR_GAP)
        for number, name in enumerate(names)
    )


def sum_word(report: dict[str, Any], word: str) -> int:
    """Return a count over all kinds."""
    return sum(counts[word] for counts in report['requests'].values())


def list_broken(report: dict[str, Any]) -> Iterator[str]:
    """Yield the promises that a run broke."""
    for word in _PROMISES:
        count = sum_word(report, word)
        if count:
            yield f'{word} {count}'
    for cap in _CAPS:
        if report[cap] > 1:
            yield f'{cap} {report[cap]}'
    lost = [text for text in report['problems'] if 'version' in text]
    yield from (text for text in report['problems'] if 'got lost' in text)
    yield from lost


def describe_report(case: str, report: dict[str, Any]) -> str:
    """Return a line of the table."""
    counts = ' '.join(f'{sum_word(report, word):5}' for word in _WORDS)
    figures = ' '.join(
        f'{report[name]:7.2f}'
        for name in (
            'weighted_service',
            'headroom_min',
            'drain_seconds',
            'leaving_new_work_seconds',
            'configuration_seconds',
            *_CAPS,
        )
    )
    return f'{case:34} {counts} {figures} {report["harness_lag_ms"]:7.0f}'


def list_cases() -> list[str]:
    """Return the chosen cases."""
    if flags.FLAGS.only:
        return flags.FLAGS.only
    return ['', *(name for name, _ in list_faults()), *PAIRS]


def run_all(institution: str) -> int:
    """Run all cases of an institution; return how many broke a promise."""
    broken_cases = 0
    for case in list_cases():
        options = RunOptions(
            seconds=flags.FLAGS.seconds,
            seed=flags.FLAGS.seed,
            rate=flags.FLAGS.rate,
            faults=plan_faults(case),
        )
        report = run_case(institution, options)
        print(describe_report(case or 'no fault', report), flush=True)
        broken = list(list_broken(report))
        if not broken:
            continue
        broken_cases += 1
        print(f'    BROKEN: {"; ".join(broken)}')
        if report['harness_lag_ms'] > _BUSY_MS:
            print('    the machine was too busy for this run: repeat it')
        for problem in report['problems'][:_SHOWN_PROBLEMS]:
            print(f'    {problem}')
    return broken_cases


def main(_arguments: list[str]) -> int:
    """Run what the flags choose."""
    for name in ('sesameroute', 'urllib3'):
        logging.getLogger(name).setLevel(logging.ERROR)
    broken = 0
    chosen = flags.FLAGS.institution
    for institution in (chosen,) if chosen else _INSTITUTIONS:
        print(f'{institution}, seed {flags.FLAGS.seed}')
        print(_HEAD)
        broken += run_all(institution)
    print(f'{broken} runs broke a promise')
    return 1 if broken else 0


if __name__ == '__main__':
    define_flags()
    sys.modules['__main__'].__doc__ = __doc__
    app.run(main)
