"""Tests of nodes with backend servers that name a limit of requests."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import Cluster, send, wait_for_directory

_LIMIT_PER_SECOND = 4.0
# The bound as it is stated: in each window, one and a half times the limit
# and a few more.
_WINDOW_SECONDS = 4.0
_MAX_RATIO = 1.5
_SLACK_REQUESTS = 5
# From this time after a server first named its limit, the bound holds.
_GRACE_SECONDS = 3.0
_CALLERS = 8


@pytest.fixture
def cluster():
    """Return a cluster that is stopped after the test."""
    running = Cluster()
    yield running
    running.stop()


@pytest.fixture
def servers(cluster):
    """Return three registered backend servers."""
    running = [BackendStandIn(work_seconds=0.01) for _ in range(3)]
    for number, each in enumerate(running):
        cluster.register(f'server-{number}', each)
    yield running
    for each in running:
        each.stop()


class Callers:
    """Callers that send requests without a pause to some nodes.

    Attributes
    ----------
    statuses : list of tuple of (float, int)
        Monotonic time and status of each answer.

    """

    def __init__(self, numbers):
        """Start to send."""
        self.numbers = list(numbers)
        self.statuses = []
        self._is_stopped = threading.Event()
        self._threads = ThreadPoolExecutor(_CALLERS)
        for caller in range(_CALLERS):
            self._threads.submit(self._run, caller)

    def stop(self):
        """Stop sending."""
        self._is_stopped.set()
        self._threads.shutdown()

    def _run(self, caller):
        count = caller
        while not self._is_stopped.is_set():
            count += _CALLERS
            number = self.numbers[count % len(self.numbers)]
            try:
                status = send(number, key=str(count % 24))[0]
            except OSError:
                status = 0  # the node is being restarted
            self.statuses.append((time.monotonic(), status))
            self._is_stopped.wait(0.01)


def name_limit(server, limit=_LIMIT_PER_SECOND):
    """Let a server name a limit in its answers; return since when."""
    server.headers = f'Server-Limit: {limit}\r\n'
    return time.monotonic()


def find_busiest_window(server, since):
    """Return the most requests that a server got in one window."""
    times = [each.time for each in server.arrivals if each.time >= since]
    return max(
        (
            sum(first <= each < first + _WINDOW_SECONDS for each in times)
            for first in times
        ),
        default=0,
    )


def compute_allowance(limit=_LIMIT_PER_SECOND):
    """Return how many requests a server may get in one window."""
    return _MAX_RATIO * limit * _WINDOW_SECONDS + _SLACK_REQUESTS


def test_server_that_names_a_limit_gets_no_more(cluster, servers):
    """Nodes sent on as if no limit had been named."""
    for number in (1, 2, 3):
        cluster.add_node(number, seeds=(1, 2, 3))
    assert wait_for_directory(1, 2, 3)
    callers = Callers((1, 2, 3))
    time.sleep(1)
    named_at = name_limit(servers[0])
    time.sleep(_GRACE_SECONDS + _WINDOW_SECONDS + 1)
    callers.stop()
    since = named_at + _GRACE_SECONDS
    assert find_busiest_window(servers[0], since) <= compute_allowance()
    assert find_busiest_window(servers[0], since)
    assert find_busiest_window(servers[1], since) > compute_allowance()
