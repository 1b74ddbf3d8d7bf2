"""Changes that can be applied to any version of a statement."""

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
    """Return the statement with a drain added.

    Parameters
    ----------
    statement : Statement
        The statement to change.
    subject : str
        Name of a VM, upstream, failure domain or region; the drain gets the
        same name.

    Raises
    ------
    InputError
        The statement has nothing of this name.

    """
    target = _find_target(statement, subject)
    drain = Drain(subject, target, subject)
    return replace(
        statement,
        drains={**statement.drains, drain.name: drain},
    )


def remove_drain(statement: Statement, subject: str) -> Statement:
    """Return the statement without the drains of a subject."""
    remaining = {
        name: drain
        for name, drain in statement.drains.items()
        if drain.subject != subject
    }
    return replace(statement, drains=remaining)


def add_shift(statement: Statement, shift: Shift) -> Statement:
    """Return the statement with a shift; it replaces one of the same name."""
    return replace(
        statement,
        shifts={**statement.shifts, shift.name: shift},
    )


def remove_shift(statement: Statement, name: str) -> Statement:
    """Return the statement without a shift.

    Raises
    ------
    InputError
        The statement has no shift of this name.

    """
    if name not in statement.shifts:
        allowed = ', '.join(statement.shifts) or 'none'
        raise InputError(f'unknown shift {name!r}; allowed: {allowed}')
    remaining = {**statement.shifts}
    remaining.pop(name)
    return replace(statement, shifts=remaining)


def _find_target(statement: Statement, subject: str) -> DrainTarget:
    """Return whether a name is that of an upstream, VM, domain or region.

    Raises
    ------
    InputError
        The statement has nothing of this name.

    """
    names_by_target = {
        DrainTarget.UPSTREAM: statement.upstreams,
        DrainTarget.VM: statement.vms,
        DrainTarget.DOMAIN: statement.places.domains,
        DrainTarget.REGION: statement.places.regions,
    }
    for target, existing_names in names_by_target.items():
        if subject in existing_names:
            return target
    raise InputError(
        f'{subject!r} is no VM, upstream, failure domain or region; '
        f'VMs: {", ".join(statement.vms)}',
    )
