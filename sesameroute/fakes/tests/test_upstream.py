"""Tests of the stand-in backend server."""

import socket
import time
from http.client import HTTPConnection, HTTPException
from threading import Thread
from types import MappingProxyType

import pytest

from sesameroute.fakes import (
    Behaviour,
    FakeUpstream,
    Journal,
    WorkKind,
    read_mark,
)
from sesameroute.statement import Upstream

_KINDS = MappingProxyType(
    {
        'quick': WorkKind(0, 100),
        'slow': WorkKind(0.3, 100),
        'heavy': WorkKind(0, 1_000_000),
    }
)
_ADDRESS = '127.30.0.1'


def _find_port():
    with socket.socket() as probe:
        probe.bind((_ADDRESS, 0))
        return probe.getsockname()[1]


@pytest.fixture
def fake():
    upstream = Upstream('u1', 'desk', 'a', _ADDRESS, _find_port(), 1, 5)
    running = FakeUpstream(upstream, _KINDS, Journal(), Behaviour())
    running.start()
    yield running
    running.crash()


def _ask(fake, path, line=None, method='GET', body=None, **headers):
    if line is None:
        line = HTTPConnection(
            _ADDRESS,
            fake.upstream.port,
            timeout=3,
        )
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    line.request(method, path, body, named)
    answer = line.getresponse()
    return answer, answer.read()


@pytest.mark.parametrize('kind', ['quick', 'heavy'])
def test_an_answer_is_whole_and_journalled(fake, kind):
    answer, body = _ask(fake, f'/desk/{kind}/o1', Sesame_Key='k1')
    mark = read_mark(body)
    run = fake.journal.find('o1')[0]
    assert answer.status == 200
    assert (mark.order, mark.digest) == ('o1', run.digest)
    assert (run.key, run.upstream, run.kind) == ('k1', 'u1', kind)
    assert read_mark(body[:-1]) is None


def test_a_connection_serves_again(fake):
    line = HTTPConnection(_ADDRESS, fake.upstream.port)
    for order in ('o1', 'o2'):
        body = _ask(fake, f'/desk/quick/{order}', line)[1]
        assert read_mark(body).order == order


def test_what_finds_no_slot_is_shed_and_not_run(fake):
    fake.behaviour.queue_seconds = 0.05
    first = Thread(target=_ask, args=(fake, '/desk/slow/o1'))
    first.start()
    time.sleep(0.1)
    answer, _ = _ask(fake, '/desk/quick/o2')
    first.join()
    assert (answer.status, answer.headers['Sesame-Shed']) == (503, '1')
    assert not fake.journal.find('o2')
    assert fake.journal.find('o1')[0].ended


def test_a_drain_announces_then_refuses(fake):
    fake.drain()
    answer, _ = _ask(fake, '/desk/quick/o1')
    assert (answer.status, answer.headers['Sesame-Draining']) == (200, '1')
    fake.behaviour.leaves_after = 0
    answer, _ = _ask(fake, '/desk/quick/o2')
    assert (answer.status, answer.headers['Sesame-Draining']) == (503, '1')
    assert not fake.journal.find('o2')


@pytest.mark.parametrize('path', ['/desk/slow/poison-1', '/desk/slow/o1'])
def test_a_crash_leaves_an_unfinished_run_and_no_answer(fake, path):
    if 'poison' not in path:
        Thread(target=lambda: (time.sleep(0.1), fake.crash())).start()
    with pytest.raises((OSError, HTTPException)):
        _ask(fake, path)
    run = fake.journal.list_runs()[0]
    assert not run.ended
    with pytest.raises(OSError):
        _ask(fake, '/desk/quick/o2')
    fake.start()
    assert _ask(fake, '/desk/quick/o3')[0].status == 200


def test_a_cancelled_key_stops_work(fake):
    Thread(
        target=lambda: (
            time.sleep(0.1),
            _ask(fake, '/-/cancel/k1', method='POST'),
        ),
    ).start()
    with pytest.raises((OSError, HTTPException)):
        _ask(fake, '/desk/slow/o1', Sesame_Key='k1')
    assert not fake.journal.find('o1')[0].ended


def test_a_caller_that_left_frees_its_slot(fake):
    line = HTTPConnection(_ADDRESS, fake.upstream.port)
    line.request('GET', '/desk/slow/o1')
    time.sleep(0.05)
    line.close()
    time.sleep(0.1)
    assert fake.worker.slots.active == 0


def test_a_passed_deadline_ends_work(fake):
    with pytest.raises((OSError, HTTPException)):
        _ask(fake, '/desk/slow/o1', Sesame_Deadline_Ms='60')
    assert not fake.journal.find('o1')[0].ended


def test_silence_hits_open_connections_only(fake):
    line = HTTPConnection(_ADDRESS, fake.upstream.port, timeout=0.2)
    _ask(fake, '/desk/quick/o1', line)
    fake.silence()
    with pytest.raises(TimeoutError):
        _ask(fake, '/desk/quick/o2', line)
    assert _ask(fake, '/desk/quick/o3')[0].status == 200


def test_connections_are_limited(fake):
    lines = [
        HTTPConnection(_ADDRESS, fake.upstream.port)
        for _ in range(fake.upstream.connections)
    ]
    for line in lines:
        line.connect()
    with pytest.raises((OSError, HTTPException)):
        _ask(fake, '/desk/quick/o1')
    for line in lines:
        line.close()


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({}, '0/1'),
        ({'load_lie': 9}, '9/1'),
        ({'reports_load': False}, None),
    ],
)
def test_load_is_told_as_set(fake, change, expected):
    for name, content in change.items():
        setattr(fake.behaviour, name, content)
    for path in ('/-/load', '/desk/quick/o1'):
        answer = _ask(fake, path)[0]
        if path == '/-/load' or expected is None:
            assert answer.headers['Sesame-Load'] == expected


def test_a_cold_server_is_slow(fake):
    fake.behaviour.cold_seconds = 60
    fake.behaviour.cold_factor = 3
    fake.behaviour.work_factor = 0.2
    started = time.monotonic()
    _ask(fake, '/desk/slow/o1')
    assert (time.monotonic() - started) * 100 > 15
