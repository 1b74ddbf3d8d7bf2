"""Tests that `FrontServer` counts the requests it is still answering."""

import contextlib
import socket
import threading
import time
from http.client import HTTPConnection, HTTPResponse, IncompleteRead

import pytest

from sesameroute.adapters import FrontServer
from sesameroute.adapters._connection_loop import TURN_SECONDS
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.exceptions import SesameError
from sesameroute.limits import ConcurrencyBounds, QueueBounds
from sesameroute.ports import Answer

ADDRESS = (f'{NETWORK}.6', 18_499)
CHUNK = b'part'
WHOLE_BYTES = 2 * len(CHUNK)
TIMEOUT_SECONDS = 5
_LATE_SECONDS = 0.6  # later than a request may wait for a thread


class PausedStreams:
    """A handler whose answers pause halfway until `may_continue` is set."""

    def __init__(self, failure=None, length=WHOLE_BYTES):
        """Store the error that ends the answers, if any, and their length."""
        self.failure = failure
        self.length = length
        self.may_continue = threading.Event()

    def __call__(self, request):
        """Return an answer of two chunks."""
        return Answer(200, (), self.stream(), self.length)

    def stream(self):
        """Yield a chunk, wait, then yield another or fail."""
        yield CHUNK
        self.may_continue.wait(TIMEOUT_SECONDS)
        if self.failure:
            raise self.failure
        yield CHUNK


def wait_for(predicate):
    """Return whether a condition becomes true in time."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not predicate() and time.monotonic() < deadline:
        time.sleep(0.01)
    return predicate()


@contextlib.contextmanager
def serve(handler):
    """Run a server with this handler."""
    server = FrontServer(ADDRESS, handler)
    server.start()
    try:
        yield server
    finally:
        handler.may_continue.set()
        server.stop()


@pytest.mark.parametrize('failure', [None, SesameError('body ended early')])
def test_request_counts_as_running_until_last_byte(failure):
    """A request is in progress until its last byte is sent or it fails.

    A shutdown that waits for requests in progress would otherwise cut off
    answers that are still being sent.
    """
    handler = PausedStreams(failure)
    with serve(handler) as server:
        caller = HTTPConnection(*ADDRESS, timeout=TIMEOUT_SECONDS)
        caller.request('GET', '/')
        answer = caller.getresponse()
        assert answer.read(len(CHUNK)) == CHUNK
        assert server.running_.count == 1
        handler.may_continue.set()
        assert wait_for(lambda: not server.running_.count)
        caller.close()


def test_disconnected_caller_is_not_counted():
    """An answer that its caller no longer reads does not delay a shutdown."""
    handler = PausedStreams()
    with serve(handler) as server:
        caller = HTTPConnection(*ADDRESS, timeout=TIMEOUT_SECONDS)
        caller.request('GET', '/')
        caller.getresponse().read(1)
        caller.close()
        handler.may_continue.set()
        assert wait_for(lambda: not server.running_.count)


@pytest.mark.parametrize('version', ['1.0', '1.1'])
@pytest.mark.parametrize('length', [None, WHOLE_BYTES])
def test_caller_sees_that_an_answer_is_cut(version, length):
    """HTTP/1.0 callers took the end of a cut answer for its regular end."""
    handler = PausedStreams(SesameError('body ended early'), length)
    with serve(handler):
        caller = socket.create_connection(ADDRESS, TIMEOUT_SECONDS)
        with caller:
            caller.sendall(f'GET / HTTP/{version}\r\nHost: h\r\n\r\n'.encode())
            answer = HTTPResponse(caller)
            answer.begin()
            assert answer.read(len(CHUNK)) == CHUNK
            handler.may_continue.set()
            with pytest.raises((ConnectionResetError, IncompleteRead)):
                answer.read()


def read_answers(connections):
    """Return the statuses of the answers; each has to come whole."""
    for connection in connections:
        with HTTPResponse(connection) as answer:
            answer.begin()
            assert len(answer.read()) == int(answer.headers['Content-Length'])
            assert answer.status == 200 or answer.headers['Retry-After']
            yield answer.status


@contextlib.contextmanager
def connect(burst):
    """Send a request on each of some connections."""
    with contextlib.ExitStack() as callers:
        connections = []
        for _ in range(burst):
            connection = socket.create_connection(ADDRESS, TIMEOUT_SECONDS)
            connections.append(callers.enter_context(connection))
            connection.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        yield connections


@pytest.mark.parametrize('burst', [10, 100, 300])
def test_planned_stop_answers_accepted_requests(burst):
    """Requests that waited for a thread or to be accepted were cut off.

    Here they may wait for as long as the machine takes to run them all.
    """

    def answer_slowly(_request):
        time.sleep(0.005)
        return Answer(200, (), iter((CHUNK,)), len(CHUNK))

    server = FrontServer(ADDRESS, answer_slowly, threads=4)
    server._pool.queue._waiting.bounds = QueueBounds(*[TIMEOUT_SECONDS] * 3)
    server.start()
    with connect(burst) as connections:
        server.stop_accepting()
        assert wait_for(lambda: not server.running_.count)
        server.stop()
        answers = list(read_answers(connections))
    assert answers == [200] * burst


@pytest.mark.parametrize('burst', [10, 100, 300])
def test_planned_stop_refuses_requests_that_get_no_turn(burst):
    """Requests run or are refused; a busy machine can't run all in time."""
    threads = 4
    ran = []
    may_end = threading.Event()

    def answer_late(request):
        ran.append(request)
        may_end.wait(TIMEOUT_SECONDS)
        return Answer(200, (), iter((CHUNK,)), len(CHUNK))

    server = FrontServer(ADDRESS, answer_late, threads=threads)
    limit = server._pool.queue.limit
    limit.bounds = ConcurrencyBounds(lowest=threads, highest=threads)
    limit.limit_ = threads
    server.start()
    with connect(burst) as connections:
        server.stop_accepting()
        assert wait_for(lambda: server.running_.count == threads)
        may_end.set()
        assert wait_for(lambda: not server.running_.count)
        server.stop()
        answers = sorted(read_answers(connections))
    assert answers == [200] * threads + [503] * (burst - threads)
    assert len(ran) == threads


