"""Peer streams under failure: nobody gets in, nothing grows or crashes."""

import os
import random
import socket
import threading
import time
import zlib
from contextlib import suppress
from dataclasses import dataclass

import pytest

from sesameroute.adapters import PeerNetwork
from sesameroute.adapters._peer_frames import FrameReader, FrameSealer
from sesameroute.exceptions import InputError, PeerError
from sesameroute.ports import (
    PeerIdentity,
    PeerRole,
    SystemClock,
    TcpWire,
    register_message,
)

# Runs side by side on one machine stay apart.
_NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
_KEY = b'key of this test 0123456789'
_PORT = 18600


@register_message('test-peers-text')
@dataclass(frozen=True, slots=True)
class Text:
    """A message of any size."""

    text: str


def _wait(predicate, seconds=6):
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if predicate():
            return True
        time.sleep(0.01)
    return False


def _echo(sender, message):
    if message.text == 'fail':
        raise ValueError('asked to')
    return Text(f'{sender}:{message.text}')


class Fleet:
    """Networks of one test, stopped at its end."""

    def __init__(self):
        """Start empty."""
        self.networks = []

    def add(self, name, number, key=_KEY, role=PeerRole.ENTRY, **options):
        """Start a network on the address with that last number."""
        port = _PORT if role is PeerRole.ENTRY else 0
        network = PeerNetwork(
            PeerIdentity(name, f'i{random.random()}', role),
            key,
            options.get('wire', TcpWire()),
            SystemClock(),
            (f'{_NETWORK}.{number}', port),
        )
        network.start(options.get('handler', _echo))
        self.networks.append(network)
        return network


@pytest.fixture
def fleet():
    """Return a fleet and stop it at the end."""
    running = Fleet()
    yield running
    for network in running.networks:
        network.stop()


def _target(number):
    return (f'{_NETWORK}.{number}', _PORT)


def test_call(fleet):
    """Calls, casts and failures pass; both ends know each other."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    assert _wait(lambda: two.list_connected() == ('a',))
    assert _wait(lambda: one.list_connected() == ('b',))
    assert one.call('b', Text('x'), 2) == Text('a:x')
    assert two.call('a', Text('y'), 2) == Text('b:y')


def test_large(fleet):
    """A megabyte passes; what is longer than a frame is not sent."""
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    assert _wait(one.list_connected)
    assert one.call('b', Text('z' * 1_000_000), 5).text[-1] == 'z'
    assert not one.cast('b', Text('z' * 3_000_000))


@pytest.mark.parametrize(
    ('vm', 'text', 'code'),
    [
        ('b', 'fail', 'peer-failed'),
        ('nobody', 'x', 'peer-unreachable'),
    ],
)
def test_call_fails(fleet, vm, text, code):
    """A failed call says by its code whether the peer may have acted."""
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    assert _wait(one.list_connected)
    assert one.cast('b', Text('fail'))
    with pytest.raises(PeerError) as caught:
        one.call(vm, Text(text), 2)
    assert caught.value.code == code


def test_both_dial(fleet):
    """When both ends dial, one stream is left and stays."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    two.set_targets({'a': _target(1)})
    assert _wait(lambda: one.list_connected() and two.list_connected())
    time.sleep(0.6)
    kept = one.streams.list_streams()
    assert len(kept) == 1
    time.sleep(0.6)
    assert one.streams.list_streams() == kept


def test_observer(fleet):
    """A look-up process is an observer and no entry VM."""
    one = fleet.add('a', 1)
    watching = fleet.add('a', 2, role=PeerRole.LOOKUP)
    watching.set_targets({'a': _target(1)})
    assert _wait(lambda: one.list_observers() == ('lookup/a',))
    assert not one.list_connected()
    # Each end hears the other at a time of its own.
    assert _wait(lambda: watching.list_connected() == ('a',))


def test_restart(fleet):
    """A peer that comes back with a new start is dialed again."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    assert _wait(one.list_connected)
    two.stop()
    assert _wait(lambda: not one.list_connected())
    fleet.add('b', 2)
    assert _wait(one.list_connected)


def test_wrong_name(fleet):
    """A process under another name than the dialed one is left."""
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'c': _target(2)})
    time.sleep(0.5)
    assert not one.list_connected()


def test_key(fleet):
    """Without the key nobody gets in; a short key is refused."""
    one = fleet.add('a', 1)
    other = fleet.add('b', 2, key=b'another key 0123456789')
    other.set_targets({'a': _target(1)})
    time.sleep(0.5)
    assert not one.list_connected()
    assert not other.list_connected()
    with pytest.raises(InputError):
        fleet.add('c', 3, key=b'short')


@pytest.mark.parametrize(
    'garbage',
    [
        b'',
        b'\xff\xff',
        b'\x00\x00',
        b'GET / HTTP/1.1\r\n\r\n',
        b'\x00\x05\x95\x01\xa1a\xa1b',
        b'\x00\x06\x95\x01\xc0\xc0\xc0\xc0',
        random.Random(1).randbytes(70_000),
    ],
)
def test_garbage(fleet, garbage):
    """Garbage before the proof closes the connection only."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    with socket.create_connection(_target(1)) as intruder:
        intruder.settimeout(4)
        with suppress(OSError):  # closed by the accepter already
            intruder.sendall(garbage)
            intruder.shutdown(socket.SHUT_WR)
        assert _read_until_closed(intruder) < 200
    two.set_targets({'a': _target(1)})
    assert _wait(one.list_connected)


