"""Latest reports of the pools of other regions."""

from sesameroute.placement._messages import PoolReport
from sesameroute.placement._spillover import RegionLoad

__all__ = ['RegionReports']

# Older loads of other regions are ignored.
_MAX_REPORT_AGE_SECONDS = 1.5


class RegionReports:
    """Loads of the regions and their spillover shares, as last reported.

    Parameters
    ----------
    region : str
        The pool's own region.

    """

    def __init__(self, region: str) -> None:
        """Start without reports."""
        self.region = region
        self._loads: dict[str, tuple[RegionLoad, float]] = {}
        self._shares: dict[str, dict[str, float]] = {}

    def record(self, report: PoolReport, now: float) -> dict[str, float] | None:
        """Record a report.

        Returns
        -------
        dict of str to float or None
            The shares of the pool's own region, if the report contains them.

        """
        if report.room and report.region != self.region:
            load = RegionLoad(report.demand, report.room)
            self._loads[report.region] = (load, now)
        for region, shares in report.shares.items():
            if region == report.region or region not in self._shares:
                self._shares[region] = shares
        return report.shares.get(self.region)

    def list_loads(self, now: float) -> dict[str, RegionLoad]:
        """Return the loads of other regions that are recent enough."""
        return {
            region: load
            for region, (load, recorded_at) in self._loads.items()
            if now - recorded_at <= _MAX_REPORT_AGE_SECONDS
        }

    def list_shares(self) -> dict[str, dict[str, float]]:
        """Return the last known spillover shares of the other regions."""
        return {
            region: shares
            for region, shares in self._shares.items()
            if region != self.region
        }
