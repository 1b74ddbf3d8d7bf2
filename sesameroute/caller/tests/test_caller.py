"""Tests of verdicts over several attempts and of silent connections."""

import random
import socket
from threading import Thread

import pytest

from sesameroute.caller import Caller
from sesameroute.caller._caller import _combine_verdicts, _RequestState
from sesameroute.caller._directory import EntryAddress
from sesameroute.exceptions import RequestError
from sesameroute.ports import Request, SystemClock, TcpWire
from sesameroute.statement import Kind
from sesameroute.verdict import Verdict

_HOST = '127.33.0.1'
_READ = Kind('read', 'desk', deadline_ms=1000)
_WRITE = Kind('write', 'desk', idempotent=False, deadline_ms=1000)
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nSesame-Verdict: ran\r\nContent-Length: 2\r\n\r\nok'
)


@pytest.mark.parametrize(
    ('kind', 'ambiguous', 'code', 'reported', 'expected'),
    [
        # Without a key, `NOT_RUN` covers the last attempt only.
        (_READ, True, 'quarantined', Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        (_READ, False, 'quarantined', Verdict.NOT_RUN, Verdict.NOT_RUN),
        # With a key, it covers all attempts with that key.
        (_WRITE, True, 'quarantined', Verdict.NOT_RUN, Verdict.NOT_RUN),
        # An entry VM that was not reached says nothing of earlier attempts.
        (_WRITE, True, 'no-lookup', Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        (_WRITE, True, 'unreached', Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN),
        (_WRITE, False, 'unreached', Verdict.NOT_RUN, Verdict.NOT_RUN),
        (_WRITE, False, 'lost', Verdict.MAY_HAVE_RUN, Verdict.MAY_HAVE_RUN),
    ],
)
def test_verdict_covers_all_attempts(
    kind,
    ambiguous,
    code,
    reported,
    expected,
):
    request = Request(kind, 'GET', '/desk/x/1')
    state = _RequestState(request, ambiguous=ambiguous)
    assert (
        _combine_verdicts(state, RequestError('', reported, code)).verdict
        is expected
    )


class _SingleEntryDirectory:
    """A directory with a single entry VM."""

    domain = 'a'
    source = _HOST
    wire = TcpWire()
    clock = SystemClock()

    def __init__(self, port):
        self.entry = EntryAddress('e1', _HOST, port, 1, 'e1.x.1')

    def choose(self, *_args):
        return self.entry

    def forget(self, _service):
        """Do nothing: there is no other answer."""

    def suspect(self, _vm):
        """Do nothing: there is no other entry VM."""


@pytest.fixture
def directory():
    """Answer one request on each connection, then stay silent on it."""
    listener = socket.create_server((_HOST, 0))
    accepted = []

    def serve():
        try:
            while True:
                connection, _address = listener.accept()
                accepted.append(connection)
                connection.recv(65_536)
                connection.sendall(_ANSWER)
        except OSError:
            """The test has closed the listener."""

    Thread(target=serve, daemon=True).start()
    yield _SingleEntryDirectory(listener.getsockname()[1])
    listener.close()
    for connection in accepted:
        connection.close()


@pytest.mark.parametrize('kind', [_READ, _WRITE])
def test_silent_reused_connection_is_replaced_in_time(directory, kind):
    caller = Caller(directory, random.Random(1))
    outcomes = [caller.send(kind, str(number)) for number in range(3)]
    caller.close()
    assert {outcome.body for outcome in outcomes} == {b'ok'}


@pytest.mark.parametrize('seconds', [0, 1e-9, 1e-4])
def test_too_short_deadline_gives_outcome_without_error(directory, seconds):
    caller = Caller(directory, random.Random(1))
    caller.send(_READ, '1')
    assert not caller.send(_READ, '2', seconds=seconds).body


def test_expired_deadline_keeps_earlier_verdict_open(directory):
    caller = Caller(directory, random.Random(1))
    outcome = caller.send(_WRITE, '1', b'x', seconds=0, key='e1.x.1.abc')
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
