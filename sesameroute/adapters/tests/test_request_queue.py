"""Tests of the queue before the threads of a front."""

import threading
from unittest.mock import Mock

from sesameroute.adapters._request_queue import RequestQueue
from sesameroute.limits import ConcurrencyBounds, ConcurrencyLimit

_TIMEOUT_SECONDS = 5


def test_raised_limit_wakes_a_thread_for_what_waits():
    """A request that was kept for a free thread waited for the next one."""
    queue = RequestQueue(ConcurrencyLimit(ConcurrencyBounds(lowest=1)))
    queue.limit.limit_ = 1
    queue.serving_.add('long')
    taken = []
    thread = threading.Thread(target=lambda: taken.append(queue.take()))
    thread.start()
    while not queue.idle_:
        thread.join(0.001)
    waiting = Mock()
    queue.submit(waiting)
    queue.limit.limit_ = 2
    assert not queue.pop_expired()
    thread.join(_TIMEOUT_SECONDS)
    queue.stop()
    assert taken == [(waiting, [])]
