"""Commands of `sesamectl` that query the entry VMs."""

import re

from sesameroute.exceptions import ExitCode, InputError
from sesameroute.programs._control_context import Context
from sesameroute.programs._control_fleet import FleetAnswers
from sesameroute.programs._control_table import format_tables

__all__ = ['explain', 'status', 'wait']

_POLL_INTERVAL_SECONDS = 0.2
# Consecutive polls without all answers after which the missing VMs count as
# unreachable.
_UNREACHABLE_ROUNDS = 3


def status(context: Context) -> ExitCode:
    """Print each entry VM's view of the fleet."""
    return _print_answers(context.fleet.fetch_status())


def explain(context: Context, subject: str) -> ExitCode:
    """Print what each entry VM knows of a service or request key."""
    return _print_answers(context.fleet.explain(subject))


def wait(context: Context, version: str) -> ExitCode:
    """Wait until a version is in force at all reachable entry VMs."""
    if not re.fullmatch('[0-9]{1,15}', version):
        raise InputError(f'version {version!r}: allowed: a whole number')
    target_version = int(version)
    clock = context.clock
    started = clock.read_monotonic()
    deadline = started + context.options.timeout
    collected = context.fleet.fetch_status()
    rounds = 1
    while not _is_settled(collected, target_version, rounds):
        if clock.read_monotonic() > deadline:
            return _report_wait(context, collected, target_version)
        clock.sleep(_POLL_INTERVAL_SECONDS)
        rounds = rounds + 1 if collected.missing else 1
        collected = context.fleet.fetch_status()
    seconds = clock.read_monotonic() - started
    if collected.answers:
        print(f'version {target_version} is in force after {seconds:.1f} s')
    return _report_wait(context, collected, target_version)


def _is_settled(
    collected: FleetAnswers, target_version: int, rounds: int
) -> bool:
    if collected.list_outdated(target_version):
        return False
    return rounds >= _UNREACHABLE_ROUNDS if collected.missing else True


def _report_wait(
    context: Context,
    collected: FleetAnswers,
    target_version: int,
) -> ExitCode:
    _print_missing(collected)
    outdated = collected.list_outdated(target_version)
    if outdated:
        print(f'behind: {", ".join(outdated)}')
    return (
        ExitCode.UNREACHABLE
        if outdated or not collected.answers
        else ExitCode.OK
    )


def _print_answers(collected: FleetAnswers) -> ExitCode:
    if collected.answers:
        print(format_tables(collected.answers))
    _print_missing(collected)
    return ExitCode.OK if collected.answers else ExitCode.UNREACHABLE


def _print_missing(collected: FleetAnswers) -> None:
    for vm, reason in collected.missing.items():
        print(f'missing: {vm} ({reason})')
    if not collected.answers and not collected.missing:
        print('no entry VM is known: no statement is stored')
