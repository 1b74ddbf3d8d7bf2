"""Tests of callers that read their answers slowly or not at all."""

import socket
import time

import pytest

from sesameroute.adapters.tests.rows import (
    ADDRESS,
    LONG_BYTES,
    PART_BYTES,
    TIMEOUT_SECONDS,
    Answers,
    ScriptedHandler,
    build_request,
    build_row,
    serving,
    wait_for,
)

COUNT = 40
BODY_BYTES = 4 * LONG_BYTES
# What the kernel takes of an answer for a caller that does not read.
BUFFER_BYTES = 65_536


@pytest.fixture
def handler():
    """Return a handler whose long answers exceed the kernel's buffers."""
    handler = ScriptedHandler()
    handler.long_bytes = BODY_BYTES
    return handler


@pytest.fixture
def callers():
    """Yield a function that opens connections with small buffers."""
    opened = []

    def open_one(server):
        # The connections that are accepted inherit the size.
        listener = server._loop.acceptor._listener
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.settimeout(TIMEOUT_SECONDS)
        caller.connect(ADDRESS)
        opened.append(caller)
        return caller

    yield open_one
    for caller in opened:
        caller.close()


@pytest.mark.parametrize('word', ['long', 'long/chunked'])
@pytest.mark.parametrize('size', [1, 3])
def test_slow_reader_takes_no_thread_and_gets_all(handler, callers, word, size):
    """Its answer is read from the server in time, and kept for it."""
    with serving(handler) as server:
        server.limit_held(100 * BODY_BYTES)
        slow = [callers(server) for _ in range(3)]
        for caller in slow:
            caller.sendall(b''.join(build_row(size, word)))
        assert wait_for(lambda: len(handler.ended) == 3 * size)
        assert wait_for(lambda: not server.read_load().busy)
        assert server.running_.count == 3
        for caller in slow:
            assert len(Answers(caller).read(size)) == size
        assert wait_for(lambda: not server._idle.held.held_)
        assert wait_for(lambda: not server.running_.count)


def test_held_bytes_are_bounded_and_others_are_served(handler, callers):
    """Those that take nothing are cut one after the other."""
    limit = 4 * BODY_BYTES
    with serving(handler) as server:
        server.limit_held(limit)
        slow = [callers(server) for _ in range(COUNT)]
        for caller in slow:
            caller.sendall(build_row(1, 'long')[0])
        assert wait_for(lambda: len(handler.begun) == COUNT)
        ends = time.monotonic() + 3
        while time.monotonic() < ends:
            held = server._idle.held.held_
            assert held <= limit + COUNT * PART_BYTES
            quick = callers(server)
            quick.sendall(build_row(1)[0])
            assert Answers(quick).read(1) == ['/safe/0']
        paths = [Answers(caller).read(1) for caller in slow]
    assert [] in paths


def test_slow_reader_that_leaves_frees_what_is_held(handler, callers):
    """It counts no more, and the thread of its answer ends."""
    with serving(handler) as server:
        server.limit_held(BODY_BYTES)
        caller = callers(server)
        caller.sendall(b''.join(build_row(3, 'long')))
        assert wait_for(lambda: server._idle.held.held_)
        caller.close()
        assert wait_for(lambda: not server.running_.count)
        assert not server._idle.held.held_


def test_request_behind_a_slow_reader_waits(handler, callers):
    """What must not run twice isn't passed on before the answer is sent."""
    with serving(handler) as server:
        server.limit_held(100 * BODY_BYTES)
        caller = callers(server)
        caller.sendall(build_row(1, 'long')[0] + build_request('/other/b'))
        assert wait_for(lambda: handler.ended)
        time.sleep(0.1)
        assert len(handler.begun) == 1
        assert Answers(caller).read(2) == ['/safe/long/0', '/other/b']
