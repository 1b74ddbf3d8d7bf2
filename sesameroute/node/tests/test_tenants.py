"""Tests of tenants' keys at real nodes."""

import contextlib
import logging
import socket
import time
from collections import Counter

import msgspec
import pytest

from sesameroute.forward.tests.servers import find_header
from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    METRICS_PORT,
    NETWORK_PREFIX,
    call,
    send,
    wait_for,
)
from sesameroute.node.tests.partition import Cut

_HEAD = 'GET /a/x HTTP/1.1\r\nHost: h\r\nSesameroute-Attempt-Id: i\r\n'
_TENANT = {'name': 'school', 'api_keys': ['k1', 'k2']}


@pytest.fixture
def server(cluster):
    """Return the only backend server."""
    running = BackendStandIn()
    cluster.register('one', running)
    cluster.configure(tenants=[_TENANT], timeout_ms=1900)
    yield running
    running.stop()


@contextlib.contextmanager
def connect(number):
    """Yield a function that sends on one connection and returns statuses."""
    address = f'{NETWORK_PREFIX}.{number}', FRONT_PORT
    with socket.create_connection(address, 5) as caller:
        caller.settimeout(5)

        def exchange(text, count=1):
            caller.sendall(text.encode('latin-1'))
            received = b''
            while received.count(b'HTTP/1.1 ') < count:
                part = caller.recv(65_536)
                assert part, received
                received += part
            return [int(each[:3]) for each in received.split(b'HTTP/1.1 ')[1:]]

        yield exchange


def is_served(number):
    """Return whether a node serves the tenant."""
    key = {'X-Api-Key': 'k1'}
    return send(number, **key)[0] == 200


@pytest.mark.parametrize(
    ('lines', 'status'),
    [
        ('X-Api-Key: k2\r\n', 200),
        ('x-API-key:k2\r\n', 200),
        ('', 401),
        ('X-Api-Key:\r\n', 401),
        ('X-Api-Key: k2, k2\r\n', 401),
        ('X-Api-Key: k2\r\nX-API-KEY: k2\r\n', 401),
        ('X-Api-Key: other\r\nX-Api-Key: k2\r\n', 401),
        ('X-Api-Key: k2\r\n k2\r\n', 401),
        ('X-Api-Key: \xff\xfe\r\n', 401),
        (f'X-Api-Key: {"k" * 9000}\r\n', 401),
        (f'X-Api-Key: {"k" * 1_000_000}\r\n', 431),
    ],
)
def test_bad_keys(cluster, server, lines, status, caplog):
    """Nothing of them reaches a server, or a log."""
    caplog.set_level(logging.INFO)
    node = cluster.add_node(1)
    assert wait_for(lambda: is_served(1))
    front = node._node_servers.servers[0]
    assert wait_for(lambda: front._idle.limits.header_seconds < 2)
    before = len(server.heads)
    with connect(1) as exchange:
        assert exchange(f'{_HEAD}{lines}\r\n') == [status]
    assert len(server.heads) - before == (status == 200)
    assert not any('k2' in repr(vars(each)) for each in caplog.records)
    for head in server.heads:
        assert find_header(head, 'sesameroute-tenant') == 'school'
        assert not find_header(head, 'x-api-key')


def test_key_is_taken_away_from_a_kept_connection(cluster, server):
    """The store is out of reach for one node; the other one tells it."""
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: is_served(1) and is_served(2))
    cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.1')
    text = f'{_HEAD}X-Api-Key: k1\r\n\r\n'
    with connect(1) as exchange:
        assert exchange(text) == [200]
        cluster.configure(
            tenants=[
                {'name': 'school', 'api_keys': ['k2']},
                {'name': 'other', 'api_keys': ['k3']},
            ]
        )
        assert wait_for(lambda: exchange(text) == [401], 4)
        assert exchange(text.replace('k1', 'k3')) == [200]
    assert find_header(server.heads[-1], 'sesameroute-tenant') == 'other'
    assert exchange_pipelined() == [401, 200]


