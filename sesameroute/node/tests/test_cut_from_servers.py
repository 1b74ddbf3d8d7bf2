"""Tests of nodes that are partitioned from all backend servers."""

import itertools
import threading
import time
from collections import Counter, namedtuple
from concurrent.futures import ThreadPoolExecutor

import pytest

from sesameroute.forward.tests.servers import LONG_BODY_BYTES
from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import FRONT_PORT, call, is_ready, wait_for
from sesameroute.node.tests.partition import Cut

_SERVERS = 6
_CALLERS = 4
# The bound as it is stated: from this time after the cut began, ...
_CONTACT_SECONDS = 3.0
# ... the nodes that are cut off serve this part of what the others serve.
_MIN_SERVED_RATIO = 2 / 3
# Part of the requests that the other nodes serve at the least.
_MIN_SERVED = 0.9
_MEASURED_SECONDS = 1.5
_WARM_UP_SECONDS = 0.5

_ZONES = {1: 'north-a', 2: 'north-a', 3: 'north-b', 4: 'south-a'}
# Nodes that are cut off: one, all of a zone, all of a region, most of them.
_ONE, _ZONE, _REGION, _MOST = (1,), (1, 2), (4,), (1, 2, 4)

FirstTry = namedtuple('FirstTry', ('sent_at', 'node', 'path', 'status', 'body'))


class Callers:
    """Callers that send one attempt after the other to some nodes.

    Attributes
    ----------
    tries : list of FirstTry
        All attempts; each has a path of its own.

    """

    def __init__(self, numbers, method='GET', body=None):
        """Start to send."""
        self.numbers = numbers
        self.method = method
        self.body = body
        self.tries = []
        self._counter = itertools.count()
        self._is_stopped = threading.Event()
        self._threads = ThreadPoolExecutor(_CALLERS * len(numbers))
        for number in numbers:
            for _ in range(_CALLERS):
                self._threads.submit(self._run, number)

    def stop(self):
        """Stop sending."""
        self._is_stopped.set()
        self._threads.shutdown()

    def compute_served(self, numbers, since):
        """Return the part of the first tries at some nodes that was served."""
        statuses = [
            each.status
            for each in self.tries
            if each.node in numbers and each.sent_at >= since
        ]
        assert statuses
        return statuses.count(200) / len(statuses)

    def _run(self, number):
        while not self._is_stopped.wait(0.02):
            count = next(self._counter)
            sent_at = time.monotonic()
            path = f'/a/{count}'
            status, body = self._send(number, path, str(count % 24))
            self.tries.append(FirstTry(sent_at, number, path, status, body))

    def _send(self, number, path, key):
        headers = {
            'Host': 'h',
            'Sesameroute-Attempt-Id': path,
            'Sesameroute-Affinity-Key': key,
            'Sesameroute-Deadline-Ms': '2000',
        }
        try:
            answer = call(
                number, FRONT_PORT, path, headers, self.method, self.body
            )
        except OSError:
            return 0, b''
        return answer[0], answer[2]


@pytest.fixture
def servers(cluster):
    """Return registered backend servers in two regions."""
    running = [BackendStandIn() for _ in range(_SERVERS)]
    for number, each in enumerate(running):
        zone = ('north-a', 'north-b', 'south-a')[number % 3]
        cluster.register(f'server-{number}', each, zone)
    yield running
    for each in running:
        each.stop()


def start_nodes(cluster):
    """Start all nodes and wait until they know each other."""
    for number, zone in _ZONES.items():
        cluster.add_node(number, zone, _ZONES)
    assert wait_for(
        lambda: all(
            len(node.fleet.list_live()) == len(_ZONES) and is_ready(number)
            for number, node in cluster.nodes.items()
        )
    )


def play_cut(cluster, callers, cut, numbers):
    """Cut nodes off; return the served parts of these and of the others."""
    time.sleep(_WARM_UP_SECONDS)
    for number in numbers:
        cluster.wires[number].apply(cut)
    since = time.monotonic() + _CONTACT_SECONDS
    time.sleep(_CONTACT_SECONDS + _MEASURED_SECONDS)
    callers.stop()
    others = set(callers.numbers) - set(numbers)
    return (
        callers.compute_served(numbers, since),
        callers.compute_served(others, since),
    )


def check_runs(servers, callers, whole=b'whole'):
    """Check that answers are whole, and how often each request ran."""
    runs = Counter(
        arrival.target for each in servers for arrival in each.arrivals
    )
    served = {each.path for each in callers.tries if each.status == 200}
    refused = {each.path for each in callers.tries if each.status == 503}
    bodies = {each.body for each in callers.tries if each.status == 200}
    assert bodies == {whole}
    assert not served - runs.keys()
    if callers.method == 'POST':
        assert set(runs.values()) == {1}
        assert not refused & runs.keys()


@pytest.mark.parametrize(
    ('cut', 'method', 'numbers'),
    [
        (Cut.HANG, 'POST', _ONE),
        (Cut.HANG, 'GET', _ZONE),
        (Cut.RESET, 'GET', _ONE),
        (Cut.RESET, 'POST', _REGION),
        (Cut.REFUSE_NEW, 'POST', _ZONE),
        (Cut.DROP_NEW, 'GET', _ONE),
        (Cut.DROP_NEW, 'POST', _MOST),
    ],
)
def test_callers_of_cut_nodes_are_served(
    cluster, servers, cut, method, numbers
):
    """Nodes without a path to the servers failed all of their requests."""
    cluster.configure(kind='unsafe' if method == 'POST' else 'safe')
    start_nodes(cluster)
    callers = Callers(tuple(_ZONES), method)
    cut_off, others = play_cut(cluster, callers, cut, numbers)
    assert cut_off >= _MIN_SERVED_RATIO * max(others, _MIN_SERVED)
    check_runs(servers, callers)


@pytest.mark.parametrize('cut', [Cut.HANG, Cut.RESET, Cut.DROP_NEW])
def test_cut_node_suspends_no_server_for_others(cluster, servers, cut):
    """Servers that one node did not reach were suspended for all nodes."""
    cluster.configure(kind='unsafe')
    start_nodes(cluster)
    callers = Callers(tuple(_ZONES), 'POST')
    _cut_off, others = play_cut(cluster, callers, cut, _ZONE)
    assert others >= _MIN_SERVED


def test_long_bodies_pass_through_cut_nodes(cluster, servers):
    """Long bodies, either way, are whole at the end of a longer way."""
    whole = 'x' * LONG_BODY_BYTES
    for each in servers:
        each.body = whole
    cluster.configure(kind='unsafe', timeout_ms=1900)
    start_nodes(cluster)
    callers = Callers((1, 3), 'POST', whole)
    cut_off, others = play_cut(cluster, callers, Cut.HANG, _ONE)
    assert cut_off >= _MIN_SERVED_RATIO * max(others, _MIN_SERVED)
    check_runs(servers, callers, whole.encode())