def test_planned_stop_waits_for_a_late_event_loop(monkeypatch):
    """A request that the loop read late in a stop was begun and then cut."""
    began = threading.Event()
    may_turn = threading.Event()
    may_turn.set()

    def answer(request):
        if request.path == b'/late':
            began.set()
            time.sleep(1)
        return Answer(200, (), iter((CHUNK,)), len(CHUNK))

    server = FrontServer(ADDRESS, answer)
    watched, pool = server._idle.watched, server._pool
    select, stop_pool = watched.select, pool.stop

    def select_late(pause):
        may_turn.wait(TIMEOUT_SECONDS)
        return select(pause)

    def stop_pool_late():
        began.wait(TIMEOUT_SECONDS)  # the threads end as late as the loop
        stop_pool()

    monkeypatch.setattr(watched, 'select', select_late)
    monkeypatch.setattr(pool, 'stop', stop_pool_late)
    server.start()
    caller = HTTPConnection(*ADDRESS, timeout=TIMEOUT_SECONDS)
    caller.request('GET', '/')
    assert caller.getresponse().read() == CHUNK
    may_turn.clear()
    time.sleep(2 * TURN_SECONDS)
    caller.request('GET', '/late')
    threading.Timer(1.5, may_turn.set).start()
    server.stop(time.monotonic() + TIMEOUT_SECONDS)
    assert not server.running_.count  # the process may end now
    assert caller.getresponse().read() == CHUNK
    caller.close()


@pytest.mark.parametrize('threads', [1, 4])
@pytest.mark.parametrize('excess', [0, 3])
def test_requests_that_find_a_thread_free_are_served_late(threads, excess):
    """What came while the threads got no turn was refused with none before.

    Those that no thread is free for are refused as ever.
    """
    may_run = threading.Event()
    server = FrontServer(
        ADDRESS, lambda _: Answer(200, (), iter(()), 0), threads=threads
    )
    queue = server._pool.queue
    has_turn = queue._has_turn
    queue._has_turn = lambda: may_run.is_set() and has_turn()
    server.start()
    assert wait_for(lambda: queue.idle_ == threads)
    with connect(threads + excess) as connections:
        assert wait_for(lambda: server.running_.count == threads + excess)
        time.sleep(_LATE_SECONDS)
        may_run.set()
        with queue._changed:
            queue._changed.notify_all()
        statuses = sorted(read_answers(connections))
    server.stop()
    assert statuses == [200] * threads + [503] * excess