def test_strict_node_out_of_touch_takes_no_keys(cluster, server):
    """It turns keys away while neither store nor nodes tell it of changes."""
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: is_served(1) and is_served(2))
    node = cluster.nodes[1]
    bounds = msgspec.structs.replace(
        node.settings.bounds, strict_revoke=True, revoke_ms=2500
    )
    node.apply_settings(msgspec.structs.replace(node.settings, bounds=bounds))
    text = f'{_HEAD}X-Api-Key: k1\r\n\r\n'
    with connect(1) as exchange:
        cluster.store.rejected_clients.add(f'{NETWORK_PREFIX}.1')
        ends = time.monotonic() + 3
        while time.monotonic() < ends:
            assert exchange(text) == [200]
        cluster.isolate(1)
        assert wait_for(lambda: exchange(text) == [503], 4)
        heads = len(server.heads)
        assert exchange(text.replace('k1', 'k9')) == [503]
        assert len(server.heads) == heads
        cluster.rejoin()
        assert wait_for(lambda: exchange(text) == [200], 6)


def exchange_pipelined():
    """Return the statuses of two requests that are sent at once."""
    rows = ''.join(f'{_HEAD}X-Api-Key: {key}\r\n\r\n' for key in ('k1', 'k2'))
    with connect(1) as exchange:
        return exchange(rows, 2)


def test_relayed_request_bears_its_tenant(cluster, server):
    """The second node learns the key, the server only the tenant."""
    other = BackendStandIn()
    cluster.register('two', other)
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: is_served(1) and is_served(2))
    cluster.wires[1].apply(Cut.RESET)
    reachability = cluster.nodes[1].allocator.reachability
    assert wait_for(lambda: is_served(1) and reachability.is_cut_off_)
    before = len(server.heads) + len(other.heads)
    with connect(1) as exchange:
        forged = 'Sesameroute-Tenant: x\r\nSesame-Relay: 1;0\r\n'
        assert exchange(f'{_HEAD}{forged}X-Api-Key: k2\r\n\r\n') == [200]
        assert exchange(f'{_HEAD}{forged}X-Api-Key: k9\r\n\r\n') == [401]
    heads = [*server.heads, *other.heads]
    assert len(heads) == before + 1
    assert {find_header(each, 'sesameroute-tenant') for each in heads} == {
        'school'
    }
    assert not any(find_header(each, 'x-api-key') for each in heads)
    other.stop()


def press(count, *numbers):
    """Return how many of some requests each status got."""
    key = {'X-Api-Key': 'k5'}
    return Counter(
        send(numbers[each % len(numbers)], f'/a/{each}', **key)[0]
        for each in range(count)
    )


def test_allowance_holds_over_the_nodes(cluster, server):
    """A tenant that sends to all nodes gets its allowance, not one of each."""
    limited = {'name': 'club', 'api_keys': ['k5'], 'rate_per_s': 2, 'burst': 4}
    cluster.configure(tenants=[_TENANT, limited])
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: is_served(1) and is_served(2))
    began = time.monotonic()
    assert wait_for(lambda: press(1, 1) == {200: 1})
    assert wait_for(lambda: press(1, 2) == {200: 1})
    statuses = press(150, 1, 2)
    seconds = time.monotonic() - began
    assert statuses[429]
    windows = seconds // 5 + 1
    assert statuses[200] + 2 <= ((2 * 5 + 4) * 1.1 + 20) * windows
    metrics = call(1, METRICS_PORT, '/metrics')[2].decode()
    assert 'result="over-allowance",tenant="club"' in metrics
    assert 'sesame_tenant_tokens{tenant="club"}' in metrics
    raised = limited | {'rate_per_s': 2000, 'burst': 999}
    cluster.configure(tenants=[_TENANT, raised])
    assert wait_for(lambda: press(20, 1, 2).keys() == {200})


def test_no_limit_sends_no_message(cluster, server):
    """Deployments without allowances pay nothing for them."""
    cluster.start_nodes(1, 2)
    assert wait_for(lambda: is_served(1))
    allowances = cluster.nodes[1]._dispatch.allowances
    assert not allowances.ledger.stocks_
    assert not allowances.depots.own
