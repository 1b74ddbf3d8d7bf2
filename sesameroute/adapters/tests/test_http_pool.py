"""Tests of answers without end to clients that read them whole."""

import time
import tracemalloc

import pytest
from urllib3.exceptions import HTTPError

from sesameroute.adapters import build_pool
from sesameroute.forward.tests.servers import EndlessServer
from sesameroute.ports import TcpWire

_TIMEOUT_SECONDS = 0.5
_MAX_MEMORY_BYTES = 134_217_728
_FORMS = {
    'header fields': ('HTTP/1.1 200 X\r\n', 'X-A: 1\r\n'),
    'interim answers': ('', 'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': ('HTTP/1.1 200 X\r\n\r\n', 'x'),
    'body with a length': (
        'HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n',
        'x',
    ),
    'chunks': (
        'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n',
        '1\r\nx\r\n',
    ),
}


@pytest.mark.parametrize('pause_seconds', [0, 0.03])
@pytest.mark.parametrize('form', list(_FORMS))
def test_endless_answer_of_the_store_ends(form, pause_seconds):
    """The store's client read on without end, and kept all that came."""
    server = EndlessServer(*_FORMS[form], pause_seconds)
    pool = build_pool(TcpWire(), '127.0.0.1', server.target)
    tracemalloc.start()
    sent_at = time.monotonic()
    with pytest.raises((HTTPError, OSError)):
        pool.urlopen('GET', '/x', timeout=_TIMEOUT_SECONDS)
    seconds = time.monotonic() - sent_at
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert server.closed.wait(1)
    assert seconds < _TIMEOUT_SECONDS + 0.5
    assert peak < _MAX_MEMORY_BYTES
    server.stop()
