"""Checks that the names and addresses of a statement are consistent."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator

from sesameroute.statement._finding import Finding
from sesameroute.statement._model import Drain, DrainTarget, Statement

__all__ = ['find_inconsistencies']

# Section title, key, the name that the key refers to, and the valid names.
_Reference = tuple[str, str, str, Collection[str]]


def find_inconsistencies(statement: Statement) -> Iterator[Finding]:
    """Yield unknown references, duplicates and regions linked to themselves.

    A statement with one of these errors can't be read, so that other
    packages may rely on their absence.
    """
    for section, key, name, known in _list_references(statement):
        if name not in known:
            allowed = ', '.join(known) or 'none'
            yield Finding(section, f'{key} = {name!r}: allowed: {allowed}')
    yield from _find_duplicate_names(statement)
    yield from _find_duplicate_addresses(statement)
    yield from _find_self_references(statement)


def _list_references(statement: Statement) -> Iterator[_Reference]:
    regions = tuple(statement.places.regions)
    domains = statement.places.domains
    services = tuple(statement.services)
    yield 'places', 'store_region', statement.places.store_region, regions
    for vm in statement.vms.values():
        yield f'vm {vm.name}', 'domain', vm.domain, domains
    for kind in statement.kinds.values():
        yield f'kind {kind.name}', 'service', kind.service, services
    for upstream in statement.upstreams.values():
        section = f'upstream {upstream.name}'
        yield section, 'domain', upstream.domain, domains
        yield section, 'service', upstream.service, services
    for drain in statement.drains.values():
        yield _get_subject_reference(statement, drain)
    yield from _list_region_references(statement, regions)


def _list_region_references(
    statement: Statement,
    regions: tuple[str, ...],
) -> Iterator[_Reference]:
    services = tuple(statement.services)
    for link in statement.links:
        section = f'link {link.source} {link.target}'
        yield section, 'source', link.source, regions
        yield section, 'target', link.target, regions
    for shift in statement.shifts.values():
        yield f'shift {shift.name}', 'service', shift.service, services
        yield f'shift {shift.name}', 'source', shift.source, regions
        yield f'shift {shift.name}', 'target', shift.target, regions


def _get_subject_reference(statement: Statement, drain: Drain) -> _Reference:
    subjects = {
        DrainTarget.UPSTREAM: tuple(statement.upstreams),
        DrainTarget.VM: tuple(statement.vms),
        DrainTarget.DOMAIN: statement.places.domains,
        DrainTarget.REGION: tuple(statement.places.regions),
    }
    known = subjects[drain.target]
    return f'drain {drain.name}', 'subject', drain.subject, known


def _find_duplicate_names(statement: Statement) -> Iterator[Finding]:
    for domain in _list_duplicates(statement.places.domains):
        yield Finding('places', f'domain {domain!r} is listed in two regions')
    for name in statement.vms.keys() & statement.upstreams.keys():
        yield Finding(
            f'upstream {name}',
            f'name {name!r} is also the name of a VM; allowed: unique names',
        )


def _find_duplicate_addresses(statement: Statement) -> Iterator[Finding]:
    vm_addresses = tuple(vm.address for vm in statement.vms.values())
    for address in _list_duplicates(vm_addresses):
        yield Finding('vm', f'address {address} belongs to two VMs')
    upstreams = statement.upstreams.values()
    endpoints = tuple(f'{server.address}:{server.port}' for server in upstreams)
    for endpoint in _list_duplicates(endpoints):
        yield Finding('upstream', f'{endpoint} belongs to two upstreams')
    vm_ports = (
        statement.entry_port,
        statement.lookup_port,
        statement.peer_port,
    )
    if _list_duplicates(vm_ports):
        yield Finding('institution', f'ports {vm_ports} must differ')
    for upstream in upstreams:
        if upstream.address in vm_addresses and upstream.port in vm_ports:
            yield Finding(
                f'upstream {upstream.name}',
                f'{upstream.address}:{upstream.port} belongs to a VM',
            )


def _find_self_references(statement: Statement) -> Iterator[Finding]:
    for link in statement.links:
        if link.source == link.target:
            yield Finding(
                f'link {link.source} {link.target}',
                'source and target must differ',
            )
    for shift in statement.shifts.values():
        if shift.source == shift.target:
            yield Finding(
                f'shift {shift.name}',
                f'source and target {shift.source!r} must differ',
            )


def _list_duplicates(names: Iterable[str | int]) -> list[str | int]:
    return [name for name, count in Counter(names).items() if count > 1]
