"""How long requests travel to the servers of other regions and back.

Answers a region that sends half of its requests abroad: 110 ms of travel
beside runs of 130 to 225 ms. Counted as run time, the travel made demand look
half again as large, and requests that had waited left too late for it.
"""

from sesameroute.placement._estimates import Estimate, Estimates
from sesameroute.placement._messages import SlotRequest
from sesameroute.placement._spillover import SpilloverPlan

__all__ = ['TravelTimes']

# An estimate of nothing would stay so: it grows by a part of itself at a time.
_MIN_SECONDS = 0.01


class TravelTimes:
    """Travel to other regions, beside the run, while the plan leads.

    Parameters
    ----------
    plan : SpilloverPlan
        Tells the own region, and whether it leads.
    estimates : Estimates
        Typical run times without travel.

    """

    def __init__(self, plan: SpilloverPlan, estimates: Estimates) -> None:
        """Start without travel."""
        self.plan = plan
        self.estimates = estimates
        self._travel: dict[str, Estimate] = {}

    def find(self, region: str) -> float:
        """Return the usual travel to a region and back in seconds."""
        travel = self._travel.get(region)
        if travel is None or not self.plan.is_leading_:
            return 0
        return travel.seconds

    def observe_hit(
        self, slot_request: SlotRequest, region: str, seconds: float
    ) -> None:
        """Learn from the time of a run with the object cached."""
        hit = self.estimates.find_hit(slot_request.flow, slot_request.objective)
        is_abroad = region != self.plan.region
        if not (is_abroad and hit.runs and self.plan.is_leading_):
            return
        travel = self._travel.setdefault(region, Estimate(0))
        travel.observe(max(seconds - hit.seconds, _MIN_SECONDS))
