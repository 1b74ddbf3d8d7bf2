"""Tests of `HttpUpstreams`: verdicts of failures, retries, cancellation."""

import contextlib
import re
import socket
import threading
import time
from dataclasses import replace

import pytest

from sesameroute.adapters import HttpUpstreams
from sesameroute.adapters._relay import HttpRelay
from sesameroute.adapters._verdict_http import VERDICT_HEADER
from sesameroute.adapters.tests.scripted import (
    ScriptedServer,
    build_http_answer,
)
from sesameroute.exceptions import PeerError, RequestError
from sesameroute.forward.tests.test_odd_statuses import ODD_STATUSES
from sesameroute.ports import (
    BACKEND_STOP_SECONDS,
    Request,
    SystemClock,
    TcpWire,
)
from sesameroute.statement import Kind, Upstream
from sesameroute.verdict import Verdict

_ADDRESS = '127.31.0.2'
_KIND = Kind('stock-check', 'tray-catalogue', work_ms=10)


def serve(script):
    """Return a scripted server on the address of this module."""
    return ScriptedServer(script, _ADDRESS)


def build_request(seconds=1.0):
    """Return an idempotent request with a deadline."""
    return Request(_KIND, 'GET', '/a/b', deadline=time.monotonic() + seconds)


def build_upstream(port):
    """Return a backend server on this machine."""
    return Upstream('u', 's', 'd', _ADDRESS, port, slots=1, connections=9)


@pytest.fixture
def adapter():
    """Yield an adapter and close its connections afterwards."""
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
    """A failure on a new connection raises with its code and verdict."""
    with serve(lambda _connection_number, _request_number: sent) as server:
        with pytest.raises(RequestError) as caught:
            adapter.send(
                build_upstream(server.port),
                build_request(0.2),
                new_connection=True,
            )
    assert (caught.value.code, caught.value.verdict) == (code, verdict)


@pytest.mark.parametrize(
    ('method', 'is_kept'), [('GET', False), ('POST', False), ('GET', True)]
)
@pytest.mark.parametrize('status', ODD_STATUSES)
def test_status_that_is_none_is_no_answer(adapter, status, is_kept, method):
    """The request may have run; nothing of the server's bytes is an answer."""
    odd = (f'HTTP/1.1 {status} X\r\nContent-Length: 5\r\n\r\nwhole').encode(
        'latin-1'
    )
    whole = build_http_answer(b'first')

    def script(*numbers):
        return whole if is_kept and numbers == (1, 1) else odd

    with serve(script) as server:
        upstream = build_upstream(server.port)
        if is_kept:
            answer = adapter.send(
                upstream, build_request(), new_connection=True
            )
            assert b''.join(answer.chunks) == b'first'
        request = replace(build_request(), method=method)
        with pytest.raises(RequestError) as caught:
            adapter.send(upstream, request, new_connection=not is_kept)
        runs = len(server.requests)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert caught.value.code == 'lost'
    assert 'whole' not in caught.value.message
    assert runs <= (3 if is_kept else 1)


@pytest.mark.parametrize('status', ODD_STATUSES)
def test_home_whose_status_is_none_has_not_answered(status):
    """An entry VM that answers so counts as lost, whatever it says beside."""
    odd = (
        f'HTTP/1.1 {status} X\r\n{VERDICT_HEADER}: {Verdict.RAN}\r\n'
        'Content-Length: 5\r\n\r\nwhole'
    ).encode('latin-1')
    with serve(lambda _connection_number, _request_number: odd) as server:
        target = _ADDRESS, server.port
        relay = HttpRelay(TcpWire(), _ADDRESS, SystemClock(), lambda _: target)
        with pytest.raises(PeerError) as caught:
            relay.send('home', build_request(), 1)
        relay.close()
    assert 'whole' not in caught.value.message


def test_refused_connection_means_not_run(adapter):
    """The verdict of a refused connection is `NOT_RUN`."""
    with serve(lambda _connection_number, _request_number: b'') as server:
        port = server.port
    with pytest.raises(RequestError) as caught:
        adapter.send(build_upstream(port), build_request(), new_connection=True)
    assert caught.value.verdict is Verdict.NOT_RUN


def test_truncated_body_raises(adapter):
    """A truncated body raises an error while its chunks are read."""
    truncated = b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\ncut'
    with serve(lambda _connection_number, _request_number: truncated) as server:
        answer = adapter.send(
            build_upstream(server.port),
            build_request(),
            new_connection=True,
        )
        with pytest.raises(RequestError) as caught:
            list(answer.chunks)
    assert caught.value.code == 'cut-answer'


def answer_in_part(listener, sizes):
    """Send the first bytes of an answer on each connection and close it."""
    for size in sizes:
        connection = listener.accept()[0]
        with connection:
            connection.recv(65_536)
            connection.sendall(build_http_answer(b'whole')[:size])


def test_answer_cut_in_its_head_is_lost(adapter):
    """A head cut within a header passed for an answer with no body."""
    sizes = range(build_http_answer(b'whole').index(b'whole'))
    with socket.create_server((_ADDRESS, 0)) as listener:
        upstream = build_upstream(listener.getsockname()[1])
        threading.Thread(
            target=answer_in_part, args=(listener, sizes), daemon=True
        ).start()
        for size in sizes:
            with pytest.raises(RequestError) as caught:
                adapter.send(upstream, build_request(), new_connection=True)
            assert caught.value.code == 'lost', f'{size} bytes'
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize('failure', [b'', None])
def test_failed_idle_connection_is_replaced(adapter, failure):
    """An idle connection that is silent or closed is replaced once."""

    def script(connection_number, request_number):
        return (
            failure
            if connection_number == 1 and request_number > 1
            else build_http_answer()
        )

    with serve(script) as server:
        upstream = build_upstream(server.port)
        for _ in range(3):
            answer = adapter.send(
                upstream, build_request(), new_connection=False
            )
            assert b''.join(answer.chunks) == b'ok'
    assert server.requests == [(1, 1), (1, 2), (2, 1), (2, 2)]


