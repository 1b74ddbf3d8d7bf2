"""Operators' page: where a given request would go now, and why."""

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import asdict, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from sesameroute.exceptions import InputError, PeerError
from sesameroute.node._slot_allocator import FleetSlotAllocator
from sesameroute.node._tenant_view import (
    TenantFinding,
    describe_finding,
    find_tenant,
)
from sesameroute.placement import PlacementQuery, SlotRequest
from sesameroute.ports import Answer
from sesameroute.routes import Route, RouteTable
from sesameroute.tenants import AllowanceView

__all__ = ['PLACEMENT_PATH', 'PlacementPage']

PLACEMENT_PATH = b'/placement'
_CALL_SECONDS = 1.0
_JSON_HEADERS = (('Content-Type', 'application/json'),)
_MAX_QUERY_CHARACTERS = 4096


class PlacementPage:
    """Answers operators' questions about requests; sends and counts nothing.

    The query has ``host`` and ``path``, and may have ``object`` (the affinity
    key), ``zone`` (of the caller, by default this node's), ``deadline_ms``,
    and ``tenant`` (its name) or ``key_hash`` (the SHA-256 of its key, or the
    beginning of that).

    Parameters
    ----------
    allocator : FleetSlotAllocator
        Knows the fleet, the configuration and the pools.

    Attributes
    ----------
    list_views_ : callable
        Returns where the allowance of a tenant lies, see
        `forward.Allowances`.

    """

    def __init__(self, allocator: FleetSlotAllocator) -> None:
        """Store the parameter."""
        self.allocator = allocator
        self.list_views_: Callable[[str], list[AllowanceView]] = lambda _: []

    def __call__(self, request: Any) -> Answer:
        """Return the explanation as JSON."""
        status = HTTPStatus.OK
        try:
            explanation = self.explain(_parse_query(request.qs))
        except InputError as error:
            status, explanation = HTTPStatus.BAD_REQUEST, error.message
        content = msgspec.json.encode(explanation)
        return Answer(status, _JSON_HEADERS, iter((content,)), len(content))

    def explain(self, query: Mapping[str, str]) -> dict[str, Any]:
        """Return what would become of a request now.

        Raises
        ------
        InputError
            The query lacks the host or the path, or names an unknown zone.

        """
        _check_query(query)
        region = self._find_region(query)
        table = self.allocator.pools.active_configuration.table_
        explanation = {
            'is_sent': False,
            'node': self.allocator.fleet.own_state.address,
            'region': region,
            'directory': self.allocator.fleet.list_front_addresses(region),
            'version': table.configuration.version if table else None,
        }
        route = table and table.find(query['host'], query['path'])
        if route:
            finding = find_tenant(table, route, query)
            explanation['route'] = {
                **dict(_list_terms(route)),
                'is_anonymous': route.is_anonymous,
            }
            if table.tenants.is_used and not route.is_anonymous:
                explanation['tenant'] = describe_finding(
                    finding, self.list_views_
                )
            slot_request = _build_slot_request(route, finding, query)
            explanation['services'] = [
                self._explain_service(
                    replace(slot_request, service=part.service), region
                )
                for part in route.parts
            ]
            return explanation
        return explanation | {'refusal': _find_refusal(table, query).value}

    def _find_region(self, query: Mapping[str, str]) -> str:
        own_zone = self.allocator.fleet.own_state.zone
        zone = query.get('zone') or own_zone
        region = self.allocator.pools.regions.get(zone)
        if region is None:
            raise InputError(f'zone {zone} is not known')
        return region

    def _explain_service(
        self, slot_request: SlotRequest, region: str
    ) -> dict[str, Any]:
        fleet = self.allocator.fleet
        service = slot_request.service
        leader = fleet.find_leader(service, region)
        described: dict[str, Any] = {'service': service, 'leader': leader}
        if leader == fleet.own_state.address:
            now = self.allocator.clock.read_monotonic()
            pool = self.allocator.pools.find(service)
            rehearsal = pool.rehearser.rehearse(slot_request, now)
            described['placement'] = asdict(rehearsal)
            return described
        try:
            rehearsal = fleet.peers.call(
                leader, PlacementQuery(slot_request), _CALL_SECONDS
            )
        except PeerError as error:
            # A leader of an older build does not know the question.
            described['unknown'] = f'{leader} does not tell: {error.message}'
        else:
            described['placement'] = asdict(rehearsal)
        return described


def _parse_query(text: bytes) -> dict[str, str]:
    if len(text) > _MAX_QUERY_CHARACTERS:
        raise InputError(
            f'query has {len(text)} characters,'
            f' at most {_MAX_QUERY_CHARACTERS} are allowed'
        )
    return dict(parse_qsl(text.decode('latin-1')))


def _check_query(query: Mapping[str, str]) -> None:
    for name in ('host', 'path'):
        if not query.get(name):
            raise InputError(f'query needs {name}=')


def _find_refusal(
    table: RouteTable | None, query: Mapping[str, str]
) -> HTTPStatus:
    """Return the status that a request without a route gets."""
    if table and not table.may_have_route(query['host'], query['path']):
        return HTTPStatus.NOT_FOUND
    return HTTPStatus.SERVICE_UNAVAILABLE


def _build_slot_request(
    route: Route, finding: TenantFinding, query: Mapping[str, str]
) -> SlotRequest:
    seconds = min(route.timeout, _read_deadline(query))
    return SlotRequest(
        '',
        route.name,
        query.get('object', '') if route.has_object_affinity else '',
        route.priority,
        route.latency_target,
        route.latency_target,
        seconds,
        **finding.slot_fields,
    )


def _read_deadline(query: Mapping[str, str]) -> float:
    text = query.get('deadline_ms')
    if text is None:
        return math.inf
    if not text.isdecimal():
        raise InputError(f'deadline_ms {text!r}: allowed: a whole number')
    return int(text) / 1000


def _list_terms(route: Route) -> Iterator[tuple[str, Any]]:
    yield 'name', route.name
    yield 'prefix', route.prefix
    yield 'kind', route.kind.value
    yield 'priority', route.priority
    yield 'timeout', route.timeout
    yield 'latency_target', route.latency_target
    yield 'max_attempts', route.max_attempts
    yield 'homes', sorted(route.homes)
    yield 'weights', {part.service: part.weight for part in route.parts}
