"""`sesame-local`: a whole deployment in one process, under load and faults."""

import logging
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

from absl import app, flags

from sesameroute.exceptions import ExitCode, InputError, SesameError
from sesameroute.local import (
    Result,
    RunOptions,
    build_report,
    claim_offset,
    list_faults,
    parse_fault,
    print_json,
    print_table,
    relocate,
    run_session,
)
from sesameroute.local.plot import draw_result, import_figure
from sesameroute.statement import read_statement

__all__ = ['run']

_USAGE = """Runs a deployment from its statement, with stand-ins around it.

Examples:
  sesame-local --config examples/kalina.ini --seconds 15
  sesame-local --config examples/kalina.ini --fault entry-crash@5 --report json
  sesame-local --list_faults
"""

_USUAL_SECONDS = 15
_USUAL_RATE = 40


def run() -> None:
    """Run the program."""
    _define_flags()
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_main)


def _define_flags() -> None:
    """Define the flags now: other programs use the same names."""
    flags.DEFINE_string('config', '', 'Statement of the institution.')
    flags.DEFINE_float('seconds', _USUAL_SECONDS, 'Length of the load.')
    flags.DEFINE_integer('seed', 1, 'Seed of load, choices and faults.')
    flags.DEFINE_float('rate', _USUAL_RATE, 'Requests of callers a second.')
    flags.DEFINE_float('work_factor', 1, 'Multiplies all work times.')
    flags.DEFINE_float('trace_sample', 0, 'Part of requests traced.')
    flags.DEFINE_multi_string('fault', [], 'NAME or NAME@SECOND.')
    _define_output_flags()


def _define_output_flags() -> None:
    flags.DEFINE_enum('report', 'table', ['table', 'json'], 'Form.')
    flags.DEFINE_string('plot', '', 'Where to draw the run (PNG).')
    flags.DEFINE_bool('list_faults', default=False, help='Name all faults.')


def _main(_arguments: list[str]) -> int:
    if flags.FLAGS.list_faults:
        for name, text in list_faults():
            print(f'{name:20} {text}')
        return int(ExitCode.OK)
    try:
        return _run_and_print()
    except SesameError as error:
        print(f'{error.code}: {error.message}', file=sys.stderr)
        return int(error.exit_code)


def _run_and_print() -> int:
    draw = _find_drawing()
    # Pools and parts log through the standard library; the report counts.
    for name in ('sesameroute', 'urllib3'):
        logging.getLogger(name).setLevel(logging.ERROR)
    options = RunOptions(
        seconds=flags.FLAGS.seconds,
        seed=flags.FLAGS.seed,
        rate=flags.FLAGS.rate,
        work_factor=flags.FLAGS.work_factor,
        trace_sample=flags.FLAGS.trace_sample,
        faults=tuple(parse_fault(text) for text in flags.FLAGS.fault),
    )
    statement = read_statement(_read_text(), flags.FLAGS.config)
    offset, claim = claim_offset(statement)
    with claim:
        result = run_session(relocate(statement, offset), options)
    report = build_report(result)
    draw(result)
    if flags.FLAGS.report == 'table':
        print(print_table(report))
    else:
        print(print_json(report))
    return int(ExitCode.INTERNAL if report['problems'] else ExitCode.OK)


def _read_text() -> str:
    try:
        return Path(flags.FLAGS.config).read_text(encoding='utf-8')
    except OSError as error:
        raise InputError(f'--config {flags.FLAGS.config!r}: {error}') from error


def _find_drawing() -> Callable[[Result], None]:
    """Return what draws a result; fails before the run, not after it."""
    path = flags.FLAGS.plot
    if not path:
        return lambda _result: None
    import_figure()
    return partial(draw_result, path=path)


if __name__ == '__main__':
    run()
