"""How far allowances may be exceeded, and what follows for their parts."""

from dataclasses import dataclass

from sesameroute.tenants._model import Tenant

__all__ = ['Allowance', 'QuotaBounds']

# Part of the slack that goes into the rate, and as much into the burst; the
# rest covers rounding.
_SLACK_FRACTION = 0.45
# Part of the excess that covers tokens that are on their way between nodes.
_TRANSIT_FRACTION = 0.4


@dataclass(frozen=True, slots=True)
class Allowance:
    """What all nodes together let through for one tenant.

    Attributes
    ----------
    rate : float
        Requests per second.
    burst : float
        Tokens that all nodes together may hold.

    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bounds on what a tenant's requests may exceed its allowance by.

    In any span of `window` seconds at most ``(rate * window + burst) * (1 +
    excess) + slack`` requests run.

    Attributes
    ----------
    window : float
        Length of the span in seconds.
    excess : float
        Fraction of the allowance.
    slack : float
        Number of requests.

    """

    window: float = 5.0
    excess: float = 0.1
    slack: float = 20

    def compute_allowance(self, tenant: Tenant) -> Allowance:
        """Return what the nodes may let through.

        The slack is handed out, too: without it a tenant with a few requests
        per second would hardly have a whole token at any place.
        """
        added = self.slack * _SLACK_FRACTION
        return Allowance(
            tenant.rate + added / self.window, tenant.burst + added
        )

    @property
    def max_transit(self) -> float:
        """Seconds after which tokens that a node has sent are void."""
        return self.excess * self.window * _TRANSIT_FRACTION

    @property
    def minority_fraction(self) -> float:
        """Part of its own tokens that a node mints while it is cut off.

        The others, more than half of the region, share its part after a
        while, so that at most half of this is issued twice.
        """
        return self.excess
