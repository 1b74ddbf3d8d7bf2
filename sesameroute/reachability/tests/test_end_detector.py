"""Tests of the check of backend servers that fall silent."""

import socket
import time
from contextlib import closing

import pytest

from sesameroute.adapters import ConnectionPool
from sesameroute.ports import SystemClock, TcpWire
from sesameroute.reachability import EndDetector
from sesameroute.registry import Backend, BackendState, Registry

_SERVER = ('server', 7)
_CHECK_SECONDS = 0.4


@pytest.fixture
def listener():
    """Return a listening socket, which answers nothing."""
    with closing(socket.create_server(('127.0.0.1', 0))) as listening:
        yield listening


@pytest.fixture
def registry(listener):
    """Return a registry with one server."""
    known = Registry()
    known.put(
        Backend(
            'server',
            's',
            *listener.getsockname(),
            'zone',
            4,
            BackendState.READY,
            incarnation=7,
        ),
        0,
    )
    return known


@pytest.fixture
def ended():
    """Return the list of servers that were found to have ended."""
    return []


@pytest.fixture
def detector(registry, ended):
    """Return a running detector."""
    connections = ConnectionPool(TcpWire(), '127.0.0.1', SystemClock())
    running = EndDetector(connections, registry.find, ended.append)
    running.start()
    yield running
    running.stop()
    connections.close()


def end(listener, _detector, _registry):
    """End the server; its port refuses connections."""
    listener.close()


def end_after_an_answer(listener, detector, _registry):
    """End the server after it has answered another request."""
    detector.observe_answer(_SERVER)
    listener.close()


def replace_server(_listener, _detector, registry):
    """Remove the server's entry, as another incarnation's would."""
    registry.remove('server', 0)
    registry.expire(10)


def stay_silent(_listener, _detector, _registry):
    """Let the server hang."""


@pytest.mark.parametrize(
    ('happen', 'is_end'),
    [
        (end, True),
        (replace_server, True),
        (end_after_an_answer, False),
        (stay_silent, False),
    ],
)
def test_silent_server_is_checked_for_its_end(
    listener, registry, detector, ended, happen, is_end
):
    """Its end was noticed only when a request met a refusal by chance."""
    sent_at = time.monotonic()
    happen(listener, detector, registry)
    for _ in range(100):
        detector.observe_timeout(_SERVER, sent_at)
    time.sleep(_CHECK_SECONDS)
    assert ended == [_SERVER] * is_end
