"""Commands of `sesamectl` that read or submit a whole statement."""

import re
from collections.abc import Mapping
from typing import Any

from sesameroute.exceptions import ExitCode, InputError, StoreUnreachableError
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
# First line of the output of `show`.
_VERSION_LINE = re.compile(r'^# version ([0-9]{1,15})\b')


def check(context: Context, path: str) -> ExitCode:
    """Check a statement and print its problems."""
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
    """Print a statement in the canonical form that `show` prints."""
    print(
        print_statement(read_statement(context.read_text(path), path)),
        end='',
    )
    return ExitCode.OK


def show(context: Context) -> ExitCode:
    """Print the stored statement with its version in a comment.

    If the store is down, print the newest one in force at the entry VMs.
    """
    try:
        stored = context.configuration_store.read()
    except StoreUnreachableError as error:
        return _show_version_in_force(context, error)
    if stored.configuration is None:
        raise InputError(
            f'no statement is stored under {context.configuration_store.key}',
        )
    print(f'# version {stored.version} {stored.configuration.submission}')
    print(stored.text, end='')
    return ExitCode.OK


def _show_version_in_force(
    context: Context, error: StoreUnreachableError
) -> ExitCode:
    pages = context.fleet.fetch_configurations().answers
    readable_pages = [page for page in pages if page.get('text')]
    if not readable_pages:
        raise error
    newest = max(readable_pages, key=_read_page_version)
    print('# version {version} {submission}'.format(**newest))
    print(newest['text'], end='')
    return ExitCode.OK


def _read_page_version(page: Mapping[str, Any]) -> int:
    return page.get('version', 0)


def submit(context: Context, path: str) -> ExitCode:
    """Check a statement and write it to the store."""
    text = context.read_text(path)
    statement = read_statement(text, path)
    for finding in check_statement(statement):
        context.warn(str(finding))
    based_on = _find_base(context, text, statement)
    accepted = context.submitter.submit(
        statement,
        based_on,
        context.find_fleet_version(),
    )
    print(f'accepted version={accepted.version} id={accepted.submission}')
    return ExitCode.OK


def _find_base(
    context: Context,
    text: str,
    statement: Statement,
) -> int | None:
    """Return the version that the file is based on, None for any.

    A file without that version could undo a change that its author never
    saw, so it is accepted only if the store is empty.
    """
    base_option = context.options.base
    if base_option == _NEWEST:
        return None
    if base_option:
        return _read_version(base_option)
    version_line = _VERSION_LINE.match(text)
    if version_line:
        return int(version_line.group(1))
    stored = context.configuration_store.read()
    if stored.configuration is None:
        return 0
    difference = describe_difference(print_statement(statement), stored.text)
    raise InputError(
        f'--base is missing: version {stored.version} is stored; give '
        f'--base {stored.version} to replace it\n{difference}',
    )


def _read_version(base_option: str) -> int:
    if not re.fullmatch('[0-9]{1,15}', base_option):
        raise InputError(
            f'--base {base_option!r}: allowed: a version or {_NEWEST}'
        )
    return int(base_option)
