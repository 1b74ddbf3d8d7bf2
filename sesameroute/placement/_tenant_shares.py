"""Which tenants use more than their fair share of a pool.

Load: one tenant sends seven times its usual requests while there is too
little room. Its requests would take the slots in proportion to their number,
and every other tenant would be refused as often as it is.
"""

import math
from dataclasses import dataclass

__all__ = ['TenantShares']

_HALF_LIFE_SECONDS = 1.5
# Grants that no tenant is blamed for; small tenants send single requests.
_FREE_GRANTS = 2.0
# A tenant is served as others up to this multiple of the fair share, so that
# the others get less than a fraction of it only if they ask for less.
_MAX_FAIR_MULTIPLE = 2.0
_MAX_LEVEL = 8
_MAX_TENANTS = 1024
_MIN_GRANTS = 0.01


@dataclass(slots=True)
class _Usage:
    """Decayed number of a tenant's grants, and its weight."""

    grants: float
    weight: float


class TenantShares:
    """Recent grants of each tenant, in proportion to its allowance.

    A tenant without an allowance has the average weight of the others.

    Examples
    --------
    >>> shares = TenantShares()
    >>> for _ in range(40):
    ...     shares.record('large', 0, now=0)
    >>> for name in 'abcdefghij':
    ...     shares.record(name, 0, now=0)
    >>> shares.find_level('large', now=0), shares.find_level('a', now=0)
    (3, 0)

    """

    def __init__(self) -> None:
        """Start without grants."""
        self._usages: dict[str, _Usage] = {}
        self._decayed_at = -math.inf

    def record(self, tenant: str, allowance: float, now: float) -> None:
        """Count a grant; requests without a tenant don't count."""
        if not tenant:
            return
        self._decay(now)
        usage = self._usages.get(tenant)
        if usage is None:
            if len(self._usages) >= _MAX_TENANTS:
                self._drop_smallest()
            usage = _Usage(0, 0)
            self._usages[tenant] = usage
        usage.weight = allowance
        usage.grants += 1

    def find_level(self, tenant: str, now: float) -> int:
        """Return 0 for a fair share, and one more for each doubling of it."""
        usage = self._usages.get(tenant)
        if usage is None:
            return 0
        self._decay(now)
        excess = usage.grants - _FREE_GRANTS
        if excess <= 0:
            return 0
        fair = self._compute_fair_grants(usage)
        if excess <= _MAX_FAIR_MULTIPLE * fair:
            return 0
        return min(int(math.log2(excess / fair)), _MAX_LEVEL)

    def _compute_fair_grants(self, usage: _Usage) -> float:
        """Return the grants of a tenant if all had grants by their weight."""
        weights = [each.weight for each in self._usages.values()]
        known = [weight for weight in weights if weight] or [1.0]
        average = sum(known) / len(known)
        total_weight = sum(weight or average for weight in weights)
        total = sum(each.grants for each in self._usages.values())
        return total * (usage.weight or average) / total_weight

    def _decay(self, now: float) -> None:
        """Reduce all counts, in steps so that it costs little."""
        age = now - self._decayed_at
        if age < _HALF_LIFE_SECONDS / _MAX_LEVEL:
            return
        self._decayed_at = now
        factor = 0.5 ** (age / _HALF_LIFE_SECONDS)
        for usage in self._usages.values():
            usage.grants *= factor
        self._usages = {
            tenant: kept
            for tenant, kept in self._usages.items()
            if kept.grants > _MIN_GRANTS
        }

    def _drop_smallest(self) -> None:
        smallest = min(
            self._usages, key=lambda tenant: self._usages[tenant].grants
        )
        self._usages.pop(smallest)
