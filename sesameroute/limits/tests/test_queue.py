"""Who goes first, who goes last and who has to go."""

import pytest

from sesameroute.limits import Waiter, WaitQueue
from sesameroute.routing.tests import samples

NOW = 100  # seconds
LIMIT = 3  # requests


def build_waiter(left, since=NOW):
    """Return a waiter that came with a part of its deadline left."""
    kind = samples.build_request().kind
    deadline = since + left * kind.deadline_ms / 1000 if left else 0
    request = samples.build_request(deadline=deadline)
    return Waiter(request, (), since, since + 1)


@pytest.mark.parametrize(
    ('left', 'is_spent'),
    [(None, False), (1, False), (0.6, False), (0.4, True), (0.1, True)],
)
def test_spent(left, is_spent):
    """A request with less than half of its deadline left is spent."""
    assert build_waiter(left).is_spent is is_spent


def test_first_comers_go_before_the_spent():
    """Those with time left go first, in the order in which they came."""
    queue = WaitQueue(LIMIT)
    spent = build_waiter(0.3)
    older = build_waiter(1, NOW + 1)
    newer = build_waiter(1, NOW + 2)
    for waiter in (spent, newer, older):
        assert queue.offer(waiter) is None
    assert queue.waiting_ == [older, newer, spent]
    assert queue.offer(build_waiter(1, NOW + 3)) is spent
