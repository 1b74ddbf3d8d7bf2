"""Checks that a deployment can work as its statement describes it."""

import json
from collections.abc import Iterator

from sesameroute.statement._capacity import find_overloads
from sesameroute.statement._consistency import find_inconsistencies
from sesameroute.statement._finding import Finding, Severity
from sesameroute.statement._ini_text import print_statement
from sesameroute.statement._model import Statement
from sesameroute.statement._undrained import UndrainedCapacity

__all__ = ['check_statement']

# Failure domains in which a service must have backend servers.
_MIN_DOMAINS = 2
# Size limit of one value in the store.
_MAX_STORED_BYTES = 1_000_000
# Allowance for the version and submission ids stored beside the statement.
_METADATA_BYTES = 4000
# Request keys are recorded on a second VM, the witness, as well.
_MIN_VMS = 2


def check_statement(statement: Statement) -> list[Finding]:
    """Return errors and warnings about a statement.

    Parameters
    ----------
    statement : Statement
        A statement, whether read from a file or created in Python.

    Returns
    -------
    list of Finding
        A statement with errors can't be submitted; warnings don't prevent
        it.

    Examples
    --------
    >>> from sesameroute.statement import StatementBuilder
    >>> builder = StatementBuilder('kalina').set_places('north')
    >>> builder = builder.add_region('north', 'north-a', 'north-b')
    >>> builder = builder.add_service('order-desk')
    >>> print(check_statement(builder.build())[0])
    error: [vm] 0 entry VMs are not drained; allowed: 2 or more

    """
    inconsistencies = list(find_inconsistencies(statement))
    if inconsistencies:
        return inconsistencies
    undrained = UndrainedCapacity(statement)
    return [
        *_check_size(statement),
        *_check_vms(undrained),
        *_check_services(undrained),
        *_check_upstreams(statement),
        *_check_kinds(statement),
        *_check_links(statement),
        *_check_shifts(undrained),
        *find_overloads(undrained),
    ]


def _check_size(statement: Statement) -> Iterator[Finding]:
    # The store holds the statement as a JSON string with metadata.
    size = len(json.dumps(print_statement(statement))) + _METADATA_BYTES
    if size > _MAX_STORED_BYTES:
        yield Finding(
            'institution',
            f'the statement has {size} bytes; '
            f'allowed: up to {_MAX_STORED_BYTES}',
        )


def _check_vms(undrained: UndrainedCapacity) -> Iterator[Finding]:
    statement = undrained.statement
    undrained_vms = undrained.vms
    if len(undrained_vms) < _MIN_VMS:
        yield Finding(
            'vm',
            f'{len(undrained_vms)} entry VMs are not drained; '
            f'allowed: {_MIN_VMS} or more',
        )
    for domain in statement.places.domains:
        if not statement.list_vms(domain):
            yield Finding(
                'places',
                f'failure domain {domain} has no entry VM: the slots of its '
                'upstreams are managed from other failure domains',
                Severity.WARNING,
            )


def _check_services(undrained: UndrainedCapacity) -> Iterator[Finding]:
    for service in undrained.statement.services:
        domains = {each.domain for each in undrained.list_upstreams(service)}
        if len(domains) < _MIN_DOMAINS:
            yield Finding(
                f'service {service}',
                'upstreams that are not drained are in '
                f'{len(domains)} failure domains; '
                f'allowed: {_MIN_DOMAINS} or more',
            )


def _check_upstreams(statement: Statement) -> Iterator[Finding]:
    vm_count = len(statement.vms)
    for upstream in statement.upstreams.values():
        min_connections = max(upstream.slots, vm_count)
        if upstream.connections < min_connections:
            yield Finding(
                f'upstream {upstream.name}',
                f'connections = {upstream.connections}; '
                f'allowed: {min_connections} or more, '
                f'for {upstream.slots} slots and {vm_count} entry VMs',
            )


def _check_kinds(statement: Statement) -> Iterator[Finding]:
    queue_ms = statement.policy.queue_ms
    for kind in statement.kinds.values():
        if kind.work_ms >= kind.deadline_ms:
            yield Finding(
                f'kind {kind.name}',
                f'work_ms = {kind.work_ms:g}; allowed: below the deadline of '
                f'{kind.deadline_ms} ms',
            )
        elif queue_ms + kind.work_ms >= kind.deadline_ms:
            yield Finding(
                f'kind {kind.name}',
                f'queue_ms = {queue_ms} and work_ms = {kind.work_ms:g} '
                f'together reach the deadline of {kind.deadline_ms} ms',
                Severity.WARNING,
            )
    if statement.kinds and not any(
        each.share for each in statement.kinds.values()
    ):
        yield Finding('kind', 'share is 0 for every kind; allowed: one above 0')


def _check_links(statement: Statement) -> Iterator[Finding]:
    """Yield links on which one VM can't send one largest answer a second.

    The cap of a link is divided evenly among the entry VMs of the sending
    region, since these can't always reach each other to share it.
    """
    largest = max(
        (kind.answer_bytes for kind in statement.kinds.values()),
        default=0,
    )
    for link in statement.links:
        senders = sum(
            statement.places.find_region(vm.domain) == link.source
            for vm in statement.vms.values()
        )
        share = link.bytes_per_second / max(senders, 1)
        if share < largest:
            yield Finding(
                f'link {link.source} {link.target}',
                f'each of {senders} entry VMs may send {share:.0f} bytes a '
                f'second; allowed: {largest} or more, the largest answer',
            )


def _check_shifts(undrained: UndrainedCapacity) -> Iterator[Finding]:
    moved_fractions: dict[tuple[str, str], float] = {}
    for shift in undrained.statement.shifts.values():
        origin = shift.service, shift.source
        moved_fractions[origin] = (
            moved_fractions.get(origin, 0) + shift.fraction
        )
        if moved_fractions[origin] > 1:
            yield Finding(
                f'shift {shift.name}',
                f'shifts of {shift.service} move a fraction of '
                f'{moved_fractions[origin]:g} out of {shift.source}; '
                'allowed: up to 1',
            )
        if not undrained.count_slots(shift.service, shift.target):
            yield Finding(
                f'shift {shift.name}',
                f'{shift.target} has no slots for {shift.service}',
            )
