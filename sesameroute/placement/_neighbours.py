"""What the pools of other regions say."""

from sesameroute.placement._ask import Report
from sesameroute.placement._plan import RegionLoad

__all__ = ['Neighbours']

_REPORT_SECONDS = 1.5  # age at which another region's load is dropped


class Neighbours:
    """Loads and shares of the regions, as last reported.

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

    def take(self, report: Report, now: float) -> dict[str, float] | None:
        """Take a report; return what it says of the own region's shares."""
        if report.room and report.region != self.region:
            load = RegionLoad(report.demand, report.room)
            self._loads[report.region] = (load, now)
        for region, shares in report.shares.items():
            if region == report.region or region not in self._shares:
                self._shares[region] = shares
        return report.shares.get(self.region)

    def list_loads(self, now: float) -> dict[str, RegionLoad]:
        """Return the loads that are not too old."""
        return {
            region: load
            for region, (load, taken) in self._loads.items()
            if now - taken <= _REPORT_SECONDS
        }

    def list_shares(self) -> dict[str, dict[str, float]]:
        """Return the other regions' shares."""
        return {
            region: shares
            for region, shares in self._shares.items()
            if region != self.region
        }
