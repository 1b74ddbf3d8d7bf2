"""Tests of answers whose status is none."""

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import (
    IDENTIFIER_HEADER,
    SEAL_HEADER,
    ScriptedServer,
)
from sesameroute.placement import Outcome
from sesameroute.routes import RequestKind

_HEAD = f'{SEAL_HEADER}{IDENTIFIER_HEADER}Content-Length: 5\r\n\r\nwhole'
_WHOLE = f'HTTP/1.1 200 X\r\n{_HEAD}'
ODD_STATUSES = (
    '000',
    '099',
    '1000',
    '600',
    '999',
    '',
    '2OO',
    '20',
    '2',
    '-200',
    '+200',
    '2_00',
    '0200',
    '2.0',
    '200.',
    '\xb2\xb0\xb0',
    '101',
)


def answer_with(status):
    """Return a script that answers with a status line and keeps open."""
    return f'HTTP/1.1 {status} X\r\n{_HEAD}', 'keep'


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('status', ODD_STATUSES)
def test_status_that_is_none_never_reaches_the_caller(status, kind):
    """The request may have run; the server's bytes are no answer."""
    server = ScriptedServer(answer_with(status))
    harness = ForwarderHarness(server, kind=kind, attempts=1)
    answer = harness.forward()
    assert (answer[0], answer[2]) == (502, b'lost\n')
    assert 'Sesameroute-Server-Seal' not in answer[1]
    assert len(server.heads) == 1
    assert harness.allocator.releases == [('a', Outcome.LOST)]


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_connection_with_such_a_status_is_not_used_again(status):
    """Nobody knows where the next answer begins on it."""
    server = ScriptedServer(answer_with(status), 'whole')
    harness = ForwarderHarness(server, attempts=1)
    assert harness.forward('/p/1')[0] == 502
    assert harness.forward('/p/2')[::2] == (200, b'whole')
    assert server.connections == 2


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_safe_request_is_tried_elsewhere(status):
    """Another server may answer it."""
    harness = ForwarderHarness(
        ScriptedServer(answer_with(status)), ScriptedServer('whole')
    )
    assert harness.forward()[::2] == (200, b'whole')


@pytest.mark.parametrize('count', [1, 2, 16, 60])
@pytest.mark.parametrize('status', ['100', '102', '103', '199'])
def test_rows_of_interim_answers_are_skipped(status, count):
    """The final answer behind them is the server's answer."""
    interim = f'HTTP/1.1 {status} X\r\nLink: x\r\n\r\n'
    server = ScriptedServer((interim * count + _WHOLE, 'keep'))
    harness = ForwarderHarness(server, kind=RequestKind.UNSAFE, attempts=1)
    assert harness.forward()[::2] == (200, b'whole')


@pytest.mark.parametrize('status', ['100', '103', '199'])
def test_rows_without_a_final_answer_end(status):
    """The caller gets an answer long before the server's bytes end."""
    interim = f'HTTP/1.1 {status} X\r\n{SEAL_HEADER}\r\n'
    server = ScriptedServer((interim * 500, 'keep'))
    harness = ForwarderHarness(server, kind=RequestKind.UNSAFE, attempts=1)
    assert harness.forward()[0] == 502
