"""Tests of the choice of entry VMs while look-ups fail."""

import json
import random
import time

import pytest

from sesameroute.adapters.tests.scripted import (
    ScriptedServer,
    build_http_answer,
)
from sesameroute.caller import Directory
from sesameroute.exceptions import RequestError
from sesameroute.ports import SystemClock, TcpWire

_ADDRESS = '127.31.0.3'
_ENTRIES = tuple(
    {'vm': vm, 'address': '127.0.0.1', 'port': 1, 'weight': 1, 'prefix': vm}
    for vm in ('a', 'b')
)
_ANSWER = build_http_answer(
    json.dumps({'ttl_ms': 50, 'entries': _ENTRIES}).encode(),
)


def write_entry(**changes):
    """Return the body of an answer with one changed entry."""
    entries = [_ENTRIES[0] | changes]
    return json.dumps({'ttl_ms': 50, 'entries': entries}).encode()


def run_lookup(script):
    """Return a look-up process that follows a script."""
    return ScriptedServer(script, _ADDRESS)


def build_directory(*ports):
    """Return a directory that queries look-ups on these ports."""
    return Directory(
        tuple((_ADDRESS, port) for port in ports),
        'd',
        TcpWire(),
        _ADDRESS,
        SystemClock(),
    )


def choose(directory, exclude=()):
    """Return the name of a chosen entry VM."""
    return directory.choose('s', random.Random(1), exclude).vm


@pytest.mark.parametrize(
    'bad_answer',
    [
        None,
        b'',
        b'garbage\r\n\r\n',
        build_http_answer(b'not json'),
        build_http_answer(b'{"entries": [{"vm": 1}], "ttl_ms": 1}'),
        build_http_answer(b'{"entries": [], "ttl_ms": 1%s}' % (b'0' * 400)),
        build_http_answer(b'{"entries":' * 50_000),
        build_http_answer(write_entry(weight=float('nan'))),
        build_http_answer(write_entry(weight='often')),
        build_http_answer(write_entry(port=10**400)),
        build_http_answer(write_entry(port=65_536)),
    ],
)
def test_failing_lookup_is_skipped(bad_answer):
    """If a look-up fails in any way, the next one is queried."""
    with (
        run_lookup(lambda *_request: bad_answer) as bad,
        run_lookup(lambda *_request: _ANSWER) as good,
    ):
        directory = build_directory(bad.port, good.port)
        assert choose(directory) in {'a', 'b'}
        time.sleep(0.06)
        choose(directory)
    # The second query went to the good look-up only.
    assert (len(bad.requests), len(good.requests)) == (1, 2)


def test_expired_answer_is_used_when_lookups_are_silent():
    """With all look-ups silent, the expired answer is still used."""

    def script(number, count):
        return _ANSWER if (number, count) == (1, 1) else b''

    with run_lookup(script) as server:
        directory = build_directory(server.port)
        for _ in range(3):
            assert choose(directory) in {'a', 'b'}
            time.sleep(0.06)
    assert server.requests == [(1, 1), (1, 2), (2, 1)]


def test_no_answer_raises_not_run():
    """Without any answer the verdict is `NOT_RUN`, with a time to wait."""
    with run_lookup(lambda *_request: b'') as server:
        with pytest.raises(RequestError) as caught:
            choose(build_directory(server.port))
    assert caught.value.verdict.allows_retry
    assert caught.value.retry_after > 0


@pytest.mark.parametrize(
    ('suspects', 'exclude', 'expected'),
    [
        (['a'], (), {'b'}),
        (['a', 'b'], (), {'a', 'b'}),
        (['a'], ('b',), {'a'}),
        ([], ('a',), {'b'}),
        ([], ('a', 'b'), {'a', 'b'}),
    ],
)
def test_failed_entry_vms_are_avoided(suspects, exclude, expected):
    """An entry VM that failed lately is chosen only if no other is left."""
    with run_lookup(lambda *_request: _ANSWER) as server:
        directory = build_directory(server.port)
        for vm in suspects:
            directory.suspect(vm)
        rng = random.Random(3)
        chosen = {directory.choose('s', rng, exclude).vm for _ in range(20)}
    assert chosen == expected
