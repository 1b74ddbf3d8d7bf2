"""Tests of what a stopping node does with requests that it can't finish."""

import contextlib
import logging
import threading
import time
from http.client import HTTPConnection, RemoteDisconnected

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    is_ready,
    send,
    wait_for,
)

_RELAY_PORT = 18415
_GRACE_SECONDS = 3  # as in the settings of the cluster
_LATE_SECONDS = 1.6  # after the stop began; more than half of the grace
_HEADERS = {
    'Host': 'h',
    'Sesameroute-Attempt-Id': 'mine',
    'Sesameroute-Deadline-Ms': '9000',
}


@pytest.fixture
def backend(cluster):
    """Return the only backend server."""
    running = BackendStandIn()
    cluster.register('only', running)
    yield running
    running.stop()


def open_connection(port):
    """Return a connection to node 1, which it keeps open."""
    return contextlib.closing(
        HTTPConnection(f'{NETWORK_PREFIX}.1', port, timeout=9)
    )


def exchange(connection, path, **headers):
    """Send a request; return status, headers and seconds."""
    started_at = time.monotonic()
    connection.request('GET', path, headers={**_HEADERS, **headers})
    answer = connection.getresponse()
    answer.read()
    seconds = time.monotonic() - started_at
    return answer.status, dict(answer.headers), seconds


@contextlib.contextmanager
def stopping(node):
    """Stop a node meanwhile; afterwards wait until it has stopped."""
    thread = threading.Thread(target=node.stop)
    thread.start()
    yield thread
    thread.join()


@contextlib.contextmanager
def stopping_while_busy(node, backend):
    """Stop a node that has a request until the end of the stop."""
    backend.work_seconds = 2 * _GRACE_SECONDS
    with open_connection(FRONT_PORT) as caller:
        caller.request('GET', '/a/busy', headers=_HEADERS)
        assert wait_for(lambda: backend.count_arrivals('/a/busy'))
        with stopping(node):
            time.sleep(_LATE_SECONDS)
            yield


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'download'])
def test_request_that_comes_late_is_turned_away(cluster, backend, kind):
    """Late requests were passed on and then cut without an answer."""
    cluster.configure(kind=kind, timeout_ms=9000)
    node = cluster.add_node(1)
    assert wait_for(lambda: is_ready(1))
    with open_connection(FRONT_PORT) as caller:
        assert exchange(caller, '/a/early')[0] == 200
        with stopping_while_busy(node, backend):
            status, headers, seconds = exchange(caller, '/a/late')
    assert status == 503
    assert headers['Connection'] == 'close'
    assert float(headers['Retry-After']) >= 0
    assert seconds < 0.3
    assert not backend.count_arrivals('/a/late')


def test_request_that_will_end_in_time_is_served(cluster, backend):
    """A request whose time limit ends before the stop does is taken."""
    node = cluster.add_node(1)
    assert wait_for(lambda: is_ready(1))
    with (
        open_connection(FRONT_PORT) as caller,
        stopping(node),
    ):
        time.sleep(0.5)
        assert exchange(caller, '/a/short')[0] == 200


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'download'])
def test_request_that_outlasts_the_grace_is_answered(cluster, backend, kind):
    """A request that ran until the end was cut without an answer."""
    cluster.configure(kind=kind, timeout_ms=9000, max_attempts=1)
    node = cluster.add_node(1)
    assert wait_for(lambda: send(1)[0] == 200)
    backend.work_seconds = 6
    results = []
    with open_connection(FRONT_PORT) as caller:
        calling = threading.Thread(
            target=lambda: results.append(exchange(caller, '/a/long'))
        )
        calling.start()
        assert wait_for(lambda: backend.count_arrivals('/a/long'))
        began_at = time.monotonic()
        with stopping(node):
            calling.join()
        ended_at = time.monotonic()
    assert results[0][0] == 504
    assert ended_at - began_at < _GRACE_SECONDS
    assert backend.count_arrivals('/a/long') == 1


class _EventOnMessage(logging.Handler):
    """Sets an event when a message is logged."""

    def __init__(self, message):
        super().__init__()
        self.message = message
        self.has_come = threading.Event()

    def emit(self, record):
        """Compare the message of a record."""
        if record.getMessage() == self.message:
            self.has_come.set()


@pytest.mark.parametrize('kind', ['safe', 'unsafe', 'download'])
@pytest.mark.parametrize('message', ['connections closing', 'node stopped'])
def test_kept_connection_is_served_or_closed(
    cluster, backend, kind, message, caplog
):
    """A stop ended while kept connections still brought requests."""
    caplog.set_level(logging.INFO, 'sesameroute.node')
    cluster.grace_seconds = 6
    cluster.configure(kind=kind, timeout_ms=2500)
    node = cluster.add_node(1)
    assert wait_for(lambda: send(1)[0] == 200)
    observer = _EventOnMessage(message)
    logger = logging.getLogger('sesameroute.node')
    logger.addHandler(observer)
    statuses = []
    with open_connection(FRONT_PORT) as caller:
        assert exchange(caller, '/a/early')[0] == 200
        backend.work_seconds = 1.2
        with stopping(node):
            assert observer.has_come.wait(6)
            # A connection that is closed before a request is read ends
            # nothing: the request runs nowhere.
            with contextlib.suppress(ConnectionError, RemoteDisconnected):
                statuses.append(exchange(caller, '/a/last')[0])
    logger.removeHandler(observer)
    assert statuses == [200] * backend.count_arrivals('/a/last')


def test_request_that_waits_for_a_slot_is_turned_away(cluster, backend):
    """A request that got its slot late in the stop was sent and then cut."""
    cluster.configure(
        kind='unsafe', timeout_ms=9000, target_latency_ms=2000, priority=0
    )
    node = cluster.add_node(1)
    assert wait_for(lambda: send(1)[0] == 200)
    backend.work_seconds = 1.8
    results = []

    def call():
        with open_connection(FRONT_PORT) as caller:
            results.append(exchange(caller, '/a/wait')[0])

    callers = [threading.Thread(target=call) for _ in range(8)]
    for each in callers:
        each.start()
    assert wait_for(lambda: backend.count_arrivals('/a/wait') == 4)
    with stopping(node):
        for each in callers:
            each.join()
    assert sorted(results) == [200] * 4 + [503] * 4
    assert backend.count_arrivals('/a/wait') == 4


def test_stopping_node_declines_what_peers_pass_on_late(cluster, backend):
    """A request that a peer had passed on late was cut with the others."""
    cluster.configure(timeout_ms=9000)
    node = cluster.add_node(1)
    assert wait_for(lambda: send(1)[0] == 200)
    version = node._node_servers.active_configuration.version
    relayed = {'Sesame-Relay': f'{version};0'}
    with open_connection(_RELAY_PORT) as peer:
        assert exchange(peer, '/a/early', **relayed)[0] == 200
        with stopping_while_busy(node, backend):
            status, headers, _seconds = exchange(peer, '/a/late', **relayed)
    assert status == 503
    assert headers['Sesame-Relay'] == 'mine;declined'
    assert not backend.count_arrivals('/a/late')
