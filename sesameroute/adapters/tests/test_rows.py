"""Tests of rows of requests on one connection."""

import random
import socket
import time

import pytest

from sesameroute.adapters.tests.rows import (
    Answers,
    ScriptedHandler,
    build_request,
    build_row,
    calling,
    serving,
    wait_for,
)

WORDS = ('', 'slow', 'long', 'chunked', 'pause')
UNSAFE = (
    build_request('/other/a'),
    build_request('/other/a', 'POST', 'Content-Length: 0\r\n'),
    build_request('/safe/a', 'GET', 'Content-Length: 2\r\n', 'ab'),
    build_request(
        '/safe/a',
        'POST',
        'Transfer-Encoding: chunked\r\n',
        '2\r\nab\r\n0\r\n\r\n',
    ),
    build_request('/safe/a', 'GET', 'Expect: 100-continue\r\n'),
)


@pytest.fixture
def handler():
    """Return a handler that holds back the slow answers."""
    return ScriptedHandler()


@pytest.mark.parametrize('word', ['slow', 'pause', 'slow/long', 'pause/long'])
def test_slow_request_holds_back_only_answers(handler, word):
    """All behind it run meanwhile, and are answered in order behind it."""
    row = [build_request(f'/safe/{word}/0'), *build_row(7, 'b')]
    with serving(handler), calling() as caller:
        caller.sendall(b''.join(row))
        assert wait_for(lambda: len(handler.ended) == 7)
        handler.may_go.set()
        paths = Answers(caller).read(8)
    assert paths == [
        f'/safe/{word}/0',
        *(f'/safe/b/{number}' for number in range(7)),
    ]


@pytest.mark.parametrize('size', [2, 3, 8, 16])
@pytest.mark.parametrize('word', ['cut', 'none', 'last', 'chunked/cut'])
def test_nothing_is_sent_behind_an_answer_that_ends_the_row(
    handler, size, word
):
    """Each before it is answered, and the connection ends with it."""
    for before, behind in enumerate(reversed(range(size))):
        row = [
            *build_row(before),
            build_request(f'/safe/{word}'),
            *build_row(behind),
        ]
        with serving(handler), calling() as caller:
            caller.sendall(b''.join(row))
            paths = Answers(caller).read(size)
        whole = [f'/safe/{number}' for number in range(before)]
        assert paths == whole + [f'/safe/{word}'] * (word == 'last')


@pytest.mark.parametrize('other', UNSAFE)
def test_request_that_must_not_repeat_waits_for_answers(handler, other):
    """It runs after all before it, and what stands behind it follows."""
    row = [build_request('/safe/slow/0'), *build_row(2), other, *build_row(1)]
    with serving(handler), calling() as caller:
        caller.sendall(b''.join(row))
        assert wait_for(lambda: len(handler.ended) == 2)
        assert len(handler.begun) == 3
        handler.may_go.set()
        paths = Answers(caller).read(5)
    assert len(paths) == 5
    assert handler.begun[3:] == paths[3:]


@pytest.mark.parametrize('other', UNSAFE)
@pytest.mark.parametrize('word', ['cut', 'none', 'last'])
def test_request_behind_an_end_is_not_passed_on(handler, other, word):
    """Callers send it again, so that it would run twice."""
    row = [build_request(f'/safe/slow/{word}'), *build_row(2), other]
    with serving(handler) as server, calling() as caller:
        caller.sendall(b''.join(row))
        assert wait_for(lambda: len(handler.begun) == 3)
        handler.may_go.set()
        Answers(caller).read(4)
        caller.close()
        assert wait_for(lambda: not server.running_.count)
    assert len(handler.begun) == 3


def test_bytes_may_come_in_any_parts(handler):
    """A row that is cut at any byte is read as it was sent."""
    row = b''.join((*build_row(2), UNSAFE[2], *build_row(1)))
    with serving(handler):
        for cut, _byte in enumerate(row):
            with calling() as caller:
                caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                caller.sendall(row[:cut])
                time.sleep(0.002)
                caller.sendall(row[cut:])
                paths = Answers(caller).read(4)
            assert paths == ['/safe/0', '/safe/1', '/safe/a', '/safe/0']


@pytest.mark.parametrize('seed', range(6))
def test_answers_come_in_order_each_to_its_own_request(handler, seed):
    """Seeded rows of all kinds: none is doubled, mixed up or left out."""
    rng = random.Random(seed)
    handler.may_go.set()
    with serving(handler):
        for _ in range(20):
            paths = [
                f'/{rng.choice(("safe", "safe", "other"))}/'
                f'{rng.choice(WORDS)}/{rng.random()}'
                for _ in range(rng.randint(2, 24))
            ]
            # cheroot closes behind an answer to HEAD without a length.
            methods = [
                'GET' if 'chunked' in path else rng.choice(('GET', 'HEAD'))
                for path in paths
            ]
            handler.begun.clear()
            with calling() as caller:
                for pair in zip(paths, methods, strict=True):
                    caller.sendall(build_request(*pair))
                assert Answers(caller, methods).read(len(paths)) == paths
            assert sorted(handler.begun) == sorted(paths)


def test_time_counts_from_arrival(handler):
    """A request that waits for its turn has come when it was read."""
    row = [build_request('/safe/slow/0'), build_request('/other/1')]
    with serving(handler), calling() as caller:
        caller.sendall(b''.join(row))
        sent_at = time.monotonic()
        assert wait_for(lambda: handler.begun)
        time.sleep(0.3)
        handler.may_go.set()
        assert len(Answers(caller).read(2)) == 2
    assert all(came_at < sent_at + 0.25 for came_at in handler.came_at)


@pytest.mark.parametrize('count', [1, 4])
def test_stop_answers_what_has_begun(handler, count):
    """The last answer of the row closes the connection, none before it."""
    leaving = []
    with serving(handler, lambda: bool(leaving)), calling() as caller:
        row = [build_request('/safe/slow/0'), *build_row(count - 1)]
        caller.sendall(b''.join(row))
        assert wait_for(lambda: len(handler.begun) == count)
        leaving.append(True)
        caller.sendall(build_request('/safe/behind'))
        time.sleep(0.1)
        assert len(handler.begun) == count
        handler.may_go.set()
        answers = Answers(caller)
        assert len(answers.read(count)) == count


@pytest.mark.parametrize('count', [1, 3, 16])
def test_caller_that_leaves_in_a_row_frees_all(handler, count):
    """Its connection counts no more once its requests have ended."""
    with serving(handler) as server:
        with calling() as caller:
            caller.sendall(b''.join(build_row(count, 'slow')))
            assert wait_for(lambda: len(handler.begun) == count)
        handler.may_go.set()
        assert wait_for(lambda: not server.running_.count)
        assert not server._idle.held.held_


def test_slow_reader_of_a_row_is_not_kept_in_memory(handler):
    """What waits behind others is bounded; the rest waits for its turn."""
    row = [build_request('/safe/slow/0'), *build_row(15, 'long')]
    with serving(handler) as server, calling() as caller:
        server._idle.held.limit = 8 * 250_000
        caller.sendall(b''.join(row))
        assert wait_for(lambda: len(handler.begun) == 16)
        time.sleep(0.1)
        assert server._idle.held.held_ <= 250_000
        handler.may_go.set()
        assert len(Answers(caller).read(16)) == 16
        assert wait_for(lambda: not server._idle.held.held_)
