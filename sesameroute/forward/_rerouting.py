"""Lets requests that have not been sent yet follow the configuration."""

from dataclasses import replace

from sesameroute.forward._request_state import RequestState
from sesameroute.forward._tenants import identify_tenant
from sesameroute.placement import SlotRequest
from sesameroute.routes import ActiveConfiguration, RequestKind, Route

__all__ = [
    'follow_configuration',
    'is_of_route',
    'may_run_again',
    'may_start_in_row',
]


def follow_configuration(
    state: RequestState, active_configuration: ActiveConfiguration
) -> None:
    """Give a request the route and the tenant of the newest configuration.

    A request that was accepted outlives its route, and one that was ever of
    kind `UNSAFE` remains so.
    """
    table = active_configuration.table_
    if table is None or table is state.table:
        return
    state.table = table
    route = table.find(state.request.host, state.request.path)
    if route is not None and route != state.route:
        _follow_route(state, route, active_configuration)
    identify_tenant(state)


def _follow_route(
    state: RequestState,
    route: Route,
    active_configuration: ActiveConfiguration,
) -> None:
    if not state.route.kind.is_idempotent:
        route = replace(route, kind=RequestKind.UNSAFE)
    state.route = route
    if state.service not in {part.service for part in route.parts}:
        state.service = active_configuration.choose_service(route)


def is_of_route(slot_request: SlotRequest, state: RequestState) -> bool:
    """Return whether a slot was requested by the present route and tenant."""
    present = (
        state.service,
        tuple(sorted(state.homes)),
        state.tenant.name if state.tenant else '',
    )
    asked = (slot_request.service, slot_request.homes, slot_request.tenant)
    return asked == present and state.denial is None


def may_run_again(state: RequestState) -> bool:
    """Return whether a try may start, whatever has become of the last one.

    A request that may have run must not run again once its kind is `UNSAFE`.
    """
    return state.route.kind.is_idempotent or not state.may_have_run


def may_start_in_row(state: RequestState) -> bool:
    """Return whether a try may start before earlier requests are answered.

    Load pattern: rows of reads on one connection while the configuration
    changes. An answer that ends the connection makes callers repeat whatever
    stood behind it, so what must not run twice waits for its turn.
    """
    return state.route.kind.is_idempotent or state.request.has_turn()
