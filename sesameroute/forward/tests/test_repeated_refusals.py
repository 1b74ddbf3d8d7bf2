"""Tests of servers that write an earlier refusal again."""

import time

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness, SlowClock
from sesameroute.forward.tests.servers import (
    COMPLETE_ANSWER,
    IDENTIFIER_HEADER,
    ScriptedServer,
    find_header,
)
from sesameroute.routes import RequestKind

_STATUS_LINES = {
    'full': 'HTTP/1.1 503 X\r\nSesameroute-Not-Run: 1\r\n',
    'misdirected': 'HTTP/1.1 421 X\r\n',
}
_IDLE_SECONDS = 0.05


class RepeatingServer(ScriptedServer):
    """Refuses its first request and writes that refusal once more.

    Both come on one connection. It runs all later requests.

    Attributes
    ----------
    runs : list of str
        Identifiers of the requests that it has run.

    """

    def __init__(self, reason, moment, *, has_identifier):
        """Listen on a free port."""
        identifier = IDENTIFIER_HEADER if has_identifier else ''
        self.refusal = (
            f'{_STATUS_LINES[reason]}{identifier}Content-Length: 0\r\n\r\n'
        )
        self.moment = moment
        self.runs = []
        super().__init__()

    def _answer(self, connection):
        head = self._read_head(connection)
        if head is None:
            return False
        identifier = find_header(head, 'sesameroute-attempt-id')
        if len(self.heads) == 1:
            self.first = self.refusal.replace('{0}', identifier).encode()
            self.refused_on = connection
            self._refuse(connection)
            return True
        if self.moment == 'before the answer' and connection is self.refused_on:
            connection.sendall(self.first)
            self.refused_on = None
        self.runs.append(identifier)
        time.sleep(_IDLE_SECONDS)
        answer = COMPLETE_ANSWER.replace('{0}', identifier)
        connection.sendall(answer.encode())
        return True

    def _refuse(self, connection):
        if self.moment == 'at once':
            connection.sendall(self.first + self.first)
            return
        connection.sendall(self.first)
        if self.moment == 'while idle':
            time.sleep(_IDLE_SECONDS)
            connection.sendall(self.first)


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize('reason', list(_STATUS_LINES))
@pytest.mark.parametrize('has_identifier', [True, False])
@pytest.mark.parametrize(
    'moment', ['at once', 'while idle', 'before the answer']
)
def test_repeated_refusal_refuses_no_other_request(
    moment, has_identifier, reason, kind
):
    """A request that ran was refused, or ran at a second server, too."""
    repeating = RepeatingServer(reason, moment, has_identifier=has_identifier)
    second = ScriptedServer('whole')
    harness = ForwarderHarness(repeating, second, kind=kind, clock=SlowClock())
    assert harness.forward('/p/1', identifier='first')[0] == 200
    time.sleep(2 * _IDLE_SECONDS)
    harness.allocator.names = ['a']
    status, _headers, body = harness.forward('/p/2', identifier='other')
    time.sleep(2 * _IDLE_SECONDS)
    ran = 'other' in repeating.runs
    assert (status, body) == (200, b'whole') or (status, ran) == (502, True)
    assert repeating.runs.count('other') <= 1 + kind.is_idempotent
    assert [
        find_header(head, 'sesameroute-attempt-id') for head in second.heads
    ] == ['first']
