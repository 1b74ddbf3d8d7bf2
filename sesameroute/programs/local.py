"""`sesame-local`: a whole deployment in one process, under load and faults."""

import logging
import sys
from pathlib import Path

from absl import app, flags

from sesameroute.exceptions import ExitCode, InputError, SesameError
from sesameroute.local import (
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
from sesameroute.statement import read_statement

__all__ = ['run']

_USAGE = """Runs a deployment from its statement, with stand-ins around it.

Examples:
  sesame-local --config examples/kalina.ini --seconds 15
  sesame-local --config examples/kalina.ini --fault entry-crash@5 --report json
  sesame-local --list_faults
"""

_USUAL_SECONDS = 15

_CONFIG = flags.DEFINE_string('config', '', 'Statement of the institution.')
_SECONDS = flags.DEFINE_float('seconds', _USUAL_SECONDS, 'Length of the load.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of load, choices and faults.')
_RATE = flags.DEFINE_float('rate', 60, 'Requests of callers a second.')
_WORK = flags.DEFINE_float('work_factor', 1, 'Multiplies all work times.')
_TRACE = flags.DEFINE_float('trace_sample', 0, 'Part of requests traced.')
_FAULTS = flags.DEFINE_multi_string('fault', [], 'NAME or NAME@SECOND.')
_REPORT = flags.DEFINE_enum('report', 'table', ['table', 'json'], 'Form.')
_PLOT = flags.DEFINE_string('plot', '', 'Where to draw the run (PNG).')
_LIST = flags.DEFINE_bool('list_faults', False, 'Name all faults and end.')


def run() -> None:
    """Run the program."""
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_main)


def _main(_arguments: list[str]) -> int:
    if _LIST.value:
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
    logging.disable(logging.WARNING)
    options = RunOptions(
        seconds=_SECONDS.value,
        seed=_SEED.value,
        rate=_RATE.value,
        work_factor=_WORK.value,
        trace_sample=_TRACE.value,
        faults=tuple(parse_fault(text) for text in _FAULTS.value),
    )
    statement = read_statement(_read_text(), _CONFIG.value)
    offset, claim = claim_offset(statement)
    with claim:
        result = run_session(relocate(statement, offset), options)
    report = build_report(result)
    draw(result)
    if _REPORT.value == 'table':
        print(print_table(report))
    else:
        print(print_json(report))
    return int(ExitCode.INTERNAL if report['problems'] else ExitCode.OK)


def _read_text() -> str:
    try:
        return Path(_CONFIG.value).read_text(encoding='utf-8')
    except OSError as error:
        raise InputError(f'--config {_CONFIG.value!r}: {error}') from error


def _find_drawing():
    """Return what draws a result; fails before the run, not after it."""
    if not _PLOT.value:
        return lambda _result: None
    from sesameroute.local.plot import draw_result  # noqa: PLC0415

    return lambda result: draw_result(result, _PLOT.value)


if __name__ == '__main__':
    run()
