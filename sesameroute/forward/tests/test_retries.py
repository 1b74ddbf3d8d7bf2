"""Tests of dividing the fleet's retry budget among its nodes."""

import bisect
import itertools
import random

import pytest

from sesameroute.forward import FleetRetryBudget, RetryBudgets
from sesameroute.forward.tests.harness import earn_retries

SLACK = 40  # retries
RATIO = 0.2
WINDOW_SECONDS = 10


def count_retries(budgets):
    """Return how many retries in a row the budget allows."""
    count = 0
    while budgets.acquire('s'):
        count += 1
    return count


@pytest.mark.parametrize(('nodes', 'allowed'), [(1, 20), (4, 5), (100, 1)])
def test_slack_is_shared_by_the_nodes(nodes, allowed):
    """Each node may use an equal part of half of the slack."""
    budgets = earn_retries(
        RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: nodes)
    )
    assert count_retries(budgets) == allowed


def test_slack_shrinks_when_nodes_join():
    """The slack shrinks once a node learns of other nodes."""
    nodes = [1]
    budgets = RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: nodes[0])
    earn_retries(budgets)
    nodes[0] = 4
    assert count_retries(budgets) == 5


def test_changed_fleet_budget_applies_to_next_retry():
    """A changed fleet budget applies to the next retry."""
    budgets = RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: 1)
    earn_retries(budgets)
    budgets.fleet_budget = FleetRetryBudget(0, 0)
    assert count_retries(budgets) == 0


class FailingFleet:
    """Nodes whose requests all fail and are sent again within the budget.

    Parameters
    ----------
    seed : int
        Seed of the times of requests and of the nodes that get them.
    nodes : int
        Number of nodes.

    """

    def __init__(self, seed, nodes):
        """Start all nodes with what they have earned in a long time."""
        self.random = random.Random(seed)
        self.now = 0
        self.requests = []
        self.repeats = []
        self.known = nodes
        self.budgets = {}
        for node in range(nodes):
            self.start(node)
        for budgets in self.budgets.values():
            earn_retries(budgets)

    def start(self, node):
        """Start a node, or start it again."""
        self.budgets[node] = RetryBudgets(
            FleetRetryBudget(RATIO, SLACK), lambda: self.known
        )

    def play(self, seconds, per_second, disturb):
        """Send requests; call `disturb` with each time before a request."""
        while self.now < seconds:
            self.now += self.random.expovariate(per_second)
            disturb(self.now)
            budgets = self.random.choice(list(self.budgets.values()))
            self.requests.append(self.now)
            budgets.observe('s')
            if budgets.acquire('s'):
                self.repeats.append(self.now)

    def compute_excess(self):
        """Return the most repeats in a window beyond what is allowed."""
        return max(
            self._count(self.repeats, start)
            - RATIO
            * max(
                self._count(self.requests, start - WINDOW_SECONDS * part)
                for part in (0, 0.5, 1)
            )
            - SLACK
            for start in self.requests
        )

    def _count(self, times, start):
        first = bisect.bisect_left(times, start)
        return bisect.bisect_left(times, start + WINDOW_SECONDS) - first


def restart_in_turn(fleet):
    """Return a function that restarts one node every half a second."""
    numbers = itertools.cycle(tuple(fleet.budgets))
    next_at = itertools.count(0, 0.5)
    return _schedule(next_at, lambda: fleet.start(next(numbers)))


def restart_all(fleet):
    """Return a function that restarts all nodes every second."""

    def restart():
        for node in tuple(fleet.budgets):
            fleet.start(node)

    next_at = itertools.count(0, 1)
    return _schedule(next_at, restart)


def cut_apart(fleet):
    """Return a function after which each node knows itself alone."""
    next_at = itertools.count(2, 1000)
    return _schedule(next_at, lambda: setattr(fleet, 'known', 1))


def add_nodes(fleet):
    """Return a function that adds a node every half a second."""
    numbers = itertools.count(len(fleet.budgets))

    def add():
        fleet.start(next(numbers))
        fleet.known += 1

    next_at = itertools.count(0, 0.5)
    return _schedule(next_at, add)


def _schedule(times, act):
    due = [next(times)]

    def disturb(now):
        while due[0] <= now:
            due[0] = next(times)
            act()

    return disturb


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [1, 6, 30])
@pytest.mark.parametrize('per_second', [5, 20, 60])
@pytest.mark.parametrize(
    'trouble', [restart_in_turn, restart_all, cut_apart, add_nodes]
)
def test_fleet_keeps_its_retry_budget(trouble, per_second, nodes, seed):
    """Each restart filled a bucket anew, and each part of a cut fleet too."""
    fleet = FailingFleet(seed, nodes)
    fleet.play(2 * WINDOW_SECONDS, per_second, trouble(fleet))
    assert fleet.compute_excess() <= 0
