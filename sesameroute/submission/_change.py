"""Changes of a statement that hold whatever it is based on."""

from dataclasses import replace

from sesameroute.exceptions import InputError
from sesameroute.statement import (
    Drain,
    DrainTarget,
    Shift,
    Statement,
)

__all__ = ['add_drain', 'add_shift', 'remove_drain', 'remove_shift']


def add_drain(statement: Statement, subject: str) -> Statement:
    """Return the statement with a drain of a VM, upstream or place.

    Raises
    ------
    InputError
        Nothing has this name.

    """
    target = _find_target(statement, subject)
    drain = Drain(subject, target, subject)
    return replace(
        statement,
        drains={**statement.drains, drain.name: drain},
    )


def remove_drain(statement: Statement, subject: str) -> Statement:
    """Return the statement without the drains of a subject."""
    kept = {
        name: drain
        for name, drain in statement.drains.items()
        if drain.subject != subject
    }
    return replace(statement, drains=kept)


def add_shift(statement: Statement, shift: Shift) -> Statement:
    """Return the statement with a shift in place of one of its name."""
    return replace(
        statement,
        shifts={**statement.shifts, shift.name: shift},
    )


def remove_shift(statement: Statement, name: str) -> Statement:
    """Return the statement without a shift.

    Raises
    ------
    InputError
        There is no such shift.

    """
    if name not in statement.shifts:
        allowed = ', '.join(statement.shifts) or 'none'
        raise InputError(f'shift {name!r}: allowed: {allowed}')
    kept = {**statement.shifts}
    kept.pop(name)
    return replace(statement, shifts=kept)


def _find_target(statement: Statement, subject: str) -> DrainTarget:
    """Return what kind of thing has a name.

    Raises
    ------
    InputError
        Nothing has it.

    """
    names = {
        DrainTarget.UPSTREAM: statement.upstreams,
        DrainTarget.VM: statement.vms,
        DrainTarget.DOMAIN: statement.places.domains,
        DrainTarget.REGION: statement.places.regions,
    }
    for target, known in names.items():
        if subject in known:
            return target
    raise InputError(
        f'{subject!r} is no VM, upstream, failure domain or region; '
        f'VMs: {", ".join(statement.vms)}',
    )
