"""Tests of connections that are reset while a request is being sent."""

from functools import partial

import pytest
from urllib3.exceptions import HTTPError

from sesameroute.adapters import build_pool
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import (
    COMPLETE_ANSWER,
    IDENTIFIER_HEADER,
    SEAL_HEADER,
    ResettingServer,
)
from sesameroute.placement import Outcome
from sesameroute.ports import TcpWire
from sesameroute.routes import RequestKind

SECONDS = 5
PART = b'0123456789abcdef' * 1024
PARTS = 16
WHOLE_BYTES = PARTS * len(PART)
HEAD = f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}'
CHUNKED = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
# Answers that only the end of the connection ends, or that lack a part.
CUT_ANSWERS = {
    'no length': f'{HEAD}\r\nwhole',
    'no length, closing': f'{HEAD}Connection: close\r\n\r\nwhole',
    'no length, HTTP/1.0': f'{HEAD.replace("1.1", "1.0")}\r\nwhole',
    'length': f'{HEAD}Content-Length: 6\r\n\r\nwhole',
    'chunks': f'{CHUNKED}5\r\nwhole\r\n',
    'head': HEAD,
}
# Answers whose framing shows that they are whole.
WHOLE_ANSWERS = {
    'length': COMPLETE_ANSWER,
    'chunks': f'{CHUNKED}5\r\nwhole\r\n0\r\n\r\n',
    'no content': f'{HEAD.replace("200", "204")}\r\n',
}


def build_reader(server):
    """Return a caller that sends the rest once the server has reset."""
    unread = [PART] * PARTS

    def read(_size):
        if len(unread) == PARTS // 2:
            assert server.has_reset.wait(SECONDS)
        return unread.pop() if unread else b''

    return read


def upload(harness, server, length=WHOLE_BYTES):
    """Forward a long body, in chunks if it has no length.

    Returns status, headers and body of the answer.
    """
    return harness.forward(body=PART, read=build_reader(server), length=length)


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize(
    ('read_bytes', 'pause_seconds', 'length'),
    [
        (0, 0, WHOLE_BYTES),
        (0, 0.2, WHOLE_BYTES),
        (65_536, 0, WHOLE_BYTES),
        (0, 0, None),
    ],
)
@pytest.mark.parametrize('form', list(CUT_ANSWERS))
def test_answer_cut_by_a_reset_is_no_success(
    form, read_bytes, pause_seconds, length, kind
):
    """The write that failed hid the reset from the reader of the answer."""
    server = ResettingServer(CUT_ANSWERS[form], read_bytes, pause_seconds)
    harness = ForwarderHarness(server, kind=kind, attempts=1, timeout_seconds=2)
    status, headers, content = upload(harness, server, length)
    assert (status, content) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in headers
    assert harness.allocator.releases == [('a', Outcome.LOST)]
    assert len(server.heads) == 1


@pytest.mark.parametrize('form', list(WHOLE_ANSWERS))
def test_whole_answer_ahead_of_a_reset_is_passed_on(form):
    """Its framing shows where it ends."""
    server = ResettingServer(WHOLE_ANSWERS[form])
    harness = ForwarderHarness(server, attempts=1, timeout_seconds=2)
    status, _, content = upload(harness, server)
    expected = (204, b'') if form == 'no content' else (200, b'whole')
    assert (status, content) == expected


def test_node_that_resets_has_not_answered():
    """The same over a relay: the other node may be the one that ends."""
    peer = ResettingServer(f'{HEAD}Sesame-Relay: mine\r\n\r\nwhole')
    harness = ForwarderHarness(kind=RequestKind.UPLOAD, timeout_seconds=2)
    harness.relay_to(peer.target)
    status, headers, content = upload(harness, peer)
    assert (status, content) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in headers


@pytest.mark.parametrize('form', list(CUT_ANSWERS))
def test_store_that_resets_has_not_answered(form):
    """Whether a write took effect is not known then."""
    server = ResettingServer(CUT_ANSWERS[form])
    pool = build_pool(TcpWire(), '127.0.0.1', server.target)
    body = iter(partial(build_reader(server), len(PART)), b'')
    with pytest.raises((HTTPError, OSError)):
        pool.urlopen('POST', '/x', body=body, timeout=SECONDS)
