"""`sesame-explain`: history of one request, from the nodes' log lines."""

import fileinput
import sys
from collections.abc import Iterable, Iterator

from absl import app

from sesameroute.exceptions import ExitCode
from sesameroute.programs._placement_query import run_query
from sesameroute.telemetry import parse_line

__all__ = ['explain', 'run']

_USAGE = """Prints the history of a request, from the nodes' log lines.

  sesame-explain REQUEST [FILE ...]
  sesame-explain where NODE --host HOST --path PATH [--json]

Reads the files, or standard input. The lines may be in any order, and mixed
with lines of other programs. `where` asks a running node where a request
would go now, and why.
"""
_WHERE = 'where'

_EVENT_SENTENCES = {  # noqa: WPS407
    'request-turned-away': 'was turned away',
    'request-refused': (
        'was refused with {status} by configuration {version} of era {era},'
        ' known for {age_ms} ms from {source}'
    ),
    'request-over-allowance': (
        'was refused with 429: {tokens} of the tokens of tenant {tenant}'
        ' ({rate} a second, {burst} at once) lay at this node'
    ),
    'request-sent-again': 'failed at {backend} and was sent again',
    'request-failed': 'failed for good at {backend}',
    'connection-replaced': 'lost a kept connection to {target}',
    'answer-cut-midway': 'lost its answer midway from {backend}',
    'request-dropped': 'was dropped',
    'relay-failed': 'was passed on to {backend} in vain',
    'request-late': (
        'was answered late by {backend} (status {status}):'
        ' {took_ms} ms here, {waited_ms} ms of them without a slot,'
        ' {earlier_ms} ms in earlier attempts, for {objective_ms} ms'
    ),
    'request-answered': (
        'was answered by {backend} (status {status}) in {took_ms} ms'
    ),
}
_REASON_TEXTS = {  # noqa: WPS407
    'no-route': 'no route has its host and path: it has not run',
    'no-configuration': 'this node has only just started: it has not run',
    'no-room': 'no slot could be had in time: it has not run',
    'no-backend': 'no backend server was known: it has not run',
    'over-allowance': 'its tenant sends too much: it has not run',
    'no-key': 'it bears no key: it has not run',
    'several-keys': 'it bears several keys: it has not run',
    'unknown-key': 'no tenant has its key: it has not run',
    'unclear-key': (
        'a tenant that is not understood may have its key: it has not run'
    ),
    'no-region': (
        'its route and its tenant permit no region in common: it has not run'
    ),
    'stopping': 'this node stops and could not end it: sent nowhere',
    'too-late': 'its time was over before a slot was free: it has not run',
    'unreached': 'the backend server took no connection: it has not run',
    'shed': 'the backend server refused it: it has not run',
    'misdirected': 'another server has the address: it has not run',
    'lost': 'the answer was lost or broken: it may have run',
    'timed-out': 'no answer came in time: it may have run',
    'cancelled': 'the caller left',
    'caller-left': 'the caller closed its connection',
}


def explain(request: str, lines: Iterable[str]) -> Iterator[str]:
    """Yield one sentence for each event of a request, in order of its time.

    Parameters
    ----------
    request : str
        Identifier of the request.
    lines : iterable of str
        Log lines of one or more nodes.

    Examples
    --------
    >>> line = (
    ...     'time=1 node=n-1 event=request-turned-away request=a'
    ...     ' service=s why=no-room backend=- attempt=0'
    ... )
    >>> next(explain('a', [line]))
    '1 n-1: was turned away (no slot could be had in time: it has not run)'

    """
    matching_fields = [
        fields
        for fields in map(parse_line, lines)
        if fields.get('request') == request
    ]
    for fields in sorted(
        matching_fields, key=lambda each: each.get('time', '')
    ):
        yield _describe(fields)


def _describe(fields: dict[str, str]) -> str:
    event = fields.get('event', '?')
    why = fields.get('why', '')
    phrase = _EVENT_SENTENCES.get(event, event).format_map(_LineFields(fields))
    line_prefix = f'{fields.get("time", "?")} {fields.get("node", "?")}'
    if not why:
        return f'{line_prefix}: {phrase}'
    return f'{line_prefix}: {phrase} ({_REASON_TEXTS.get(why, why)})'


class _LineFields(dict):  # noqa: WPS600 - only `__missing__` is added
    """Fields of a log line; a missing one, as in older logs, reads ``?``."""

    def __missing__(self, name: str) -> str:
        return '?'


def run() -> None:
    """Run the program."""
    if sys.argv[1:2] == [_WHERE]:
        sys.exit(int(run_query(sys.argv[1:])))
    sys.modules['__main__'].__doc__ = _USAGE
    app.run(_run)


def _run(arguments: list[str]) -> int:
    if len(arguments) < 2:
        print(_USAGE, file=sys.stderr)
        return int(ExitCode.INPUT)
    with fileinput.input(arguments[2:]) as lines:
        sentences = list(explain(arguments[1], lines))
    for sentence in sentences:
        print(sentence)
    if not sentences:
        print(f'no log line mentions request {arguments[1]}', file=sys.stderr)
        return int(ExitCode.UNREACHABLE)
    return int(ExitCode.OK)


if __name__ == '__main__':
    run()
