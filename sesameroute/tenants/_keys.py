"""Decides by its key whose a request is.

Answers the load of callers whose keys come, go and pass to other tenants while
their connections are kept and their requests wait.
"""

import hashlib
from collections.abc import Iterable
from enum import StrEnum, unique

from sesameroute.exceptions import InputError
from sesameroute.tenants._model import Tenant

__all__ = ['Denial', 'TenantIndex', 'hash_keys']


@unique
class Denial(StrEnum):
    """Why a request that needs a key is not let through."""

    NO_KEY = 'no-key'
    SEVERAL_KEYS = 'several-keys'
    UNKNOWN_KEY = 'unknown-key'
    # A tenant that this build does not understand may hold the key.
    UNCLEAR_KEY = 'unclear-key'
    # The regions of the tenant and those of the route have none in common.
    NO_REGION = 'no-region'
    # Keys may have been taken away that this node would still take.
    OUT_OF_TOUCH = 'out-of-touch'

    @property
    def is_final(self) -> bool:
        """Whether the request is refused for good, not turned away."""
        return self not in {
            Denial.UNCLEAR_KEY,
            Denial.NO_REGION,
            Denial.OUT_OF_TOUCH,
        }


def hash_keys(*keys: str) -> str:
    """Return a digest of the keys of a request, for logs and operators.

    Examples
    --------
    >>> hash_keys('secret')[:8]
    '2bb80d53'

    """
    return hashlib.sha256('\0'.join(keys).encode()).hexdigest()


class TenantIndex:
    """Tenants of one configuration, indexed by key.

    Parameters
    ----------
    tenants : iterable of Tenant
        The tenants that this build understands.
    has_unreadable : bool, optional
        Whether there are others.

    Attributes
    ----------
    is_used : bool
        Whether requests need keys: the configuration has tenants.

    Examples
    --------
    >>> index = TenantIndex([Tenant('school', frozenset({'k1', 'k2'}))])
    >>> index.identify(['k2']).name
    'school'
    >>> index.identify(['k3']), index.identify([]).is_final
    (<Denial.UNKNOWN_KEY: 'unknown-key'>, True)

    """

    def __init__(
        self, tenants: Iterable[Tenant], *, has_unreadable: bool = False
    ) -> None:
        """Index the tenants; a key that two hold is that of the first."""
        self.has_unreadable = has_unreadable
        self._by_key: dict[str, Tenant] = {}
        self.by_name: dict[str, Tenant] = {}
        for tenant in tenants:
            self.by_name[tenant.name] = tenant
            for key in tenant.keys:
                self._by_key.setdefault(key, tenant)
        self.is_used = bool(self.by_name) or has_unreadable

    def identify(self, keys: Iterable[str]) -> Tenant | Denial:
        """Return the tenant that holds the key of a request.

        Parameters
        ----------
        keys : iterable of str
            All keys that the request bears; a sound one bears one.

        """
        borne = tuple(keys)
        if len(borne) > 1:
            return Denial.SEVERAL_KEYS
        if not any(borne):
            return Denial.NO_KEY
        tenant = self._by_key.get(borne[0])
        if tenant is not None:
            return tenant
        return Denial.UNCLEAR_KEY if self.has_unreadable else Denial.UNKNOWN_KEY

    def find_by_hash(self, beginning: str) -> Tenant | Denial:
        """Return the tenant of the key whose digest begins so.

        Raises
        ------
        InputError
            Keys of several tenants do.

        """
        found = {
            tenant.name: tenant
            for key, tenant in self._by_key.items()
            if hash_keys(key).startswith(beginning)
        }
        if len(found) > 1:
            raise InputError(f'key {beginning}: {len(found)} tenants have one')
        if found:
            return next(iter(found.values()))
        return Denial.UNCLEAR_KEY if self.has_unreadable else Denial.UNKNOWN_KEY
