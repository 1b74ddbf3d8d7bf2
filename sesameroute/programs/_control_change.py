"""Commands of `sesamectl` that change the stored statement."""

from collections.abc import Callable
from functools import partial

from sesameroute.exceptions import ExitCode, InputError
from sesameroute.programs._control_context import Context
from sesameroute.statement import Shift, Statement, print_statement
from sesameroute.submission import (
    add_drain,
    add_shift,
    describe_difference,
    remove_drain,
    remove_shift,
)

__all__ = ['drain', 'shift', 'undrain', 'unshift']

# Delay before a shift starts, so that all VMs know of it by then.
_SHIFT_NOTICE_SECONDS = 4


def drain(context: Context, subject: str) -> ExitCode:
    """Stop new work to a VM, upstream, failure domain or region."""
    return _change(context, partial(add_drain, subject=subject))


def undrain(context: Context, subject: str) -> ExitCode:
    """End a drain."""
    return _change(context, partial(remove_drain, subject=subject))


def shift(context: Context, name: str) -> ExitCode:
    """Move a service's traffic gradually from one region to another."""
    options = context.options
    missing = [
        flag
        for flag in ('service', 'source', 'target')
        if not getattr(options, flag)
    ]
    if missing:
        raise InputError(f'shift needs --{", --".join(missing)}')
    new_shift = Shift(
        name=name,
        service=options.service,
        source=options.source,
        target=options.target,
        fraction=options.fraction,
        cap=options.cap,
        started=int(context.clock.read_wall()) + _SHIFT_NOTICE_SECONDS,
        seconds=options.seconds,
    )
    return _change(context, partial(add_shift, shift=new_shift))


def unshift(context: Context, name: str) -> ExitCode:
    """Remove a shift."""
    return _change(context, partial(remove_shift, name=name))


def _change(
    context: Context,
    change: Callable[[Statement], Statement],
) -> ExitCode:
    if context.options.dry_run:
        return _print_planned_change(context, change)
    accepted = context.submitter.edit(change, context.find_fleet_version())
    print(f'accepted version={accepted.version} id={accepted.submission}')
    return ExitCode.OK


def _print_planned_change(
    context: Context,
    change: Callable[[Statement], Statement],
) -> ExitCode:
    before, after = context.submitter.preview(change)
    difference = describe_difference(
        print_statement(before),
        print_statement(after),
        ('stored', 'changed'),
    )
    print(difference or 'nothing would change')
    return ExitCode.OK
