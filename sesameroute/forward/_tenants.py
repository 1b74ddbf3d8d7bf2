"""Lets requests pass by the key and the allowance of their tenant."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Protocol

from sesameroute.forward._local_answers import (
    build_answer,
    build_failure_answer,
)
from sesameroute.forward._request_log import log_event
from sesameroute.forward._request_state import RequestState
from sesameroute.placement import Reason, Refusal
from sesameroute.ports import Answer
from sesameroute.tenants import AllowanceView, Denial, Tenant, hash_keys

__all__ = [
    'Allowances',
    'NoAllowances',
    'TenantGate',
    'identify_tenant',
]

_HASH_CHARACTERS = 8  # enough to tell keys apart, too few to guess one


class Allowances(Protocol):
    """What tenants may still send, over all nodes together."""

    def take(self, tenant: Tenant) -> float | None:
        """Count one request; return None if it is within the allowance.

        Else return the seconds until there is probably room for it.
        """

    def give_back(self, tenant: Tenant) -> None:
        """Count a request as not sent after all."""

    def read_level(self, tenant: str) -> float:
        """Return what this node alone may still let through."""

    def list_views(self, tenant: str) -> list[AllowanceView]:
        """Return what lies at this node, then at the nodes that it asks.

        Counts nothing, and moves nothing.
        """


class NoAllowances:
    """Lets all requests pass; for a node without other nodes."""

    def take(self, _tenant: Tenant) -> None:
        """Return None: the request is within the allowance."""

    def give_back(self, _tenant: Tenant) -> None:
        """Do nothing."""

    def read_level(self, _tenant: str) -> float:
        """Return nothing."""
        return 0

    def list_views(self, _tenant: str) -> list[AllowanceView]:
        """Return nothing."""
        return []


def identify_tenant(state: RequestState) -> None:
    """Set the tenant of a request, or why it is not let through.

    Called again whenever the configuration has changed: a key may have been
    taken away or have passed to another tenant.
    """
    state.tenant = None
    state.denial = None
    if not _needs_key(state):
        return
    found = state.table.tenants.identify(state.request_metadata.keys)
    if isinstance(found, Denial):
        state.denial = found
        return
    state.tenant = found
    if found.homes and state.route.homes and not state.homes:
        state.denial = Denial.NO_REGION


class TenantGate:
    """Refuses requests without a valid key or beyond the allowance.

    What is refused has not run, and costs its tenant nothing.

    Attributes
    ----------
    allowances_ : Allowances
        What tenants may still send.
    record_ : callable
        Logs and counts an answer to a key, see `Refusals.record`.
    tenant_observer_ : callable
        Called with the tenant and the result of each request of a tenant.
    may_take_keys_ : callable
        Returns whether this node knows well enough which keys are in force.

    """

    def __init__(self) -> None:
        """Limit no tenant."""
        self.allowances_: Allowances = NoAllowances()
        self.record_: Callable[..., None] = _ignore
        self.tenant_observer_: Callable[[Tenant, str], None] = _ignore
        self.may_take_keys_: Callable[[], bool] = _permit

    def check_key(self, state: RequestState) -> Answer | None:
        """Return the answer to a request that is not let through, or None."""
        denial = state.denial
        if _needs_key(state) and not self.may_take_keys_():
            denial = Denial.OUT_OF_TOUCH
        if denial is None:
            return None
        status = (
            HTTPStatus.UNAUTHORIZED
            if denial.is_final
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        self.record_(
            status,
            denial.value,
            request=state.request_metadata.identifier,
            route=state.route.name,
            key=_hash_keys(state.request_metadata.keys),
        )
        if state.may_have_run:
            return build_failure_answer(state.last_error, 0, may_have_run=True)
        return build_answer(status, denial.value)

    def take_allowance(self, state: RequestState) -> Refusal | None:
        """Return a refusal of a try beyond the allowance, or None.

        Each try that may run counts once.
        """
        tenant = state.tenant
        if tenant is None or tenant == state.charged:
            return None
        self.settle(state)
        seconds = self.allowances_.take(tenant) if tenant.rate else None
        if seconds is None:
            state.charged = tenant
            self.tenant_observer_(tenant, 'allowed')
            return None
        refusal = Refusal(Reason.OVER_ALLOWANCE, seconds)
        self.tenant_observer_(tenant, refusal.reason.value)
        log_event(
            state,
            'request over allowance',
            refusal.reason.value,
            '',
            tenant=tenant.name,
            rate=tenant.rate,
            burst=tenant.burst,
            tokens=round(self.allowances_.read_level(tenant.name), 2),
            retry_after_s=round(seconds, 3),
        )
        return refusal

    @contextmanager
    def settling(self, state: RequestState) -> Iterator[None]:
        """Give back at the end what is counted and has not been sent."""
        try:
            yield
        finally:  # noqa: WPS501 - nothing is caught
            self.settle(state)

    def settle(self, state: RequestState) -> None:
        """Give back what is counted for a try that has not been sent."""
        charged = state.charged
        state.charged = None
        if charged is not None and charged.rate:
            self.allowances_.give_back(charged)


def _needs_key(state: RequestState) -> bool:
    return state.table.tenants.is_used and not state.route.is_anonymous


def _hash_keys(keys: tuple[str, ...]) -> str:
    """Return a short hash of the keys of a request, '-' for none.

    Examples
    --------
    >>> _hash_keys(('secret',)), _hash_keys(())
    ('2bb80d53', '-')

    """
    if not keys:
        return '-'
    return hash_keys(*keys)[:_HASH_CHARACTERS]


def _permit() -> bool:
    return True


def _ignore(*_arguments: object, **_details: object) -> None:
    """Do nothing; the default observer."""
