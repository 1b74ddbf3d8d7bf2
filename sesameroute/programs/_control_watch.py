"""Commands of `sesamectl` that ask the entry VMs."""

import re

from sesameroute.exceptions import ExitCode, InputError
from sesameroute.programs._control_context import Context
from sesameroute.programs._control_fleet import FleetView
from sesameroute.programs._control_table import format_tables

__all__ = ['explain', 'status', 'wait']

_POLL_SECONDS = 0.2
# Rounds without an answer after which a VM counts as not reachable.
_MISSED_ROUNDS = 3


def status(context: Context) -> ExitCode:
    """Print what each entry VM believes about the fleet."""
    return _print_view(context.fleet.fetch_status())


def explain(context: Context, subject: str) -> ExitCode:
    """Print why decisions about a service or request key fell."""
    return _print_view(context.fleet.explain(subject))


def wait(context: Context, version: str) -> ExitCode:
    """Return when a version is in force at all VMs that can be reached."""
    if not re.fullmatch('[0-9]{1,15}', version):
        raise InputError(f'version {version!r}: allowed: a whole number')
    wanted = int(version)
    clock = context.clock
    started = clock.read_monotonic()
    end = started + context.options.timeout
    view = context.fleet.fetch_status()
    rounds = 1
    while not _is_settled(view, wanted, rounds):
        if clock.read_monotonic() > end:
            return _report_wait(context, view, wanted)
        clock.sleep(_POLL_SECONDS)
        rounds = rounds + 1 if view.missing else 1
        view = context.fleet.fetch_status()
    seconds = clock.read_monotonic() - started
    if view.answers:
        print(f'version {wanted} is in force after {seconds:.1f} s')
    return _report_wait(context, view, wanted)


def _is_settled(view: FleetView, wanted: int, rounds: int) -> bool:
    if view.list_behind(wanted):
        return False
    return rounds >= _MISSED_ROUNDS if view.missing else True


def _report_wait(
    context: Context,
    view: FleetView,
    wanted: int,
) -> ExitCode:
    _print_missing(view)
    behind = view.list_behind(wanted)
    if behind:
        print(f'behind: {", ".join(behind)}')
    return ExitCode.UNREACHABLE if behind or not view.answers else ExitCode.OK


def _print_view(view: FleetView) -> ExitCode:
    if view.answers:
        print(format_tables(view.answers))
    _print_missing(view)
    return ExitCode.OK if view.answers else ExitCode.UNREACHABLE


def _print_missing(view: FleetView) -> None:
    for vm, reason in view.missing.items():
        print(f'missing: {vm} ({reason})')
    if not view.answers and not view.missing:
        print('no entry VM is known: no statement is stored')
