"""Tests of the stand-in network and VM list."""

import json
import socket
import time
from contextlib import suppress
from threading import Thread
from types import MappingProxyType
from urllib.request import urlopen

import pytest

from sesameroute.fakes import FakeVmList, FakeWire, Geography, Site
from sesameroute.ports import ListedVm
from sesameroute.statement import Places

_NEAR = '127.31.0.1'
_FAR = '127.31.0.2'
_CALLER = '127.31.0.3'
_PLACES = Places(
    {'r1': ('a',), 'r2': ('b',)},
    'r1',
    domain_delay_ms=1,
    region_delay_ms=40,
    client_delay_ms=10,
)
_SITES = MappingProxyType(
    {
        _NEAR: Site('a'),
        _FAR: Site('b'),
        _CALLER: Site('a', is_caller=True),
    }
)


def _echo(accepted):
    with accepted, suppress(ConnectionError):
        while content := accepted.recv(65_536):
            accepted.sendall(content)


@pytest.fixture
def echo():
    listener = socket.create_server((_FAR, 0))

    def accept_all():
        try:
            while True:
                accepted, _address = listener.accept()
                Thread(target=_echo, args=(accepted,), daemon=True).start()
        except OSError:
            """The test is over."""

    Thread(target=accept_all, daemon=True).start()
    yield listener.getsockname()
    listener.close()


@pytest.fixture
def wire():
    running = FakeWire(Geography(_PLACES, _SITES))
    running.start()
    yield running
    running.stop()


def _receive(line, length):
    got = b''
    while len(got) < length:
        piece = line.recv(65_536)
        if not piece:
            break
        got += piece
    return got


@pytest.mark.parametrize(
    ('source', 'one_way'),
    [(_NEAR, 0.04), (_CALLER, 0.05)],
)
def test_bytes_take_their_time(wire, echo, source, one_way):
    start = time.monotonic()
    line = wire.connect(source, echo, 2)
    opened = time.monotonic()
    line.sendall(b'ping')
    assert _receive(line, 4) == b'ping'
    assert opened - start >= 2 * one_way
    assert time.monotonic() - opened >= 2 * one_way
    assert wire.region_bytes['r1', 'r2'] == 4
    line.close()


def test_many_bytes_arrive_in_order(wire, echo):
    line = wire.connect(_NEAR, echo, 2)
    sent = bytes(range(256)) * 40_000
    Thread(target=line.sendall, args=(sent,)).start()
    assert _receive(line, len(sent)) == sent
    line.shutdown(socket.SHUT_WR)
    assert line.recv(1) == b''


def test_a_read_times_out(wire, echo):
    line = wire.connect(_NEAR, echo, 2)
    line.settimeout(0.05)
    with pytest.raises(TimeoutError):
        line.recv(1)


@pytest.mark.parametrize('one_way', [False, True])
def test_a_cut_holds_bytes_until_it_heals(wire, echo, one_way):
    line = wire.connect(_NEAR, echo, 2)
    wire.outages.cut('b', 'a', one_way=one_way)
    line.settimeout(0.3)
    line.sendall(b'ping')
    with pytest.raises(TimeoutError):
        line.recv(4)
    with pytest.raises(TimeoutError):
        wire.connect(_NEAR, echo, 0.1)
    wire.outages.heal()
    line.settimeout(2)
    assert line.recv(4) == b'ping'


def test_a_silenced_connection_never_answers_but_new_ones_do(wire, echo):
    line = wire.connect(_NEAR, echo, 2)
    assert wire.silence(lambda lane: lane.source == _NEAR) == 1
    line.sendall(b'ping')
    line.settimeout(0.3)
    with pytest.raises(TimeoutError):
        line.recv(4)
    fresh = wire.connect(_NEAR, echo, 2)
    fresh.sendall(b'ping')
    assert _receive(fresh, 4) == b'ping'


def test_a_dead_address_resets_and_refuses(wire, echo):
    line = wire.connect(_NEAR, echo, 2)
    wire.kill(_FAR)
    with pytest.raises(ConnectionRefusedError):
        wire.connect(_NEAR, echo, 2)
    try:
        assert line.recv(1) == b''
    except ConnectionError:
        """A reset is as good."""
    wire.outages.revive(_FAR)
    wire.connect(_NEAR, echo, 2).close()


def test_a_refusal_is_a_refusal(wire):
    with pytest.raises(ConnectionRefusedError):
        wire.connect(_NEAR, (_FAR, 9), 2)


def test_a_paused_address_goes_on_later(wire, echo):
    line = wire.connect(_NEAR, echo, 2)
    wire.outages.pause(_FAR)
    line.sendall(b'ping')
    line.settimeout(0.2)
    with pytest.raises(TimeoutError):
        line.recv(4)
    wire.outages.resume(_FAR)
    line.settimeout(2)
    assert line.recv(4) == b'ping'


def test_the_end_of_a_stream_arrives_after_its_bytes(wire):
    with socket.create_server((_FAR, 0)) as listener:
        line = wire.connect(_NEAR, listener.getsockname(), 2)
        accepted, _address = listener.accept()
        accepted.sendall(b'x' * 100_000)
        accepted.close()
        assert _receive(line, 200_000) == b'x' * 100_000


@pytest.mark.parametrize('stale', [False, True])
def test_the_vm_list_lags(stale):
    vms = FakeVmList(_NEAR, 18_499, lag=0.2)
    vms.start()
    vms.publish([ListedVm('e1', _NEAR)])
    vms.is_stale = stale
    vms.publish([ListedVm('e1', _NEAR, leaving=True)])
    seen = []
    for pause in (0, 0.25):
        time.sleep(pause)
        with urlopen(vms.url) as answer:
            seen.append(json.load(answer)[0]['leaving'])
    vms.stop()
    assert seen == [False, not stale]
