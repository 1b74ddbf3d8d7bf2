"""Checks that a statement can hold what it promises."""

import json
from collections.abc import Iterator

from sesameroute.statement._finding import Finding, Severity
from sesameroute.statement._load import find_overloads
from sesameroute.statement._model import Statement
from sesameroute.statement._reference import find_wrong_references
from sesameroute.statement._room import Room
from sesameroute.statement._text import print_statement

__all__ = ['check_statement']

_LEAST_DOMAINS = 2  # for a service
_MOST_BYTES = 1_000_000  # of a value in the store
_ENVELOPE_BYTES = 4000
_LEAST_VMS = 2  # a request key needs a witness


def check_statement(statement: Statement) -> list[Finding]:
    """Return what keeps a statement from holding what it promises.

    Parameters
    ----------
    statement : Statement
        A statement, also one that was not read from a file.

    Returns
    -------
    list of Finding
        Errors keep it from being submitted, warnings do not.

    Examples
    --------
    >>> from sesameroute.statement import StatementBuilder
    >>> builder = StatementBuilder('kalina').set_places('north')
    >>> builder = builder.add_region('north', 'north-a', 'north-b')
    >>> builder = builder.add_service('order-desk')
    >>> print(check_statement(builder.build())[0])
    error: [vm] 0 entry VMs are not drained; allowed: 2 or more

    """
    wrong = list(find_wrong_references(statement))
    if wrong:
        return wrong
    room = Room(statement)
    return [
        *_check_size(statement),
        *_check_vms(room),
        *_check_services(room),
        *_check_upstreams(statement),
        *_check_kinds(statement),
        *_check_links(statement),
        *_check_shifts(room),
        *find_overloads(room),
    ]


def _check_size(statement: Statement) -> Iterator[Finding]:
    # As the store keeps it: JSON, beside version and submission ids.
    size = len(json.dumps(print_statement(statement))) + _ENVELOPE_BYTES
    if size > _MOST_BYTES:
        yield Finding(
            'institution',
            f'the statement has {size} bytes; allowed: up to {_MOST_BYTES}',
        )


def _check_vms(room: Room) -> Iterator[Finding]:
    statement = room.statement
    left = room.vms
    if len(left) < _LEAST_VMS:
        yield Finding(
            'vm',
            f'{len(left)} entry VMs are not drained; '
            f'allowed: {_LEAST_VMS} or more',
        )
    for domain in statement.places.domains:
        if not statement.list_vms(domain):
            yield Finding(
                'places',
                f'{domain} has no entry VM: its upstreams have no home',
                Severity.WARNING,
            )


def _check_services(room: Room) -> Iterator[Finding]:
    for service in room.statement.services:
        domains = {each.domain for each in room.list_upstreams(service)}
        if len(domains) < _LEAST_DOMAINS:
            yield Finding(
                f'service {service}',
                'upstreams that are not drained stand in '
                f'{len(domains)} failure domains; '
                f'allowed: {_LEAST_DOMAINS} or more',
            )


def _check_upstreams(statement: Statement) -> Iterator[Finding]:
    vms = len(statement.vms)
    for upstream in statement.upstreams.values():
        least = max(upstream.slots, vms)
        if upstream.connections < least:
            yield Finding(
                f'upstream {upstream.name}',
                f'connections = {upstream.connections}; allowed: {least} or '
                f'more, for {upstream.slots} slots and {vms} entry VMs',
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
                f'reach the deadline of {kind.deadline_ms} ms',
                Severity.WARNING,
            )
    if statement.kinds and not any(
        each.share for each in statement.kinds.values()
    ):
        yield Finding('kind', 'share is 0 everywhere; allowed: above 0 once')


def _check_links(statement: Statement) -> Iterator[Finding]:
    """Yield links whose share of one VM can't carry one answer a second.

    A cap is split over the entry VMs of the sending region, which can't
    always talk to each other.
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


def _check_shifts(room: Room) -> Iterator[Finding]:
    moved: dict[tuple[str, str], float] = {}
    for shift in room.statement.shifts.values():
        place = shift.service, shift.source
        moved[place] = moved.get(place, 0) + shift.fraction
        if moved[place] > 1:
            yield Finding(
                f'shift {shift.name}',
                f'shifts of {shift.service} move {moved[place]:g} of '
                f'{shift.source}; allowed: up to 1',
            )
        if not room.count_slots(shift.service, shift.target):
            yield Finding(
                f'shift {shift.name}',
                f'{shift.target} has no slots for {shift.service}',
            )
