"""Tests of the decision whose a request is."""

import pytest

from sesameroute.tenants import Denial, Tenant, TenantIndex

_TENANTS = (
    Tenant('one', frozenset({'k1', 'k2'})),
    Tenant('two', frozenset({'k3', 'k2'})),
)


@pytest.mark.parametrize(
    ('keys', 'expected'),
    [
        (['k1'], 'one'),
        (['k3'], 'two'),
        (['k2'], 'one'),
        (['K1'], Denial.UNKNOWN_KEY),
        (['k1, k1'], Denial.UNKNOWN_KEY),
        ([''], Denial.NO_KEY),
        ([], Denial.NO_KEY),
        (['k1', 'k1'], Denial.SEVERAL_KEYS),
        (['', 'k1'], Denial.SEVERAL_KEYS),
        (['k' * 1_000_000], Denial.UNKNOWN_KEY),
    ],
)
def test_key_tells_the_tenant(keys, expected):
    """Only a key that a tenant holds names it, and only one key."""
    found = TenantIndex(_TENANTS).identify(keys)
    assert getattr(found, 'name', '') == expected or found is expected
    if isinstance(found, Denial):
        assert found.is_final


def test_unreadable_tenant_may_hold_the_key():
    """Nobody can say that such a key is wrong."""
    index = TenantIndex(_TENANTS, has_unreadable=True)
    assert index.identify(['k1']).name == 'one'
    assert index.identify(['other']) is Denial.UNCLEAR_KEY
    assert not Denial.UNCLEAR_KEY.is_final


def test_no_tenants_need_no_keys():
    """Requests need keys once a tenant exists, readable or not."""
    assert not TenantIndex(()).is_used
    assert TenantIndex((), has_unreadable=True).is_used
