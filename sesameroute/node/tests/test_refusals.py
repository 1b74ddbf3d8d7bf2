"""Tests of the counts of requests that a node refuses on its own."""

import re
import socket

import pytest

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    METRICS_PORT,
    NETWORK_PREFIX,
    call,
    send,
    wait_for,
)

_HEAD = 'POST /a/x HTTP/1.1\r\nHost: h\r\n'
_BOTH_LENGTHS = 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
_MARGIN_BYTES = 20_000  # above the largest header block


@pytest.fixture
def node(cluster):
    """Return the only node, with one backend server."""
    server = BackendStandIn()
    cluster.register('one', server)
    yield cluster.add_node(1)
    server.stop()


def read_metrics():
    """Return the metrics of the node."""
    return call(1, METRICS_PORT, '/metrics')[2].decode()


@pytest.mark.parametrize(
    ('text', 'status', 'reason'),
    [
        ('GET /none/x HTTP/1.1\r\nHost: h\r\n\r\n', 404, 'no-route'),
        ('junk\r\n\r\n', 400, 'malformed'),
        (f'{_HEAD}{_BOTH_LENGTHS}', 400, 'malformed'),
        (
            f'{_HEAD}Content-Length: 1048577\r\n\r\n',
            413,
            'body-too-large',
        ),
        (
            f'{_HEAD}X: {"y" * _MARGIN_BYTES}\r\n\r\n',
            431,
            'headers-too-large',
        ),
        (f'{_HEAD}X', 408, 'silent'),
    ],
)
def test_refusals_are_counted_by_status_and_reason(node, text, status, reason):
    """Nothing but the callers told that a node refused proper requests."""
    assert wait_for(lambda: send(1)[0] == 200)
    limits = node.active_configuration.configuration.limits
    assert limits.header_bytes < _MARGIN_BYTES
    front = node._node_servers.servers[0]
    assert wait_for(lambda: front._idle.limits.header_seconds < 2)
    with socket.create_connection(
        (f'{NETWORK_PREFIX}.1', FRONT_PORT), 5
    ) as caller:
        caller.settimeout(5)
        caller.sendall(text.encode())
        answer = caller.recv(65_536)
    assert int(answer.split(b' ', 2)[1]) == status
    counted = f'sesame_refusals_total{{reason="{reason}",status="{status}"}} 1'
    assert counted in read_metrics()


def test_metrics_tell_the_age_of_the_configuration(cluster, node):
    """Nodes with different versions could not be told apart by their age."""
    assert wait_for(lambda: send(1)[0] == 200)
    found = re.search(
        r'^sesame_configuration_age_seconds(?:{})? (\S+)', read_metrics(), re.M
    )
    assert 0 < float(found[1]) < 10
