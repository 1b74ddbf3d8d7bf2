"""Keeps the tries beyond the first under the fleet's budget."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.limits import Budget

__all__ = ['RetryBudgets', 'RetryTerms']

_RATIO_PART = 0.8  # of the fleet's ratio: windows of nodes do not line up
_SLACK_PART = 0.5  # of the fleet's slack that is shared out


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """The fleet's budget for each service.

    Attributes
    ----------
    ratio : float
        Tries beyond the first per request.
    slack : float
        Tries beyond that in a window, over all nodes.

    """

    ratio: float
    slack: float


class RetryBudgets:
    """One budget for each service.

    Parameters
    ----------
    terms : RetryTerms
        The fleet's budget.
    count_nodes : callable
        Returns how many nodes share the slack.
    is_leaving : callable
        Whether this node has been told to stop.

    """

    def __init__(
        self,
        terms: RetryTerms,
        count_nodes: Callable[[], int],
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        """Store the parameters."""
        self.terms = terms
        self.count_nodes = count_nodes
        self.is_leaving = is_leaving
        self._budgets: dict[str, Budget] = {}
        self._lock = threading.Lock()

    def observe(self, service: str) -> None:
        """Count a request's first try."""
        self._find(service).observe()

    def choose(self, service: str) -> bool:
        """Take leave for one more try; return whether it is permitted."""
        return self._find(service).choose()

    def abandon(self, service: str) -> bool:
        """Take leave to give a running try up for another one.

        A leaving node cuts nothing at which a backend server is at work.
        """
        return not self.is_leaving() and self.choose(service)

    def _find(self, service: str) -> Budget:
        with self._lock:
            # The number of nodes is known only some time after the start.
            slack = _SLACK_PART * self.terms.slack / max(self.count_nodes(), 1)
            ratio = min(_RATIO_PART * self.terms.ratio, 1)
            budget = self._budgets.get(service)
            if budget is None:
                budget = Budget(ratio, max(slack, 1))
                self._budgets[service] = budget
            budget.resize(ratio, max(slack, 1))
            return budget
