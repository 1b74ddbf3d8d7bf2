"""The fleet's budget of retries, shared out among its nodes."""

import pytest

from sesameroute.forward import RetryBudgets, RetryTerms

SLACK = 40  # tries


def count_choices(budgets):
    """Return the tries that are permitted one after the other."""
    count = 0
    while budgets.choose('s'):
        count += 1
    return count


@pytest.mark.parametrize(('nodes', 'permitted'), [(1, 20), (4, 5), (100, 1)])
def test_slack_is_shared_by_the_nodes(nodes, permitted):
    """Each node takes its part of half of the slack."""
    budgets = RetryBudgets(RetryTerms(0.2, SLACK), lambda: nodes)
    assert count_choices(budgets) == permitted


def test_slack_shrinks_when_nodes_are_found():
    """A node that knew nobody at its first request gives the rest back."""
    nodes = [1]
    budgets = RetryBudgets(RetryTerms(0.2, SLACK), lambda: nodes[0])
    budgets.observe('s')
    nodes[0] = 4
    assert count_choices(budgets) == 5


def test_terms_may_change():
    """Other terms are in force at the next try."""
    budgets = RetryBudgets(RetryTerms(0.2, SLACK), lambda: 1)
    budgets.observe('s')
    budgets.terms = RetryTerms(0, 0)
    assert count_choices(budgets) == 0
