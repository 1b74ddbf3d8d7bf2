"""Tests that single errors don't end the server for callers."""

import contextlib
import errno
import logging
import socket
import threading
import time
from http.client import HTTPConnection, HTTPException

from cheroot.server import HTTPConnection as ParsedConnection

from sesameroute.adapters import FrontServer
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.ports import Answer

_ADDRESS = (f'{NETWORK}.8', 18_498)
_CONTENT = b'whole'
_SECONDS = 3
_CALLS = 12
_SLOW_SECONDS = 0.4
_STOP_SECONDS = 2.0


def call():
    """Return the status of an answer on a new connection; 0 without one."""
    caller = HTTPConnection(*_ADDRESS, timeout=_SECONDS)
    with contextlib.closing(caller):
        try:
            caller.request('GET', '/')
            answer = caller.getresponse()
            answer.read()
        except (OSError, HTTPException):
            return 0
    return answer.status


def answer_whole(_request):
    """Return an answer."""
    return Answer(200, (), iter((_CONTENT,)), len(_CONTENT))


@contextlib.contextmanager
def serving(handler=answer_whole, threads=4):
    """Run a server; its stop has to end in time."""
    server = FrontServer(_ADDRESS, handler, threads=threads)
    server.start()
    stopping = threading.Thread(target=server.stop, daemon=True)
    try:
        yield server
    finally:
        stopping.start()
        stopping.join(_STOP_SECONDS)
    assert not stopping.is_alive()


def fail_once(monkeypatch, owner, name, error):
    """Let a method raise an error at its next call."""
    method = getattr(owner, name)
    failures = [error]

    def fail(*arguments):
        if failures:
            raise failures.pop()
        return method(*arguments)

    monkeypatch.setattr(owner, name, fail)


def test_connection_that_fails_to_close_stops_nothing(monkeypatch):
    """One error at the end of a connection ended the whole server."""
    fail_once(
        monkeypatch,
        ParsedConnection,
        '_close_kernel_socket',
        OSError(errno.EIO, 'injected'),
    )
    with serving():
        caller = socket.create_connection(_ADDRESS, _SECONDS)
        caller.sendall(b'GET / HTTP/1.1\r\nConnection: close\r\n\r\n')
        caller.close()
        time.sleep(0.2)
        assert [call() for _ in range(_CALLS)] == [200] * _CALLS


def test_connection_that_can_not_be_kept_stops_nothing():
    """One connection that could not be watched ended the whole server."""
    is_first = [True]

    def answer_and_close(request):
        return Answer(200, (), stream(request), len(_CONTENT))

    def stream(request):
        yield _CONTENT
        if is_first:
            is_first.clear()
            request.conn.socket.close()

    with serving(answer_and_close):
        call()
        time.sleep(0.2)
        assert [call() for _ in range(_CALLS)] == [200] * _CALLS


def test_thread_that_can_not_be_started_is_no_end(monkeypatch):
    """One thread that did not start ended the one that adds threads."""

    def answer_slowly(request):
        time.sleep(_SLOW_SECONDS)
        return answer_whole(request)

    start = threading.Thread.start
    failures = [RuntimeError('injected')]

    def fail(thread):
        if failures and not thread.name.startswith('Thread'):
            raise failures.pop()
        start(thread)

    with serving(answer_slowly, threads=2):
        monkeypatch.setattr(threading.Thread, 'start', fail)
        call()
        time.sleep(1.2)  # an interval of checks for missing threads
        began = time.monotonic()
        callers = [threading.Thread(target=call) for _ in range(_CALLS)]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        assert not failures
        assert time.monotonic() - began < _CALLS * _SLOW_SECONDS / 2


def test_exhausted_descriptors_are_retried_at_intervals(monkeypatch, caplog):
    """Accepting without free descriptors took a whole processor core."""
    accept = socket.socket.accept
    attempts = []
    is_exhausted = threading.Event()
    is_exhausted.set()

    def fail(listener):
        if is_exhausted.is_set():
            attempts.append(listener)
            raise OSError(errno.EMFILE, 'no descriptors')
        return accept(listener)

    caplog.set_level(logging.WARNING)
    with serving():
        monkeypatch.setattr(socket.socket, 'accept', fail)
        answered = []
        caller = threading.Thread(target=lambda: answered.append(call()))
        caller.start()
        time.sleep(1)
        is_exhausted.clear()
        caller.join()
    assert answered == [200]
    assert 1 <= len(attempts) <= 20
