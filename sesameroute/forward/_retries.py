"""Limits retries to this node's share of the fleet's retry budget."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.limits import Budget

__all__ = ['RetryBudgets', 'FleetRetryBudget']

# Part of the fleet's ratio that nodes use, because the time windows of
# different nodes are not aligned.
_USED_RATIO_FRACTION = 0.8
# Part of the fleet's slack that is divided among the nodes.
_SHARED_SLACK_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class FleetRetryBudget:
    """The fleet's retry budget for each service.

    Attributes
    ----------
    ratio : float
        Retries per request.
    slack : float
        Retries beyond that in a time window, over all nodes.

    """

    ratio: float
    slack: float


class RetryBudgets:
    """This node's retry budget for each service.

    A process starts without retries and earns them with its requests, so that
    restarts add none to what the fleet may send in a time window.

    Parameters
    ----------
    fleet_budget : FleetRetryBudget
        The fleet's budget; may be replaced at any time.
    count_nodes : callable
        Returns the number of nodes that share the slack.
    is_leaving : callable
        Returns whether this node is shutting down.

    """

    def __init__(
        self,
        fleet_budget: FleetRetryBudget,
        count_nodes: Callable[[], int],
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        """Store the parameters."""
        self.fleet_budget = fleet_budget
        self.count_nodes = count_nodes
        self.is_leaving = is_leaving
        self._budgets: dict[str, Budget] = {}
        self._lock = threading.Lock()

    def observe(self, service: str) -> None:
        """Count the first try of a request."""
        self._find_budget(service).record_first_attempt()

    def acquire(self, service: str) -> bool:
        """Use the budget for one retry; return whether it allowed one."""
        return self._find_budget(service).try_acquire()

    def acquire_replacement(self, service: str) -> bool:
        """Use the budget for a retry that replaces a running try.

        Returns False on a node that is shutting down: it never abandons a
        try that a backend server may be working on.
        """
        return not self.is_leaving() and self.acquire(service)

    def _find_budget(self, service: str) -> Budget:
        with self._lock:
            # Computed at each call, because the number of nodes is known only
            # some time after the start.
            slack = (
                _SHARED_SLACK_FRACTION
                * self.fleet_budget.slack
                / max(self.count_nodes(), 1)
            )
            ratio = min(_USED_RATIO_FRACTION * self.fleet_budget.ratio, 1)
            budget = self._budgets.get(service)
            if budget is None:
                # The process may have used its share before a restart.
                budget = Budget(ratio, max(slack, 1), is_full=False)
                self._budgets[service] = budget
            budget.resize(ratio, max(slack, 1))
            return budget
