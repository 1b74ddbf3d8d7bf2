"""Tests of dividing the fleet's retry budget among its nodes."""

import pytest

from sesameroute.forward import FleetRetryBudget, RetryBudgets

SLACK = 40  # retries


def count_retries(budgets):
    """Return how many retries in a row the budget allows."""
    count = 0
    while budgets.acquire('s'):
        count += 1
    return count


@pytest.mark.parametrize(('nodes', 'allowed'), [(1, 20), (4, 5), (100, 1)])
def test_slack_is_shared_by_the_nodes(nodes, allowed):
    """Each node may use an equal part of half of the slack."""
    budgets = RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: nodes)
    assert count_retries(budgets) == allowed


def test_slack_shrinks_when_nodes_join():
    """The slack shrinks once a node learns of other nodes."""
    nodes = [1]
    budgets = RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: nodes[0])
    budgets.observe('s')
    nodes[0] = 4
    assert count_retries(budgets) == 5


def test_changed_fleet_budget_applies_to_next_retry():
    """A changed fleet budget applies to the next retry."""
    budgets = RetryBudgets(FleetRetryBudget(0.2, SLACK), lambda: 1)
    budgets.observe('s')
    budgets.fleet_budget = FleetRetryBudget(0, 0)
    assert count_retries(budgets) == 0
