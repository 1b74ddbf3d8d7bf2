"""A tenant as the configuration defines it."""

from dataclasses import dataclass

__all__ = ['Tenant']


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant: who may send requests, how many and where they may run.

    Attributes
    ----------
    keys : frozenset of str
        Secrets by which its requests are known.
    priority : int
        Priority under overload, before that of the route; 0 is the highest.
    rate : float
        Requests per second that it may send to all nodes; 0 means no limit.
    burst : float
        Requests that it may send beyond the rate after a pause.
    homes : frozenset of str
        Regions that may serve it; empty means all.

    """

    name: str
    keys: frozenset[str]
    priority: int = 0
    rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()

    def limit_homes(self, homes: frozenset[str]) -> frozenset[str]:
        """Return the regions that a route and the tenant both permit.

        Examples
        --------
        >>> one = Tenant('t', frozenset(), homes=frozenset({'north', 'south'}))
        >>> one.limit_homes(frozenset({'north'}))
        frozenset({'north'})

        """
        others = self.homes
        return homes & others if homes and others else homes | others
