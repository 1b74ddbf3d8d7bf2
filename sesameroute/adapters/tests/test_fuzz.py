"""Fuzz tests: mutated requests and answers cause no unexpected errors."""

import contextlib
import socket

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sesameroute.adapters import (
    EntryApplication,
    HttpServer,
    HttpStore,
    HttpVmList,
    ServerLimits,
)
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.adapters.tests.scripted import (
    ScriptedServer,
    build_http_answer,
)
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer, SystemClock, TcpWire
from sesameroute.statement import Kind, Places, Policy, Statement

_ADDRESS = (f'{NETWORK}.4', 18_400)
_CLIENT = f'{NETWORK}.5'
_REQUEST = (
    b'POST /desk/order/1 HTTP/1.1\r\nHost: x\r\nSesame-Key: a.b.1.-.-.c\r\n'
    b'Content-Length: 4\r\nConnection: close\r\n\r\nbody'
)
_STATEMENT = Statement(
    'sample',
    Places({'r': ('d',)}, 'r', 1, 1, 1),
    Policy(),
    vms={},
    services={},
    kinds={'order': Kind('order', 'desk', idempotent=False)},
    upstreams={},
)
_FUZZ = settings(
    max_examples=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@st.composite
def mutate(draw, original):
    """Return the bytes with random parts removed, inserted or replaced."""
    sent = original
    for _ in range(draw(st.integers(1, 4))):
        start = draw(st.integers(0, len(sent)))
        end = draw(st.integers(start, min(len(sent), start + 12)))
        inserted = draw(st.binary(max_size=12))
        sent = b''.join((sent[:start], inserted, sent[end:]))
    return sent


@pytest.fixture(scope='module', autouse=True)
def server():
    """Serve an application that echoes bodies."""

    def echo(request):
        return Answer(200, (), iter((request.body,)), len(request.body))

    application = EntryApplication(echo, lambda: _STATEMENT, SystemClock())
    limits = ServerLimits(threads=4, header_bytes=2048, read_seconds=0.2)
    running = HttpServer(_ADDRESS, application, limits=limits)
    running.start()
    yield running
    running.stop()


def send_raw(sent):
    """Send raw bytes and return the bytes that come back."""
    with socket.create_connection(_ADDRESS, 3) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(sent)
            connection.shutdown(socket.SHUT_WR)
            return b''.join(iter(lambda: connection.recv(4096), b''))
    return b''


@_FUZZ
@given(mutate(_REQUEST))
def test_http_requests(sent):
    """A mutated request never causes status 500 or blocks the next one."""
    received = send_raw(sent)
    assert not received or received.startswith(b'HTTP/1.1 ')
    assert b' 500 ' not in received[:16]
    assert send_raw(_REQUEST).endswith(b'body')


_STORED = build_http_answer(b'value', 'Store-Revision: 3\r\nETag: "3-a"\r\n')
_LISTED = build_http_answer(b'[{"name": "a", "address": "1", "leaving": true}]')


@_FUZZ
@given(mutate(_STORED))
def test_store_answers(sent):
    """The store client raises only `SesameError` on a mutated answer."""
    with ScriptedServer(lambda *_request: sent, _CLIENT) as scripted:
        url = f'http://{_CLIENT}:{scripted.port}'
        store = HttpStore(url, TcpWire(), _CLIENT, 0.05)
        with contextlib.suppress(SesameError):
            found = store.read('key')
            store.watch('key', 3, 0, found.tag if found else '')
        with contextlib.suppress(SesameError):
            store.swap('key', b'new', 3)


@_FUZZ
@given(mutate(_LISTED))
def test_vm_list_answers(sent):
    """The VM list client raises only `SesameError` on a mutated answer."""
    with ScriptedServer(lambda *_request: sent, _CLIENT) as scripted:
        url = f'http://{_CLIENT}:{scripted.port}/vms'
        with contextlib.suppress(SesameError):
            HttpVmList(url, TcpWire(), _CLIENT, 0.05).fetch()
