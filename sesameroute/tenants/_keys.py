"""Decides by its key whose a request is.

Answers the load of callers whose keys come, go and pass to other tenants while
their connections are kept and their requests wait.
"""

from collections.abc import Iterable
from enum import StrEnum, unique

from sesameroute.tenants._model import Tenant

__all__ = ['Denial', 'TenantIndex']


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
