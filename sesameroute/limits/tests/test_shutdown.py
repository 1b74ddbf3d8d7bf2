"""Tests of the decision which requests a stopping process still starts."""

import math

import pytest

from sesameroute.limits import Shutdown

_TARGET_LATENCY = 0.5


@pytest.mark.parametrize(
    ('grace', 'elapsed', 'time_limit', 'may_start'),
    [
        (6, 0, 9, True),
        (6, 2.9, 9, True),
        (6, 3.1, 9, False),
        (6, 3.1, 2.8, True),
        (6, 5.5, 0.4, True),
        (6, 5.5, 0.6, False),
        (2, 0.4, 9, True),
        (2, 0.6, 9, False),
        (30, 3.1, 60, False),
        (30, 3.1, 20, True),
    ],
)
def test_starts_what_will_be_answered_in_time(
    grace, elapsed, time_limit, may_start
):
    """A wave of late requests starts no work that the stop would cut."""
    shutdown = Shutdown()
    shutdown.begin(100, 100 + grace)
    now = 100 + elapsed
    deadline = now + time_limit
    assert shutdown.may_start(now, deadline, _TARGET_LATENCY) is may_start
    limited = shutdown.limit_deadline(deadline)
    assert limited == min(deadline, 100 + grace)
    assert shutdown.may_start(now, limited, _TARGET_LATENCY) is may_start


def test_everything_starts_without_a_stop():
    """Without a stop, neither requests nor their deadlines are limited."""
    shutdown = Shutdown()
    assert not shutdown.has_begun()
    assert shutdown.may_start(5, math.inf, _TARGET_LATENCY)
    assert shutdown.limit_deadline(7) == 7
