"""Commands of `sesamectl` about whole statements."""

import re
from collections.abc import Mapping
from typing import Any

from sesameroute.exceptions import ExitCode, InputError, StoreDownError
from sesameroute.programs._control_context import Context
from sesameroute.statement import (
    Severity,
    Statement,
    check_statement,
    print_statement,
    read_statement,
)
from sesameroute.submission import describe_difference

__all__ = ['check', 'print_canonical', 'show', 'submit']

_NEWEST = 'newest'
# The line that `show` puts before the statement.
_VERSION_LINE = re.compile(r'^# version ([0-9]{1,15})\b')


def check(context: Context, path: str) -> ExitCode:
    """Check a statement and print what is wrong with it."""
    statement = read_statement(context.read_text(path), path)
    findings = check_statement(statement)
    print(*findings, sep='\n', end='\n' if findings else '')
    if any(finding.severity is Severity.ERROR for finding in findings):
        return ExitCode.INPUT
    print(
        f'{path}: {statement.institution}, {len(statement.vms)} VMs, '
        f'{len(statement.upstreams)} upstreams: may be submitted',
    )
    return ExitCode.OK


def print_canonical(context: Context, path: str) -> ExitCode:
    """Print a statement in the form that `show` gives."""
    print(
        print_statement(read_statement(context.read_text(path), path)),
        end='',
    )
    return ExitCode.OK


def show(context: Context) -> ExitCode:
    """Print the statement with its version in a comment.

    With the store down it is the newest that the entry VMs have in force.
    """
    try:
        base = context.configurations.read()
    except StoreDownError as error:
        return _show_in_force(context, error)
    if base.configuration is None:
        raise InputError(
            f'no statement is stored under {context.configurations.key}',
        )
    print(f'# version {base.version} {base.configuration.submission}')
    print(base.text, end='')
    return ExitCode.OK


def _show_in_force(context: Context, error: StoreDownError) -> ExitCode:
    known = context.fleet.fetch_configurations().answers
    with_text = [page for page in known if page.get('text')]
    if not with_text:
        raise error
    newest = max(with_text, key=_read_page_version)
    print('# version {version} {submission}'.format(**newest))
    print(newest['text'], end='')
    return ExitCode.OK


def _read_page_version(page: Mapping[str, Any]) -> int:
    return page.get('version', 0)


def submit(context: Context, path: str) -> ExitCode:
    """Check a statement and put it into the store."""
    text = context.read_text(path)
    statement = read_statement(text, path)
    for finding in check_statement(statement):
        context.warn(str(finding))
    based_on = _find_base(context, text, statement)
    accepted = context.submitter.submit(
        statement,
        based_on,
        context.find_known_version(),
    )
    print(f'accepted version={accepted.version} id={accepted.submission}')
    return ExitCode.OK


def _find_base(
    context: Context,
    text: str,
    statement: Statement,
) -> int | None:
    """Return the version that the operator started from, None for any.

    A file that doesn't say so could undo a change that its author never
    saw, so it is only taken when nothing is stored.
    """
    stated = context.options.base
    if stated == _NEWEST:
        return None
    if stated:
        return _read_version(stated)
    noted = _VERSION_LINE.match(text)
    if noted:
        return int(noted.group(1))
    base = context.configurations.read()
    if base.configuration is None:
        return 0
    difference = describe_difference(print_statement(statement), base.text)
    raise InputError(
        f'--base is missing: version {base.version} is stored; give '
        f'--base {base.version} to replace it\n{difference}',
    )


def _read_version(stated: str) -> int:
    if not re.fullmatch('[0-9]{1,15}', stated):
        raise InputError(f'--base {stated!r}: allowed: a version or {_NEWEST}')
    return int(stated)
