"""Metrics of the largest tenants, and of all others together."""

from collections.abc import Callable

from sesameroute.routes import ActiveConfiguration, Configuration
from sesameroute.telemetry import Meter, Metric
from sesameroute.tenants import Tenant

__all__ = ['TenantMeter']

_MAX_COUNT = 10
_OTHERS = 'others'


class TenantMeter:
    """Counts by tenant, for those with the largest allowances.

    Parameters
    ----------
    meter : Meter
        Holds the metrics.
    active_configuration : ActiveConfiguration
        Holds the tenants in force.

    Attributes
    ----------
    read_level_ : callable
        Returns the tokens of a tenant that lie at this node.

    """

    def __init__(
        self, meter: Meter, active_configuration: ActiveConfiguration
    ) -> None:
        """Store the parameters."""
        self.meter = meter
        self.active_configuration = active_configuration
        self.read_level_: Callable[[str], float] = _read_none
        self._configuration: Configuration | None = None
        self._largest: frozenset[str] = frozenset()

    def observe(self, tenant: Tenant, result: str) -> None:
        """Count a try of a tenant's request by what its allowance said."""
        is_large = tenant.name in self.list_largest()
        self.meter.add(
            Metric.TENANT_TRIES,
            tenant=tenant.name if is_large else _OTHERS,
            result=result,
        )

    def update(self) -> None:
        """Set the gauges of the tokens that lie at this node."""
        for name in self.list_largest():
            self.meter.set(
                Metric.TENANT_TOKENS, self.read_level_(name), tenant=name
            )

    def list_largest(self) -> frozenset[str]:
        """Return the names of the tenants that are counted by themselves."""
        configuration = self.active_configuration.configuration
        if configuration and configuration is not self._configuration:
            ranked = sorted(configuration.tenants, key=lambda each: -each.rate)
            self._largest = frozenset(each.name for each in ranked[:_MAX_COUNT])
            self._configuration = configuration
        return self._largest


def _read_none(_name: str) -> float:
    """Return no tokens; the default of `TenantMeter.read_level_`."""
    return 0
