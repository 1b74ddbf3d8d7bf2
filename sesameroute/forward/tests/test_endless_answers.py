"""Tests of exchanges that servers never end."""

import contextlib
import socket
import threading
import time
import tracemalloc
from types import SimpleNamespace

import pytest

from sesameroute.forward import TryError
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import (
    IDENTIFIER_HEADER,
    SEAL_HEADER,
    EndlessServer,
)
from sesameroute.routes import RequestKind

_TIMEOUT_SECONDS = 0.6  # of the route of the harness
_LATE_SECONDS = _TIMEOUT_SECONDS + 0.5
_MAX_MEMORY_BYTES = 8_388_608  # the servers' part included
_HEAD = f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}'
# The start of an answer and the part that comes again and again.
_FORMS = {
    'status line': ('HTTP/1.1 200 ', 'x'),
    'header line': ('HTTP/1.1 200 X\r\nX-', 'x'),
    'header fields': ('HTTP/1.1 200 X\r\n', 'X-A: 1\r\n'),
    'interim answers': ('', 'HTTP/1.1 100 Continue\r\n\r\n'),
    'body with a length': (
        f'{_HEAD}Content-Length: 99999999999999\r\n\r\n',
        'x',
    ),
    'body without a length': (f'{_HEAD}\r\n', 'x'),
    'chunks': (f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'),
    'chunk extension': (
        f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n1;',
        'x',
    ),
    'trailer fields': (
        f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n',
        'X-A: 1\r\n',
    ),
}


@pytest.mark.parametrize('kind', [RequestKind.SAFE, RequestKind.UNSAFE])
@pytest.mark.parametrize('pause_seconds', [0, 0.03])
@pytest.mark.parametrize('form', list(_FORMS))
def test_endless_answer_ends_in_time(form, pause_seconds, kind):
    """Each byte extended the wait, so that a thread was held for good."""
    server = EndlessServer(*_FORMS[form], pause_seconds)
    harness = ForwarderHarness(server, kind=kind, attempts=1)
    sent_at = time.monotonic()
    with contextlib.suppress(TryError):
        answer = harness.open()
        for _ in answer.chunks:
            assert time.monotonic() - sent_at < _LATE_SECONDS
        assert answer.status in {502, 504}
    assert time.monotonic() - sent_at < _LATE_SECONDS
    assert server.closed.wait(1)
    assert len(harness.allocator.releases) == 1
    server.stop()


@pytest.mark.parametrize('form', list(_FORMS))
def test_endless_answer_is_not_kept(form):
    """At other operators, a node kept all bytes until its memory was gone."""
    server = EndlessServer(*_FORMS[form], 0)
    harness = ForwarderHarness(server, attempts=1)
    tracemalloc.start()
    with contextlib.suppress(TryError):
        for _ in harness.open().chunks:
            pass
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < _MAX_MEMORY_BYTES
    server.stop()


@pytest.fixture
def slow_reader():
    """Run a server that reads a request slowly and never answers it."""
    listening = socket.create_server(('127.0.0.1', 0))

    def read():
        connection = listening.accept()[0]
        with connection:
            while connection.recv(65_536):
                time.sleep(0.05)

    threading.Thread(target=read, daemon=True).start()
    yield SimpleNamespace(target=listening.getsockname())
    listening.close()


def test_upload_to_a_slow_server_ends_in_time(slow_reader):
    """Each part of a body had the whole time anew."""
    harness = ForwarderHarness(slow_reader, kind=RequestKind.UNSAFE)
    sent_at = time.monotonic()
    answer = harness.open(
        length=999_999_999, read=lambda size: b'x' * size, body=b'x'
    )
    assert answer.status == 504
    assert time.monotonic() - sent_at < _LATE_SECONDS
