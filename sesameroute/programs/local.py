"""`sesame-local`: runs a deployment in one process, under load and faults."""

import logging
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

from absl import app, flags

from sesameroute.exceptions import ExitCode, InputError, SesameError
from sesameroute.local import (
    RunOptions,
    RunResult,
    build_report,
    format_json,
    format_table,
    list_faults,
    parse_fault,
    reserve_address_offset,
    run_local_deployment,
    shift_addresses,
)
from sesameroute.local.plot import import_figure_class, plot_result
from sesameroute.statement import read_statement

__all__ = ['run']

_USAGE = """Runs a deployment from its statement, with simulated surroundings:
callers, backend servers and the platform's services.

Examples:
  sesame-local --config examples/kalina.ini --seconds 15
  sesame-local --config examples/kalina.ini --fault entry-crash@5 --report json
  sesame-local --list_faults
"""

_DEFAULT_SECONDS = 15
_DEFAULT_RATE_PER_SECOND = 40


def run() -> None:
    """Run the program."""
    _define_flags()
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_main)


def _define_flags() -> None:
    """Define the flags at start, not on import: other programs reuse names."""
    flags.DEFINE_string('config', '', 'Statement of the institution.')
    flags.DEFINE_float('seconds', _DEFAULT_SECONDS, 'Seconds of load.')
    flags.DEFINE_integer('seed', 1, 'Seed of the load, choices and faults.')
    flags.DEFINE_float(
        'rate', _DEFAULT_RATE_PER_SECOND, "Callers' requests per second."
    )
    flags.DEFINE_float('work_factor', 1, 'Factor for all work times.')
    flags.DEFINE_float('trace_sample', 0, 'Fraction of requests to trace.')
    flags.DEFINE_multi_string('fault', [], 'NAME or NAME@SECOND to inject.')
    _define_output_flags()


def _define_output_flags() -> None:
    flags.DEFINE_enum('report', 'table', ['table', 'json'], 'Report format.')
    flags.DEFINE_string('plot', '', 'File for a plot of the run (PNG).')
    flags.DEFINE_bool('list_faults', default=False, help='List all faults.')


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
    draw_plot = _prepare_plot()
    # Connection pools and components log each failure, which the report
    # already counts.
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
    offset, claim = reserve_address_offset(statement)
    with claim:
        result = run_local_deployment(
            shift_addresses(statement, offset), options
        )
    report = build_report(result)
    draw_plot(result)
    if flags.FLAGS.report == 'table':
        print(format_table(report))
    else:
        print(format_json(report))
    return int(ExitCode.INTERNAL if report['problems'] else ExitCode.OK)


def _read_text() -> str:
    try:
        return Path(flags.FLAGS.config).read_text(encoding='utf-8')
    except OSError as error:
        raise InputError(f'--config {flags.FLAGS.config!r}: {error}') from error


def _prepare_plot() -> Callable[[RunResult], None]:
    """Return a function that plots a result.

    A missing plotting package is found here, before the run.
    """
    path = flags.FLAGS.plot
    if not path:
        return lambda _result: None
    import_figure_class()
    return partial(plot_result, path=path)


if __name__ == '__main__':
    run()
