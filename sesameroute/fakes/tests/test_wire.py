"""Tests of the fake network and the fake VM list."""

import json
import socket
import time
from contextlib import suppress
from threading import Thread
from types import MappingProxyType
from urllib.request import urlopen

import pytest

from sesameroute.adapters.tests.network import NETWORK
from sesameroute.fakes import FakeVmList, FakeWire, Geography, Site
from sesameroute.ports import ListedVm
from sesameroute.statement import Places

_NEAR = f'{NETWORK}.11'
_FAR = f'{NETWORK}.12'
_CALLER = f'{NETWORK}.13'
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
            """The test has closed the listener."""

    Thread(target=accept_all, daemon=True).start()
    yield listener.getsockname()
    listener.close()


@pytest.fixture
def wire():
    running = FakeWire(Geography(_PLACES, _SITES))
    running.start()
    yield running
    running.stop()


def _receive(connection, length):
    received = b''
    while len(received) < length:
        chunk = connection.recv(65_536)
        if not chunk:
            break
        received += chunk
    return received


@pytest.mark.parametrize(
    ('source', 'one_way'),
    [(_NEAR, 0.04), (_CALLER, 0.05)],
    ids=['near', 'caller'],
)
def test_bytes_are_delayed(wire, echo, source, one_way):
    start = time.monotonic()
    connection = wire.connect(source, echo, 2)
    opened = time.monotonic()
    connection.sendall(b'ping')
    assert _receive(connection, 4) == b'ping'
    assert opened - start >= 2 * one_way
    assert time.monotonic() - opened >= 2 * one_way
    assert wire.region_bytes['r1', 'r2'] == 4
    connection.close()


def test_many_bytes_arrive_in_order(wire, echo):
    connection = wire.connect(_NEAR, echo, 2)
    sent = bytes(range(256)) * 40_000
    Thread(target=connection.sendall, args=(sent,)).start()
    assert _receive(connection, len(sent)) == sent
    connection.shutdown(socket.SHUT_WR)
    assert connection.recv(1) == b''


def test_read_times_out(wire, echo):
    connection = wire.connect(_NEAR, echo, 2)
    connection.settimeout(0.05)
    with pytest.raises(TimeoutError):
        connection.recv(1)


@pytest.mark.parametrize('one_way', [False, True])
def test_cut_holds_bytes_until_it_heals(wire, echo, one_way):
    connection = wire.connect(_NEAR, echo, 2)
    wire.outages.cut('b', 'a', one_way=one_way)
    connection.settimeout(0.3)
    connection.sendall(b'ping')
    with pytest.raises(TimeoutError):
        connection.recv(4)
    with pytest.raises(TimeoutError):
        wire.connect(_NEAR, echo, 0.1)
    wire.outages.heal()
    connection.settimeout(2)
    assert connection.recv(4) == b'ping'


def test_only_silenced_connection_stops_answering(wire, echo):
    connection = wire.connect(_NEAR, echo, 2)
    assert wire.silence(lambda stream: stream.source == _NEAR) == 1
    connection.sendall(b'ping')
    connection.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.recv(4)
    fresh = wire.connect(_NEAR, echo, 2)
    fresh.sendall(b'ping')
    assert _receive(fresh, 4) == b'ping'


def test_address_that_is_down_resets_and_refuses(wire, echo):
    connection = wire.connect(_NEAR, echo, 2)
    wire.take_down(_FAR)
    with pytest.raises(ConnectionRefusedError):
        wire.connect(_NEAR, echo, 2)
    try:
        assert connection.recv(1) == b''
    except ConnectionError:
        """A reset is accepted as well as the end of the stream."""
    wire.outages.bring_up(_FAR)
    wire.connect(_NEAR, echo, 2).close()


def test_closed_port_refuses_connections(wire):
    with pytest.raises(ConnectionRefusedError):
        wire.connect(_NEAR, (_FAR, 9), 2)


def test_paused_address_answers_after_it_resumes(wire, echo):
    connection = wire.connect(_NEAR, echo, 2)
    wire.outages.pause(_FAR)
    connection.sendall(b'ping')
    connection.settimeout(0.2)
    with pytest.raises(TimeoutError):
        connection.recv(4)
    wire.outages.resume(_FAR)
    connection.settimeout(2)
    assert connection.recv(4) == b'ping'


def test_end_of_stream_arrives_after_the_bytes(wire):
    with socket.create_server((_FAR, 0)) as listener:
        connection = wire.connect(_NEAR, listener.getsockname(), 2)
        accepted, _address = listener.accept()
        accepted.sendall(b'x' * 100_000)
        accepted.close()
        assert _receive(connection, 200_000) == b'x' * 100_000


@pytest.mark.parametrize('stale', [False, True])
def test_vm_list_lags(stale):
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
