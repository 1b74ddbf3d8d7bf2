"""Tests of answers that end before their body is complete."""

import threading

import pytest

from sesameroute.forward import TryError
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import (
    IDENTIFIER_HEADER,
    LONG_BODY_BYTES,
    SEAL_HEADER,
    PausingServer,
)
from sesameroute.routes import RequestKind

_HEAD = f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}'
_BODY_SIZES = {'short': 5, 'long': LONG_BODY_BYTES}
_FRAMINGS = {
    'no length': '\r\n{0}',
    'invalid length': 'Content-Length: many\r\n\r\n{0}',
    'length': 'Content-Length: 999999\r\n\r\n{0}',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n80000\r\n{0}',
}


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('framing', list(_FRAMINGS))
@pytest.mark.parametrize('size', list(_BODY_SIZES))
def test_answer_that_a_stop_breaks_off_looks_incomplete(framing, size, kind):
    """An answer without a length, cut by the stop, passed for a whole one."""
    body = 'x' * _BODY_SIZES[size]
    server = PausingServer(_HEAD + _FRAMINGS[framing].replace('{0}', body))
    harness = ForwarderHarness(server, kind=kind, attempts=1)
    connections = harness.forwarder.sender.connections
    threading.Timer(0.2, connections.abort).start()
    answer = harness.open()
    if size == 'short':
        assert answer.status == 504
    else:
        with pytest.raises(TryError):
            list(answer.chunks)
    server.stop()
