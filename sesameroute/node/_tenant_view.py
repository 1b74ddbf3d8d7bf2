"""What operators are told of the tenant of a request; nothing is counted."""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from http import HTTPStatus
from typing import Any

from sesameroute.exceptions import InputError
from sesameroute.routes import Route, RouteTable
from sesameroute.tenants import AllowanceView, Denial, Tenant

__all__ = ['TenantFinding', 'describe_finding', 'find_tenant']

_MIN_HASH_CHARACTERS = 8
_HASH_DIGITS = frozenset('0123456789abcdef')


@dataclass(frozen=True, slots=True)
class TenantFinding:
    """Whose a request would be, or why it would not be let through.

    Attributes
    ----------
    tenant : Tenant or None
        None if the request needs no key, or has none that is good.
    denial : Denial or None
        Why it would be refused by its key.
    homes : frozenset of str
        Regions that route and tenant both permit; empty means all.

    """

    tenant: Tenant | None
    denial: Denial | None
    homes: frozenset[str]

    @property
    def slot_fields(self) -> dict[str, Any]:
        """The fields of a slot request that tell whose it is."""
        homes = tuple(sorted(self.homes))
        if self.tenant is None:
            return {'homes': homes}
        return {
            'homes': homes,
            'tenant': self.tenant.name,
            'tenant_priority': self.tenant.priority,
            'allowance': self.tenant.rate,
        }


def find_tenant(
    table: RouteTable, route: Route, query: Mapping[str, str]
) -> TenantFinding:
    """Return whose a request would be.

    Parameters
    ----------
    table : RouteTable
        The configuration in force.
    route : Route
        The route of the request.
    query : mapping of str to str
        May have ``tenant``, a name, or ``key_hash``, the SHA-256 of a key or
        its first eight hexadecimal digits or more. Keys are not asked for.

    Raises
    ------
    InputError
        The tenant is not in the configuration, or the digest is none.

    """
    if not table.tenants.is_used or route.is_anonymous:
        return TenantFinding(None, None, route.homes)
    found = _identify(table, query)
    if isinstance(found, Denial):
        return TenantFinding(None, found, route.homes)
    homes = found.limit_homes(route.homes)
    is_denied = bool(found.homes and route.homes and not homes)
    denial = Denial.NO_REGION if is_denied else None
    return TenantFinding(found, denial, homes)


def describe_finding(
    finding: TenantFinding,
    list_views: Callable[[str], list[AllowanceView]],
) -> dict[str, Any]:
    """Return a finding for operators, with where the allowance lies.

    Parameters
    ----------
    finding : TenantFinding
        Whose the request would be.
    list_views : callable
        See `forward.Allowances`.

    """
    described: dict[str, Any] = {'homes': sorted(finding.homes)}
    tenant = finding.tenant
    if tenant is not None:
        described |= {
            'name': tenant.name,
            'priority': tenant.priority,
            'rate': tenant.rate,
            'burst': tenant.burst,
        }
    if finding.denial is not None:
        is_final = finding.denial.is_final
        status = (
            HTTPStatus.UNAUTHORIZED
            if is_final
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return described | {
            'status': status.value,
            'why': finding.denial.value,
        }
    if tenant is not None and tenant.rate:
        described |= _describe_views(list_views(tenant.name))
    return described


def _identify(table: RouteTable, query: Mapping[str, str]) -> Tenant | Denial:
    name, digest = query.get('tenant'), query.get('key_hash')
    if name:
        tenant = table.tenants.by_name.get(name)
        if tenant is None:
            raise InputError(f'tenant {name} is not in the configuration')
        return tenant
    if not digest:
        return Denial.NO_KEY
    if len(digest) < _MIN_HASH_CHARACTERS or set(digest) - _HASH_DIGITS:
        raise InputError(
            f'key_hash needs {_MIN_HASH_CHARACTERS} hexadecimal digits or more'
        )
    return table.tenants.find_by_hash(digest)


def _describe_views(views: list[AllowanceView]) -> dict[str, Any]:
    """Return what lies where, and what a request would be told."""
    described: dict[str, Any] = {'tokens': [asdict(each) for each in views]}
    if not views:
        return described
    here = views[0].tokens
    elsewhere = max((each.tokens for each in views[1:]), default=0)
    if here >= 1 or here + elsewhere >= 1:
        return described
    return described | {
        'status': HTTPStatus.TOO_MANY_REQUESTS.value,
        'retry_after': views[-1].wait or views[0].wait,
    }
