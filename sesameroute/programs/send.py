"""`sesame-send`: sends test requests as a caller."""

import sys
from pathlib import Path
from types import MappingProxyType

from absl import app, flags

from sesameroute.caller import Caller, Directory, Outcome
from sesameroute.exceptions import ExitCode, InputError, SesameError
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.settings import TraceExport
from sesameroute.statement import Kind, Statement, read_statement
from sesameroute.telemetry import EventLog, Tracer
from sesameroute.verdict import Verdict

__all__ = ['run']

_FLAGS = flags.FLAGS
_EXIT_CODES = MappingProxyType(
    {
        Verdict.RAN: ExitCode.OK,
        Verdict.NOT_RUN: ExitCode.REFUSED,
        Verdict.MAY_HAVE_RUN: ExitCode.UNREACHABLE,
    }
)


_USAGE = """Sends requests through the entry VMs and prints their outcomes.

Example:
  sesame-send --statement examples/processes/statement.ini --kind batch-order --body '7 pallets'
  sesame-send --statement examples/processes/statement.ini --kind batch-order --body '7 pallets' --key KEY
"""  # noqa: E501


def run() -> None:
    """Run the program."""
    _define_flags()
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_send)


def _define_flags() -> None:
    flags.DEFINE_string('statement', '', 'File with the statement.')
    flags.DEFINE_string('kind', '', 'Kind of the requests.')
    flags.DEFINE_string('rest', '', 'Path after /SERVICE/KIND/.')
    flags.DEFINE_string('body', '', 'Body of the requests.')
    flags.DEFINE_string('key', '', 'Key of a request with unknown outcome.')
    flags.DEFINE_string('domain', '', 'Failure domain nearest to the caller.')
    flags.DEFINE_string('source', '127.0.0.1', 'Local IP address to send from.')
    flags.DEFINE_integer('count', 1, 'Number of requests.', lower_bound=1)
    flags.DEFINE_boolean(
        'trace', False, 'Trace each request and print its span.'
    )


def _send(_arguments: list[str]) -> int:
    try:
        statement = read_statement(Path(_FLAGS.statement).read_text('utf-8'))
        kind = _find_kind(statement)
    except (SesameError, OSError) as error:
        print(error, file=sys.stderr)
        return int(ExitCode.INPUT)
    caller = Caller(_build_directory(statement))
    export = TraceExport.LINES if _FLAGS.trace else TraceExport.NONE
    tracer = Tracer('caller', export, 1, EventLog('caller'))
    worst_exit_code = ExitCode.OK
    for _ in range(_FLAGS.count):
        outcome = _send_one(caller, kind, tracer)
        print(_format_outcome(outcome))
        worst_exit_code = max(worst_exit_code, _EXIT_CODES[outcome.verdict])
    return int(worst_exit_code)


def _send_one(caller: Caller, kind: Kind, tracer: Tracer) -> Outcome:
    with tracer.open_span('caller', kind=kind.name) as span:
        outcome = caller.send(
            kind,
            _FLAGS.rest,
            _FLAGS.body.encode(),
            key=_FLAGS.key,
            headers=(('Traceparent', span.traceparent),),
        )
        span.annotate(verdict=outcome.verdict.value)
    return outcome


def _find_kind(statement: Statement) -> Kind:
    kind = statement.kinds.get(_FLAGS.kind)
    if kind is None:
        allowed = ', '.join(statement.kinds)
        raise InputError(f'kind {_FLAGS.kind!r}, allowed: {allowed}')
    return kind


def _build_directory(statement: Statement) -> Directory:
    """Return a directory that queries look-ups of the own domain first."""
    vms = sorted(
        statement.vms.values(),
        key=lambda vm: vm.domain != _FLAGS.domain,
    )
    lookups = tuple((vm.address, statement.lookup_port) for vm in vms)
    return Directory(
        lookups,
        _FLAGS.domain,
        TcpWire(),
        _FLAGS.source,
        SystemClock(),
    )


def _format_outcome(outcome: Outcome) -> str:
    return (
        f'verdict={outcome.verdict.value} status={outcome.status}'
        f' code={outcome.code or "-"} bytes={len(outcome.body)}'
        f' attempts={outcome.attempts} key={outcome.key or "-"}'
    )


if __name__ == '__main__':
    run()
