"""Tests of `EntryApplication` over HTTP with valid and invalid requests."""

import contextlib
import socket
import time

import pytest

from sesameroute.adapters import EntryApplication, HttpServer, ServerLimits
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.exceptions import RequestError
from sesameroute.ports import Answer, SystemClock
from sesameroute.statement import (
    Kind,
    Places,
    Policy,
    Statement,
)
from sesameroute.verdict import Verdict

_ADDRESS = (f'{NETWORK}.7', 18_400)
_KIND = Kind('order', 'desk', idempotent=False, deadline_ms=500)
_LONG_KEY = 'k' * 300
_LONG_HEADER = 'y' * 9000
_STATEMENT = Statement(
    'kalina',
    Places({'r': ('d',)}, 'r', 1, 1, 1),
    Policy(),
    vms={},
    services={},
    kinds={'order': _KIND},
    upstreams={},
)


def deliver(request):
    """Echo the body; refuse `no`, and truncate the answer to `cut`."""
    if request.body == b'no':
        raise RequestError('full', Verdict.NOT_RUN, 'no-room', 0.2)
    if request.body == b'cut':
        return Answer(200, (), iterate_truncated(), 100)
    return Answer(200, (), iter((request.body,)), len(request.body))


def iterate_truncated():
    """Yield some bytes, then fail as when the backend server is lost."""
    yield b'half'
    raise RequestError('lost', Verdict.MAY_HAVE_RUN, 'cut-answer')


@pytest.fixture(scope='module', autouse=True)
def server():
    """Serve the application during this module."""
    application = EntryApplication(
        deliver,
        lambda: _STATEMENT,
        SystemClock(),
    )
    limits = ServerLimits(
        threads=4,
        header_bytes=2048,
        body_bytes=10_000,
        read_seconds=0.3,
    )
    running = HttpServer(_ADDRESS, application, limits=limits)
    running.start()
    yield running
    running.stop()


def send_raw(sent, seconds=2.0):
    """Send raw bytes and return all that comes back."""
    with socket.create_connection(_ADDRESS, seconds) as connection:
        connection.sendall(sent)
        # The server may already have answered and closed the connection.
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_WR)
        return b''.join(iter(lambda: connection.recv(4096), b''))


def build_post(body, path='/desk/order/1', extra='', length=None):
    """Return the bytes of a POST."""
    announced = len(body) if length is None else length
    head = (
        f'POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        f'Content-Length: {announced}\r\n{extra}\r\n'
    )
    return head.encode() + body


@pytest.mark.parametrize(
    ('sent', 'status', 'expected'),
    [
        (build_post(b'yes'), b' 200 ', b'yes'),
        (build_post(b'no'), b' 503 ', b'"verdict": "not-run"'),
        (build_post(b'no'), b' 503 ', b'Sesame-Retry-After-Ms: 200'),
        (build_post(b'half', length=90), b' 400 ', b'"code": "cut-body"'),
        (
            build_post(b'half', extra='Sesame-Key: k\r\n', length=90),
            b' 400 ',
            b'"verdict": "may-have-run"',
        ),
        (
            build_post(b'a', '/desk/nothing/1'),
            b' 400 ',
            b'"code": "unknown-kind"',
        ),
        (
            build_post(b'a', '/other/order/1'),
            b' 400 ',
            b'"code": "unknown-kind"',
        ),
        (build_post(b'a', '/'), b' 400 ', b'"code": "unknown-kind"'),
        (
            build_post(b'a', extra='Sesame-Deadline-Ms: soon\r\n'),
            b' 400 ',
            b'"code": "bad-deadline"',
        ),
        (
            build_post(b'a', extra=f'Sesame-Key: {_LONG_KEY}\r\n'),
            b' 400 ',
            b'"code": "bad-key"',
        ),
        (build_post(b'a', extra=f'X: {_LONG_HEADER}\r\n'), b' 413 ', b''),
        (build_post(b'z' * 20_000), b' 413 ', b''),
        (build_post(b'a', length=-4), b' 400 ', b''),
        (b'\x00\xff\x00 garbage\r\n\r\n', b' 400 ', b''),
    ],
)
def test_request_bytes(sent, status, expected):
    """Each request gets its status, and the server still works after it."""
    seen = send_raw(sent)
    assert status in seen.split(b'\r\n', 1)[0]
    assert expected in seen
    assert b'yes' in send_raw(build_post(b'yes'))


def test_truncated_answer_is_sent_truncated():
    """An answer whose body fails halfway can be seen to be incomplete."""
    seen = send_raw(build_post(b'cut'))
    head, body = seen.split(b'\r\n\r\n', 1)
    assert b'Content-Length: 100' in head
    assert body == b'half'


def test_stalled_senders_do_not_block_others():
    """More stalled senders than there are threads do not block others."""
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            stalled = socket.create_connection(_ADDRESS)
            stack.enter_context(stalled)
            stalled.sendall(b'POST /desk/order/1 HTTP/1.1\r\n')
        assert b'yes' in send_raw(build_post(b'yes'), seconds=5)


def test_deadline_is_capped_by_kind():
    """A caller's deadline is capped at the one of the request kind."""
    seen = []

    def record_remaining(request):
        seen.append(request.deadline - time.monotonic())
        return Answer(200)

    application = EntryApplication(
        record_remaining, lambda: _STATEMENT, SystemClock()
    )
    environ = {
        'PATH_INFO': '/desk/order/1',
        'REQUEST_METHOD': 'GET',
        'HTTP_SESAME_DEADLINE_MS': '999999',
    }
    application(environ, lambda *_ignored: None)
    assert 0 < seen[0] * 1000 <= _KIND.deadline_ms
