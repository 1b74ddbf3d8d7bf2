"""The verdict of each way in which a backend server can fail."""

import socket
import threading
import time
from dataclasses import replace

import pytest

from sesameroute.adapters import HttpUpstreams
from sesameroute.adapters.tests.scripted import ScriptedServer, answer_whole
from sesameroute.exceptions import RequestError
from sesameroute.ports import STOP_SECONDS, Request, SystemClock, TcpWire
from sesameroute.statement import Kind, Upstream
from sesameroute.verdict import Verdict

_ADDRESS = '127.31.0.2'
_KIND = Kind('stock-check', 'tray-catalogue', work_ms=10)


def serve(script):
    """Return a scripted server on this module's own address."""
    return ScriptedServer(script, _ADDRESS)


def build_request(seconds=1.0):
    """Return a light request with a deadline."""
    return Request(_KIND, 'GET', '/a/b', deadline=time.monotonic() + seconds)


def build_upstream(port):
    """Return a backend server on this machine."""
    return Upstream('u', 's', 'd', _ADDRESS, port, slots=1, connections=9)


@pytest.fixture
def adapter():
    """Yield an adapter that closes its connections."""
    built = HttpUpstreams(TcpWire(), _ADDRESS, SystemClock())
    yield built
    built.close()


@pytest.mark.parametrize(
    ('sent', 'code', 'verdict'),
    [
        (None, 'lost', Verdict.MAY_HAVE_RUN),
        (b'', 'timeout', Verdict.MAY_HAVE_RUN),
        (b'garbage\r\n\r\n', 'lost', Verdict.MAY_HAVE_RUN),
        (
            b'HTTP/1.1 503 x\r\nSesame-Shed: 1\r\nContent-Length: 0\r\n\r\n',
            'shed',
            Verdict.NOT_RUN,
        ),
        (
            b'HTTP/1.1 503 x\r\nSesame-Draining: 1\r\n'
            b'Content-Length: 0\r\n\r\n',
            'draining',
            Verdict.NOT_RUN,
        ),
    ],
)
def test_failure_verdict(adapter, sent, code, verdict):
    """A failure on a fresh connection brings its code and verdict."""
    with serve(lambda _number, _count: sent) as server:
        with pytest.raises(RequestError) as caught:
            adapter.send(
                build_upstream(server.port),
                build_request(0.2),
                fresh=True,
            )
    assert (caught.value.code, caught.value.verdict) == (code, verdict)


def test_refused_is_not_run(adapter):
    """A refused connection is a certain not-run."""
    with serve(lambda _number, _count: b'') as server:
        port = server.port
    with pytest.raises(RequestError) as caught:
        adapter.send(build_upstream(port), build_request(), fresh=True)
    assert caught.value.verdict is Verdict.NOT_RUN


def test_cut_body_is_not_passed_off(adapter):
    """A truncated body raises in the middle of the chunks."""
    cut = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut'
    with serve(lambda _number, _count: cut) as server:
        answer = adapter.send(
            build_upstream(server.port),
            build_request(),
            fresh=True,
        )
        with pytest.raises(RequestError) as caught:
            list(answer.chunks)
    assert caught.value.code == 'cut-answer'


@pytest.mark.parametrize('failure', [b'', None])
def test_silent_connection(adapter, failure):
    """A kept connection gone silent or lost costs one more connection."""

    def script(number, count):
        return failure if number == 1 and count > 1 else answer_whole()

    with serve(script) as server:
        upstream = build_upstream(server.port)
        for _ in range(3):
            answer = adapter.send(upstream, build_request(), fresh=False)
            assert b''.join(answer.chunks) == b'ok'
    assert server.requests == [(1, 1), (1, 2), (2, 1), (2, 2)]


class NotingClock(SystemClock):
    """A clock that notes what it is asked to sleep and doesn't."""

    def __init__(self):
        self.slept = []

    def sleep(self, seconds):
        self.slept.append(seconds)


@pytest.mark.parametrize(
    ('failure', 'slept'),
    [(b'', [STOP_SECONDS]), (None, [])],
)
def test_silent_work_ends_before_the_next_try(failure, slept):
    """Two works of one request never share the slot that it holds."""

    def script(number, count):
        return failure if number == 1 and count > 1 else answer_whole()

    clock = NotingClock()
    adapter = HttpUpstreams(TcpWire(), _ADDRESS, clock)
    with serve(script) as server:
        upstream = build_upstream(server.port)
        for _ in range(2):
            answer = adapter.send(upstream, build_request(), fresh=False)
            list(answer.chunks)
    adapter.close()
    assert clock.slept == slept


def test_unread_body_closes_connection(adapter):
    """A connection whose answer was abandoned is never reused."""
    with serve(lambda _number, _count: answer_whole()) as server:
        upstream = build_upstream(server.port)
        answer = adapter.send(upstream, build_request(), fresh=False)
        answer.chunks.close()
        answer = adapter.send(upstream, build_request(), fresh=False)
        assert b''.join(answer.chunks) == b'ok'
    assert server.requests == [(1, 1), (2, 1)]


def test_caller_leaves(adapter):
    """A caller that leaves ends the try at once, on both sides."""
    ours, theirs = socket.socketpair()
    request = replace(build_request(5), caller=ours)
    with ours, serve(lambda _number, _count: b'') as server:
        timer = threading.Timer(0.1, theirs.close)
        timer.start()
        with pytest.raises(RequestError) as caught:
            adapter.send(build_upstream(server.port), request, fresh=True)
    assert caught.value.code == 'cancelled'
    assert time.monotonic() < request.deadline - 3


def test_caller_stays(adapter):
    """Bytes of a caller's next request don't end the present one."""
    ours, theirs = socket.socketpair()
    request = replace(build_request(), caller=ours)
    theirs.sendall(b'GET /next')
    with ours, theirs, serve(lambda _number, _count: answer_whole()) as server:
        answer = adapter.send(
            build_upstream(server.port),
            request,
            fresh=True,
        )
        assert b''.join(answer.chunks) == b'ok'