def _read_until_closed(connection):
    size = 0
    try:
        while received := connection.recv(4096):
            size += len(received)
    except ConnectionError:
        return size
    return size


class Relay:
    """Passes bytes between a dialer and a target; a test may interfere."""

    def __init__(self, target):
        """Listen on a free port."""
        self.target = target
        self.server = socket.create_server((f'{_NETWORK}.99', 0))
        self.address = self.server.getsockname()
        self.recorded = []
        self.is_silent = {'up': False, 'down': False}
        self.tamper = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while self.server.fileno() >= 0:
            near = self.server.accept()[0]
            far = socket.create_connection(self.target)
            for way in (('up', near, far), ('down', far, near)):
                threading.Thread(
                    target=self._pass,
                    args=way,
                    daemon=True,
                ).start()

    def _pass(self, way, source, target):
        while received := _receive(source):
            if way == 'up':
                self.recorded.append(received)
            if not self.is_silent[way]:
                changed = self.tamper(received) if self.tamper else received
                target.sendall(changed)
        if not self.is_silent[way]:
            target.close()


def _receive(source):
    try:
        return source.recv(65536)
    except OSError:
        return b''


def test_replay(fleet):
    """A recorded handshake and stream lets nobody in a second time."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    relay = Relay(_target(1))
    two.set_targets({'a': relay.address})
    assert _wait(lambda: one.list_connected() and two.list_connected())
    assert two.call('a', Text('x'), 2)
    two.set_targets({})
    assert _wait(lambda: not one.list_connected())
    recorded = list(relay.recorded)
    with socket.create_connection(_target(1)) as intruder:
        with suppress(OSError):  # closed by the accepter already
            intruder.sendall(b''.join(recorded))
        time.sleep(0.3)
        assert not one.list_connected()


def test_tampered(fleet):
    """A changed byte inside a stream ends the stream."""
    two = fleet.add('b', 2)
    fleet.add('a', 1)
    relay = Relay(_target(1))
    two.set_targets({'a': relay.address})
    assert _wait(two.list_connected)
    first = two.streams.find('a')
    relay.tamper = lambda received: bytes([*received[:-1], 0])
    with pytest.raises(PeerError):
        two.call('a', Text('x'), 2)
    assert _wait(lambda: first.is_closed)


@pytest.mark.parametrize('ways', [('up',), ('down',), ('up', 'down')])
def test_silent(fleet, ways):
    """A stream that went silent, one way or both, is replaced."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    relay = Relay(_target(1))
    two.set_targets({'a': relay.address})
    assert _wait(two.list_connected)
    first = two.streams.find('a')
    relay.is_silent.update(dict.fromkeys(ways, True))
    assert _wait(lambda: first.is_closed, 5)
    relay.is_silent.update(dict.fromkeys(ways, False))
    assert _wait(lambda: two.list_connected() and one.list_connected(), 5)
    assert two.call('a', Text('x'), 2) == Text('b:x')


def test_slow_reader(fleet):
    """A peer that stops reading is dropped and holds nobody up."""
    stuck = threading.Event()
    two = fleet.add('b', 2)
    one = fleet.add('a', 1, handler=lambda *_parts: stuck.wait(20))
    two.set_targets({'a': _target(1)})
    assert _wait(two.list_connected)
    stream = two.streams.find('a')
    noise = random.Random(1).randbytes(450_000).hex()
    longest = 0
    for _ in range(60):
        started = time.monotonic()
        two.cast('a', Text(noise))
        longest = max(longest, time.monotonic() - started)
    assert _wait(lambda: stream.is_closed, 5)
    assert longest < 1
    stuck.set()
    assert one.identity.name == 'a'


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'\xc1',
        b'\xc1garbage',
        b''.join((b'\xc1', zlib.compress(bytes(50_000_000)))),
        b'\x93\x09\x00\xc0',
        b'\x93\x01\xa1a\xc0',
        b'\x92\x01\x00',
        b'\x91' * 5000,
    ],
)
def test_frame_garbage(packed):
    """Sealed garbage raises PeerError, also a bomb of 50 MB in 50 KB."""
    sealed = FrameSealer(_KEY).seal(packed)
    with pytest.raises(PeerError):
        FrameReader(_KEY).feed(sealed)


def test_stopped_call(fleet):
    """A call ends at once when its stream breaks."""
    stuck = threading.Event()
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': _target(2)})
    assert _wait(one.list_connected)
    two._dispatcher.handler = lambda *_parts: stuck.wait(20)
    threading.Timer(0.2, two.stop).start()
    started = time.monotonic()
    with pytest.raises(PeerError):
        one.call('b', Text('x'), 10)
    assert time.monotonic() - started < 5
    stuck.set()


def test_unanswered_calls(fleet):
    """Two calls in a row into silence end the stream before its beat does."""
    fleet.add('a', 1)
    two = fleet.add('b', 2)
    relay = Relay(_target(1))
    two.set_targets({'a': relay.address})
    assert _wait(two.list_connected)
    first = two.streams.find('a')
    relay.is_silent.update(up=True, down=True)
    closed = []
    for _ in range(2):
        with pytest.raises(PeerError):
            two.call('a', Text('x'), 0.2)
        closed.append(first.is_closed)
    assert closed == [False, True]
