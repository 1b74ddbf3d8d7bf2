"""Tests of reading the bodies of callers' requests."""

import io
import socket
import tracemalloc
from types import SimpleNamespace

import pytest

from sesameroute.adapters import FrontServer
from sesameroute.adapters._request_body import build_body
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.ports import Answer

_ADDRESS = (f'{NETWORK}.7', 18_498)
_TIMEOUT_SECONDS = 5
_READ_BYTES = 65_536
_POST = 'POST /x HTTP/1.1\r\nHost: h\r\n'
_CHUNKED = f'{_POST}Transfer-Encoding: chunked\r\n\r\n'
_INNER = f'{_POST}Content-Length: 0\r\n\r\n'
_BODIES = {
    'chunks': '3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n',
    'leading zeros': '00000003\r\nwho\r\n0002\r\nle\r\n0000\r\n\r\n',
    'extension': '5;a=0\r\nwhole\r\n0;b=0\r\n\r\n',
    'trailer': '5\r\nwhole\r\n0\r\nX-A: 0\r\n\r\n',
}
_UNREAD = {
    'none': f'{_POST}\r\n',
    'length': f'{_POST}Content-Length: 5\r\n\r\nwhole',
    **{name: _CHUNKED + body for name, body in _BODIES.items()},
}
_AMBIGUOUS = {
    'two lengths': (
        f'{_POST}Content-Length: {len(_INNER)}\r\nContent-Length: 0\r\n\r\n'
    ),
    'length with a sign': f'{_POST}Content-Length: +0\r\n\r\n',
    'length and chunks': (
        f'{_POST}Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n'
        '0\r\n\r\n'
    ),
    'request in a trailer': f'{_CHUNKED}5\r\nwhole\r\n0\r\n',
    'negative size': f'{_CHUNKED}5\r\nwhole\r\n-1\r\n',
}


def read_all(content):
    """Return the body in chunks that these bytes are the start of."""
    request = SimpleNamespace(
        conn=SimpleNamespace(rfile=io.BytesIO(content)),
        server=SimpleNamespace(max_request_body_size=0),
        inheaders={},
        chunked_read=True,
    )
    body = build_body(request)
    return b''.join(iter(lambda: body.read(2), b''))


@pytest.fixture
def paths():
    """Run a server that reads no body; return the paths of its requests."""
    seen = []

    def answer(request):
        seen.append(request.path)
        return Answer(404, (), iter(()), 0)

    server = FrontServer(_ADDRESS, answer)
    server.start()
    yield seen
    server.stop()


def exchange(*requests):
    """Send requests on one connection; return the statuses."""
    statuses = []
    with (
        socket.create_connection(_ADDRESS, _TIMEOUT_SECONDS) as caller,
        caller.makefile('rb') as received,
    ):
        for content in requests:
            caller.sendall(content.encode('latin-1'))
            line = received.readline()
            statuses.append(int(line.split()[1]) if line else 0)
            while line.strip():
                line = received.readline()
    return statuses


@pytest.mark.parametrize('form', list(_BODIES))
def test_body_cut_at_any_byte_is_not_whole(form):
    """An upload cut within a chunk size ran with the part that had come."""
    content = _BODIES[form].encode()
    assert read_all(content) == b'whole'
    for size in range(len(content)):  # noqa: WPS518 - a length, no index
        with pytest.raises(ValueError, match='missing|incomplete'):
            read_all(content[:size])


@pytest.mark.parametrize('form', list(_UNREAD))
def test_unread_body_is_not_the_next_request(paths, form):
    """The body of a refused request in chunks got the next one a 400."""
    requests = [_UNREAD[form], f'{_POST}\r\n', f'{_POST}\r\n']
    assert exchange(*requests) == [404] * len(requests)


@pytest.mark.parametrize('form', list(_AMBIGUOUS))
def test_request_inside_another_does_not_run(paths, form):
    """Requests in trailers, or after an ambiguous length, were run."""
    exchange(_AMBIGUOUS[form] + _INNER.replace('/x', '/inner'))
    assert b'/inner' not in paths


def test_refused_body_is_not_kept(paths):
    """The long bodies of refused requests were read into memory whole."""
    size = 33_554_432
    tracemalloc.start()
    content = bytes(65_536)
    head = f'{_POST}Content-Length: {size}\r\n\r\n'.encode()
    with socket.create_connection(_ADDRESS, _TIMEOUT_SECONDS) as caller:
        caller.sendall(head)
        for _ in range(size // len(content)):
            caller.sendall(content)
        assert caller.recv(9) == b'HTTP/1.1 '
        peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < size / 8


@pytest.mark.parametrize('is_sent', [False, True])
def test_body_is_not_asked_for_when_the_request_is_refused(paths, is_sent):
    """Callers that wait for 100 Continue sent bodies for nothing."""
    head = f'{_POST}Expect: 100-continue\r\nContent-Length: 500000\r\n\r\n'
    with socket.create_connection(_ADDRESS, _TIMEOUT_SECONDS) as caller:
        caller.sendall(head.encode())
        if is_sent:
            caller.sendall(bytes(500_000))
        received = b''.join(iter(lambda: caller.recv(_READ_BYTES), b''))
    assert received.startswith(b'HTTP/1.1 404 ')
    assert b'Connection: close' in received


def test_body_is_asked_for_when_it_is_read():
    """An upload waited until its caller gave up."""
    server = FrontServer(_ADDRESS, _answer_with_body)
    server.start()
    with socket.create_connection(_ADDRESS, _TIMEOUT_SECONDS) as caller:
        head = f'{_POST}Expect: 100-Continue\r\nContent-Length: 5\r\n\r\n'
        caller.sendall(head.encode())
        assert caller.recv(_READ_BYTES) == b'HTTP/1.1 100 Continue\r\n\r\n'
        caller.sendall(b'whole')
        received = b''
        while not received.endswith(b'\r\n\r\nwhole'):
            received += caller.recv(1)
    server.stop()


def _answer_with_body(request):
    content = request.rfile.read(_READ_BYTES)
    return Answer(200, (), iter((content,)), len(content))
