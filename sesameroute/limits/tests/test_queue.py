"""The order of service in the wait queue, and which request is evicted."""

import pytest

from sesameroute.limits import WaitingRequest, WaitQueue
from sesameroute.routing.tests import samples

NOW = 100  # seconds
LIMIT = 3  # requests


def build_waiter(fraction_left, arrived_at=NOW):
    """Return a waiter that arrived with a fraction of its deadline left.

    Without a fraction, the request has no deadline.
    """
    kind = samples.build_request().kind
    deadline = (
        arrived_at + fraction_left * kind.deadline_ms / 1000
        if fraction_left
        else 0
    )
    request = samples.build_request(deadline=deadline)
    return WaitingRequest(request, (), arrived_at, arrived_at + 1)


@pytest.mark.parametrize(
    ('fraction_left', 'is_deadline_low'),
    [(None, False), (1, False), (0.6, False), (0.4, True), (0.1, True)],
)
def test_deadline_low(fraction_left, is_deadline_low):
    """A deadline is low when less than half of it is left."""
    assert build_waiter(fraction_left).is_deadline_low is is_deadline_low


def test_low_deadlines_are_served_last_and_evicted():
    """Requests with enough time left are served first, in arrival order."""
    queue = WaitQueue(LIMIT)
    low = build_waiter(0.3)
    older = build_waiter(1, NOW + 1)
    newer = build_waiter(1, NOW + 2)
    for waiter in (low, newer, older):
        assert queue.push(waiter) is None
    assert queue.waiting_ == [older, newer, low]
    assert queue.push(build_waiter(1, NOW + 3)) is low
