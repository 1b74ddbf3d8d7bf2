"""Tests of rows of requests on one connection to a node."""

import socket
import time

import pytest

from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    wait_for,
)

ADDRESS = f'{NETWORK_PREFIX}.1', FRONT_PORT
ROW = ''.join(
    f'GET /a/{number} HTTP/1.1\r\nHost: h\r\nSesameroute-Attempt-Id: {number}'
    f'\r\nSesameroute-Affinity-Key: {number}\r\n\r\n'
    for number in range(4)
).encode()
POST = b'POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody'
GONE_SECONDS = 0.5


def start(cluster, script, **route):
    """Start a node with one server that follows a script; return that."""
    server = ScriptedServer(script)
    cluster.register('server-0', server)
    cluster.configure(timeout_ms=4000, **route)
    cluster.start_nodes(1)
    return server


@pytest.mark.parametrize('behind', [b'', POST, ROW[:50], ROW * 5])
def test_caller_that_leaves_in_a_row_ends_all_its_requests(cluster, behind):
    """Also if it has sent more, which has not been read."""
    server = start(cluster, 'silent')
    servers = cluster.nodes[1]._node_servers
    with socket.create_connection(ADDRESS) as caller:
        caller.sendall(ROW + behind)
        assert wait_for(lambda: len(server.heads) == 4)
    left_at = time.monotonic()
    assert wait_for(lambda: not servers.count_running())
    assert time.monotonic() < left_at + GONE_SECONDS
    assert server.closed.is_set()
    assert len(server.heads) == 4


@pytest.mark.parametrize('script', ['cut', 'long cut', 'no answer', 'silent'])
def test_unsafe_route_gets_requests_one_after_the_other(cluster, script):
    """What stands behind one that is not answered is not passed on."""
    server = start(cluster, script, kind='unsafe')
    with socket.create_connection(ADDRESS) as caller:
        caller.sendall(ROW)
        assert wait_for(lambda: server.heads)
        time.sleep(0.1)
        statuses = []
        if script != 'silent':
            caller.settimeout(1)
            statuses = caller.recv(65_536).split()[1:2]
    assert len(server.heads) == 1 or statuses == [b'502']


@pytest.mark.parametrize('kind', ['safe', 'download'])
def test_reads_of_a_row_run_beside_each_other(cluster, kind):
    """All have reached the server before the first is answered."""
    server = start(cluster, 'silent', kind=kind)
    with socket.create_connection(ADDRESS) as caller:
        caller.sendall(ROW)
        assert wait_for(lambda: len(server.heads) == 4)