class RecordingClock(SystemClock):
    """A clock that records requested sleeps without sleeping."""

    def __init__(self):
        self.slept = []

    def sleep(self, seconds):
        self.slept.append(seconds)


@pytest.mark.parametrize(
    ('failure', 'slept'),
    [(b'', [BACKEND_STOP_SECONDS]), (None, [])],
)
def test_retry_waits_until_silent_work_has_stopped(failure, slept):
    """After a silent connection, the retry waits until the work has ended.

    Otherwise the backend server would run the request twice at the same time
    although the request holds only one slot.
    """

    def script(connection_number, request_number):
        return (
            failure
            if connection_number == 1 and request_number > 1
            else build_http_answer()
        )

    clock = RecordingClock()
    adapter = HttpUpstreams(TcpWire(), _ADDRESS, clock)
    with serve(script) as server:
        upstream = build_upstream(server.port)
        for _ in range(2):
            answer = adapter.send(
                upstream, build_request(), new_connection=False
            )
            list(answer.chunks)
    adapter.close()
    assert clock.slept == slept


def answer_twice(listener):
    """Answer a request, then again when the next one has come."""
    connection = listener.accept()[0]
    with connection:
        first = build_named_answer(connection, b'first')
        connection.sendall(first)
        second = build_named_answer(connection, b'second')
        connection.sendall(first)
        time.sleep(0.05)
        with contextlib.suppress(OSError):  # the adapter closes it
            connection.sendall(second)


def build_named_answer(connection, body):
    """Return an answer that names the try of the next request."""
    head = connection.recv(65_536).decode().lower()
    answered_try = re.search('sesame-try: ([0-9a-f]+)', head)
    extra = f'Sesame-Try: {answered_try[1]}\r\n' if answered_try else ''
    return build_http_answer(body, extra)


def test_late_second_copy_goes_to_no_other_caller(adapter):
    """A second copy of an answer was taken for that of the next request."""
    with socket.create_server((_ADDRESS, 0)) as listener:
        upstream = build_upstream(listener.getsockname()[1])
        serving = threading.Thread(target=answer_twice, args=(listener,))
        serving.start()
        answer = adapter.send(upstream, build_request(), new_connection=False)
        assert b''.join(answer.chunks) == b'first'
        with pytest.raises(RequestError) as caught:
            adapter.send(upstream, build_request(), new_connection=False)
        serving.join()
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def refuse_twice(listener):
    """Refuse a request, then again when the next one has come."""
    refusal = b'HTTP/1.1 503 x\r\nSesame-Shed: 1\r\nContent-Length: 0\r\n\r\n'
    connection = listener.accept()[0]
    with connection:
        connection.recv(65_536)
        connection.sendall(refusal)
        if connection.recv(65_536):
            connection.sendall(refusal)
    connection = listener.accept()[0]
    with connection:
        connection.recv(65_536)
        connection.sendall(build_http_answer())


def test_repeated_refusal_refuses_no_other_request(adapter):
    """A second copy of a refusal said that the next request had not run."""
    with socket.create_server((_ADDRESS, 0)) as listener:
        upstream = build_upstream(listener.getsockname()[1])
        threading.Thread(
            target=refuse_twice, args=(listener,), daemon=True
        ).start()
        with pytest.raises(RequestError) as caught:
            adapter.send(upstream, build_request(), new_connection=False)
        assert caught.value.code == 'shed'
        answer = adapter.send(upstream, build_request(), new_connection=False)
        assert b''.join(answer.chunks) == b'ok'


def test_unread_body_closes_connection(adapter):
    """A connection whose answer was not read to its end is not reused."""
    with serve(
        lambda _connection_number, _request_number: build_http_answer()
    ) as server:
        upstream = build_upstream(server.port)
        answer = adapter.send(upstream, build_request(), new_connection=False)
        answer.chunks.close()
        answer = adapter.send(upstream, build_request(), new_connection=False)
        assert b''.join(answer.chunks) == b'ok'
    assert server.requests == [(1, 1), (2, 1)]


def test_caller_disconnect_ends_the_attempt(adapter):
    """An attempt ends at once when its caller disconnects."""
    server_end, caller_end = socket.socketpair()
    request = replace(build_request(5), caller=server_end)
    with (
        server_end,
        serve(lambda _connection_number, _request_number: b'') as server,
    ):
        timer = threading.Timer(0.1, caller_end.close)
        timer.start()
        with pytest.raises(RequestError) as caught:
            adapter.send(
                build_upstream(server.port), request, new_connection=True
            )
    assert caught.value.code == 'cancelled'
    assert time.monotonic() < request.deadline - 3


def test_next_request_does_not_end_the_attempt(adapter):
    """Bytes of the caller's next request do not end the current one."""
    server_end, caller_end = socket.socketpair()
    request = replace(build_request(), caller=server_end)
    caller_end.sendall(b'GET /next')
    with (
        server_end,
        caller_end,
        serve(
            lambda _connection_number, _request_number: build_http_answer()
        ) as server,
    ):
        answer = adapter.send(
            build_upstream(server.port),
            request,
            new_connection=True,
        )
        assert b''.join(answer.chunks) == b'ok'
