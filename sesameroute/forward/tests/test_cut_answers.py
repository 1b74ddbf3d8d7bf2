"""Tests of answers that end before their body is complete."""

import threading

import pytest

from sesameroute.forward import TryError
from sesameroute.forward.tests.harness import ForwarderHarness, SlowClock
from sesameroute.forward.tests.servers import (
    IDENTIFIER_HEADER,
    LONG_BODY_BYTES,
    SEAL_HEADER,
    PausingServer,
    TruncatingServer,
)
from sesameroute.routes import RequestKind

_HEAD = f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}'
_BODY_SIZES = {'short': 5, 'long': LONG_BODY_BYTES}
_FRAMINGS = {
    'no length': '\r\n{0}',
    'length': 'Content-Length: 999999\r\n\r\n{0}',
    'chunks': 'Transfer-Encoding: chunked\r\n\r\n80000\r\n{0}',
}
_CHUNKED = f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n'
# Answers whose end is known from their bytes alone.
_WHOLE_ANSWERS = {
    'length': f'{_HEAD}Content-Length: 5\r\n\r\nwhole',
    'chunks': f'{_CHUNKED}3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n',
    'leading zeros': (
        f'{_CHUNKED}00000003\r\nwho\r\n00000002\r\nle\r\n0000\r\n\r\n'
    ),
    'chunk extension': f'{_CHUNKED}5;a=0\r\nwhole\r\n0;b=0\r\n\r\n',
    'trailer': f'{_CHUNKED}5\r\nwhole\r\n0\r\nX-A: 1\r\n\r\n',
}
_MALFORMED_CHUNKS = {
    'negative size': '-1\r\nwhole\r\n0\r\n\r\n',
    'sign': '+5\r\nwhole\r\n0\r\n\r\n',
    'prefix': '0x5\r\nwhole\r\n0\r\n\r\n',
    'separator': '0_5\r\nwhole\r\n0\r\n\r\n',
    'empty size': '\r\nwhole\r\n0\r\n\r\n',
    'longer than its size': '3\r\nwhole\r\n0\r\n\r\n',
}


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('form', list(_WHOLE_ANSWERS))
def test_answer_cut_in_its_body_is_no_success(form, kind):
    """The end of a cut chunk size, such as 000, passed for the last chunk."""
    answer = _WHOLE_ANSWERS[form]
    server = TruncatingServer(answer)
    harness = ForwarderHarness(server, kind=kind, attempts=1)
    answer = answer.replace('{0}', 'mine')
    answer_bytes = len(answer)
    whole = harness.forward(f'/p/{answer_bytes}')
    assert (whole[0], whole[2]) == (200, b'whole')
    for size in range(answer.index('\r\n\r\n') + 4, answer_bytes):
        status, _headers, body = harness.forward(f'/p/{size}')
        assert (status, body) == (502, b'lost\n'), f'{size} bytes'
    server.stop()


@pytest.mark.parametrize('form', list(_MALFORMED_CHUNKS))
def test_malformed_chunks_are_no_success(form):
    """Sizes that are no hexadecimal digits were read as numbers."""
    server = PausingServer(_CHUNKED + _MALFORMED_CHUNKS[form])
    harness = ForwarderHarness(server, attempts=1)
    assert harness.forward()[0] == 502
    server.stop()


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


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('size', list(_BODY_SIZES))
def test_answer_with_an_invalid_length_needs_no_stop_to_be_refused(size, kind):
    """It passed for an answer without a length."""
    body = 'x' * _BODY_SIZES[size]
    server = PausingServer(f'{_HEAD}Content-Length: many\r\n\r\n{body}')
    harness = ForwarderHarness(server, kind=kind, attempts=1, clock=SlowClock())
    status, _headers, content = harness.forward()
    assert (status, content) == (502, b'lost\n')
    server.stop()
