"""Tests of answers that end before their head is complete."""

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness, SlowClock
from sesameroute.forward.tests.servers import (
    COMPLETE_ANSWER,
    IDENTIFIER_HEADER,
    SEAL_HEADER,
    TruncatingServer,
)
from sesameroute.routes import RequestKind

_HEADER_ORDERS = {
    'length last': COMPLETE_ANSWER,
    'length first': (
        f'HTTP/1.1 200 X\r\nContent-Length: 5\r\n{SEAL_HEADER}'
        f'{IDENTIFIER_HEADER}\r\nwhole'
    ),
    'chunked': (
        f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}'
        'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
    ),
    'continued': f'HTTP/1.1 100 Continue\r\n\r\n{COMPLETE_ANSWER}',
    'refusal': (
        'HTTP/1.1 503 X\r\nSesameroute-Not-Run: 1\r\nContent-Length: 5\r\n'
        'Retry-After: 1\r\n\r\nwhole'
    ),
}


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('order', list(_HEADER_ORDERS))
def test_answer_cut_in_its_head_may_have_run(order, kind):
    """A head cut within a header passed for a success with no body."""
    answer = _HEADER_ORDERS[order]
    server = TruncatingServer(answer)
    harness = ForwarderHarness(server, kind=kind, attempts=1, clock=SlowClock())
    head = answer.replace('{0}', 'mine').partition('whole')[0]
    head_bytes = len(head.removesuffix('5\r\n'))
    for size in range(head_bytes):
        status, _headers, body = harness.forward(f'/p/{size}')
        assert (status, body) == (502, b'lost\n'), f'{size} bytes'
    assert len(server.heads) == head_bytes
