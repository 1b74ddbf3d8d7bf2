"""Tests of the fake backend server."""

import socket
import time
from http.client import HTTPConnection, HTTPException
from threading import Thread
from types import MappingProxyType

import pytest

from sesameroute.fakes import (
    Behaviour,
    ExecutionLog,
    FakeUpstream,
    WorkKind,
    read_checksum_line,
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
    running = FakeUpstream(upstream, _KINDS, ExecutionLog(), Behaviour())
    running.start()
    yield running
    running.crash()


def _send_request(
    fake, path, connection=None, method='GET', body=None, **headers
):
    if connection is None:
        connection = HTTPConnection(
            _ADDRESS,
            fake.upstream.port,
            timeout=3,
        )
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    connection.request(method, path, body, named)
    answer = connection.getresponse()
    return answer, answer.read()


@pytest.mark.parametrize('kind', ['quick', 'heavy'])
def test_answer_is_complete_and_recorded(fake, kind):
    answer, body = _send_request(fake, f'/desk/{kind}/o1', Sesame_Key='k1')
    checksum_line = read_checksum_line(body)
    run = fake.execution_log.find('o1')[0]
    assert answer.status == 200
    assert (checksum_line.order, checksum_line.digest) == ('o1', run.digest)
    assert (run.key, run.upstream, run.kind) == ('k1', 'u1', kind)
    assert read_checksum_line(body[:-1]) is None


def test_connection_is_reused(fake):
    connection = HTTPConnection(_ADDRESS, fake.upstream.port)
    for order in ('o1', 'o2'):
        body = _send_request(fake, f'/desk/quick/{order}', connection)[1]
        assert read_checksum_line(body).order == order


def test_request_without_a_free_slot_is_shed_and_not_run(fake):
    fake.behaviour.queue_seconds = 0.05
    first = Thread(target=_send_request, args=(fake, '/desk/slow/o1'))
    first.start()
    time.sleep(0.1)
    answer, _ = _send_request(fake, '/desk/quick/o2')
    first.join()
    assert (answer.status, answer.headers['Sesame-Shed']) == (503, '1')
    assert not fake.execution_log.find('o2')
    assert fake.execution_log.find('o1')[0].ended


def test_drain_is_announced_before_requests_are_refused(fake):
    fake.drain()
    answer, _ = _send_request(fake, '/desk/quick/o1')
    assert (answer.status, answer.headers['Sesame-Draining']) == (200, '1')
    fake.behaviour.drain_notice_seconds = 0
    answer, _ = _send_request(fake, '/desk/quick/o2')
    assert (answer.status, answer.headers['Sesame-Draining']) == (503, '1')
    assert not fake.execution_log.find('o2')


@pytest.mark.parametrize('path', ['/desk/slow/poison-1', '/desk/slow/o1'])
def test_crash_leaves_an_unfinished_run_and_no_answer(fake, path):
    if 'poison' not in path:
        Thread(target=lambda: (time.sleep(0.1), fake.crash())).start()
    with pytest.raises((OSError, HTTPException)):
        _send_request(fake, path)
    run = fake.execution_log.list_runs()[0]
    assert not run.ended
    with pytest.raises(OSError):
        _send_request(fake, '/desk/quick/o2')
    fake.start()
    assert _send_request(fake, '/desk/quick/o3')[0].status == 200


def test_cancelling_a_key_stops_its_work(fake):
    Thread(
        target=lambda: (
            time.sleep(0.1),
            _send_request(fake, '/-/cancel/k1', method='POST'),
        ),
    ).start()
    with pytest.raises((OSError, HTTPException)):
        _send_request(fake, '/desk/slow/o1', Sesame_Key='k1')
    assert not fake.execution_log.find('o1')[0].ended


def test_disconnected_caller_frees_its_slot(fake):
    connection = HTTPConnection(_ADDRESS, fake.upstream.port)
    connection.request('GET', '/desk/slow/o1')
    time.sleep(0.05)
    connection.close()
    time.sleep(0.1)
    assert fake.worker.slots.active == 0


def test_expired_deadline_stops_work(fake):
    with pytest.raises((OSError, HTTPException)):
        _send_request(fake, '/desk/slow/o1', Sesame_Deadline_Ms='60')
    assert not fake.execution_log.find('o1')[0].ended


def test_silence_affects_open_connections_only(fake):
    connection = HTTPConnection(_ADDRESS, fake.upstream.port, timeout=0.2)
    _send_request(fake, '/desk/quick/o1', connection)
    fake.silence()
    with pytest.raises(TimeoutError):
        _send_request(fake, '/desk/quick/o2', connection)
    assert _send_request(fake, '/desk/quick/o3')[0].status == 200


def test_number_of_connections_is_limited(fake):
    opened = [
        HTTPConnection(_ADDRESS, fake.upstream.port)
        for _ in range(fake.upstream.connections)
    ]
    for connection in opened:
        connection.connect()
    with pytest.raises((OSError, HTTPException)):
        _send_request(fake, '/desk/quick/o1')
    for connection in opened:
        connection.close()


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({}, '0/1'),
        ({'load_override': 9}, '9/1'),
        ({'reports_load': False}, None),
    ],
)
def test_reported_load_follows_the_settings(fake, change, expected):
    for name, content in change.items():
        setattr(fake.behaviour, name, content)
    for path in ('/-/load', '/desk/quick/o1'):
        answer = _send_request(fake, path)[0]
        if path == '/-/load' or expected is None:
            assert answer.headers['Sesame-Load'] == expected


def test_cold_server_is_slower(fake):
    fake.behaviour.cold_seconds = 60
    fake.behaviour.cold_factor = 3
    fake.behaviour.work_factor = 0.2
    started = time.monotonic()
    _send_request(fake, '/desk/slow/o1')
    assert (time.monotonic() - started) * 100 > 15
