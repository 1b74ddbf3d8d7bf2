"""Tests of the bounds on what waits and is served at once."""

import pytest

from sesameroute.limits import (
    AdmissionQueue,
    ConcurrencyBounds,
    ConcurrencyLimit,
)

_STEP_SECONDS = 0.02
_LATE, _PROMPT = 0.2, 0.001


def replay(limit, delays, start=0.0):
    """Let threads start with these delays; return the time of the end."""
    now = start
    for delay in delays:
        now += _STEP_SECONDS
        limit.observe(delay, limit.limit_, now)
    return now


@pytest.mark.parametrize(
    ('delays', 'is_lowered'),
    [
        ([_LATE] * 50, True),
        ([_PROMPT] * 50, False),
        ([_LATE, _LATE, _PROMPT] * 20, False),
        ([_LATE], False),
    ],
)
def test_limit_follows_the_shortest_delay(delays, is_lowered):
    """One late start, as after a pause of the process, says little."""
    limit = ConcurrencyLimit(ConcurrencyBounds())
    replay(limit, delays)
    assert (limit.limit_ < limit.bounds.highest) == is_lowered


def test_limit_rises_while_all_threads_wait_for_servers():
    """A lowered limit stayed low when no thread started any more."""
    limit = ConcurrencyLimit(ConcurrencyBounds())
    now = replay(limit, [_LATE] * 100)
    assert limit.limit_ == limit.bounds.lowest
    replay(limit, [_PROMPT] * 100, now)
    assert limit.limit_ > 10 * limit.bounds.lowest


def test_standing_queue_serves_only_those_who_may_be_there():
    """In a queue without a bound, each was served after it had left."""
    queue = AdmissionQueue()
    for number in range(100):
        queue.push(number, number * _STEP_SECONDS)
    now = 100 * _STEP_SECONDS
    expired = list(queue.pop_expired(now))
    assert expired[0] == 0
    assert queue.pop(now) == 99
    longest = queue.bounds.standing_seconds
    assert queue.read_oldest_seconds(now) <= longest
