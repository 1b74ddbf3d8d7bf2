"""Tests of peer streams: authentication, failures, invalid input."""

import random
import socket
import threading
import time
import zlib
from contextlib import suppress
from unittest.mock import Mock

import pytest

from sesameroute.adapters._peer_frames import FrameReader, FrameSigner
from sesameroute.adapters.tests.peer_networks import (
    KEY,
    NETWORK,
    Text,
    find_target,
    wait_for,
)
from sesameroute.exceptions import InputError, PeerError
from sesameroute.ports import (
    PeerRole,
)


def test_calls_in_both_directions(fleet):
    """Both ends of a stream see each other as connected and can call."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    assert wait_for(lambda: two.list_connected() == ('a',))
    assert wait_for(lambda: one.list_connected() == ('b',))
    assert one.call('b', Text('x'), 2) == Text('a:x')
    assert two.call('a', Text('y'), 2) == Text('b:y')


def test_large_messages(fleet):
    """A message of 1 MB arrives; one above the frame limit is not sent."""
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    assert wait_for(one.list_connected)
    assert one.call('b', Text('z' * 1_000_000), 5).text[-1] == 'z'
    assert not one.send_one_way('b', Text('z' * 3_000_000))


@pytest.mark.parametrize(
    ('vm', 'text', 'code'),
    [
        ('b', 'fail', 'peer-failed'),
        ('nobody', 'x', 'peer-unreachable'),
    ],
)
def test_failed_call_has_code(fleet, vm, text, code):
    """The code of a failed call tells whether the peer may have acted.

    A one-way message whose handler fails does not close the stream.
    """
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    assert wait_for(one.list_connected)
    assert one.send_one_way('b', Text('fail'))
    with pytest.raises(PeerError) as caught:
        one.call(vm, Text(text), 2)
    assert caught.value.code == code


def test_one_stream_is_left_when_both_dial(fleet):
    """When both ends dial, one stream is left, and it stays open."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    two.set_targets({'a': find_target(1)})
    assert wait_for(lambda: one.list_connected() and two.list_connected())
    time.sleep(0.6)
    kept = one.streams.list_streams()
    assert len(kept) == 1
    time.sleep(0.6)
    assert one.streams.list_streams() == kept


def test_lookup_process_is_an_observer(fleet):
    """A look-up process is listed as an observer, not as an entry VM."""
    one = fleet.add('a', 1)
    lookup = fleet.add('a', 2, role=PeerRole.LOOKUP)
    lookup.set_targets({'a': find_target(1)})
    assert wait_for(lambda: one.list_observers() == ('lookup/a',))
    assert not one.list_connected()
    # The two ends do not see the connection at the same moment.
    assert wait_for(lambda: lookup.list_connected() == ('a',))


def test_restarted_peer_is_dialed_again(fleet):
    """A peer is dialed again after a restart with a new incarnation."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    assert wait_for(one.list_connected)
    two.stop()
    assert wait_for(lambda: not one.list_connected())
    fleet.add('b', 2)
    assert wait_for(one.list_connected)


def test_stopped_network_dials_no_peer(fleet):
    """A heartbeat at the moment of a stop started dialers that stayed."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.stop()
    one.set_targets({'b': find_target(2)})
    assert not wait_for(two.list_connected, 0.5)


def test_peer_with_unexpected_name_is_rejected(fleet):
    """A stream to a peer with another name than expected is closed."""
    one = fleet.add('a', 1)
    fleet.add('b', 2)
    one.set_targets({'c': find_target(2)})
    time.sleep(0.5)
    assert not one.list_connected()


def test_wrong_or_short_key_is_rejected(fleet):
    """A peer with another key can't connect; a short key is an error."""
    one = fleet.add('a', 1)
    other = fleet.add('b', 2, key=b'another key 0123456789')
    other.set_targets({'a': find_target(1)})
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
def test_garbage_instead_of_a_handshake(fleet, garbage):
    """Invalid bytes instead of a handshake close only that connection."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    with socket.create_connection(find_target(1)) as intruder:
        intruder.settimeout(4)
        with suppress(OSError):  # the accepter may have closed it
            intruder.sendall(garbage)
            intruder.shutdown(socket.SHUT_WR)
        assert _read_until_closed(intruder) < 200
    two.set_targets({'a': find_target(1)})
    assert wait_for(one.list_connected)


def _read_until_closed(connection):
    size = 0
    try:
        while received := connection.recv(4096):
            size += len(received)
    except ConnectionError:
        return size
    return size


class Interceptor:
    """Proxy between a dialer and a target that can drop or change bytes."""

    def __init__(self, target):
        """Listen on a free port."""
        self.target = target
        self.server = socket.create_server((f'{NETWORK}.99', 0))
        self.address = self.server.getsockname()
        self.recorded = []
        self.is_silent = {'up': False, 'down': False}
        self.tamper = None
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while self.server.fileno() >= 0:
            dialer_side = self.server.accept()[0]
            target_side = socket.create_connection(self.target)
            for direction in (
                ('up', dialer_side, target_side),
                ('down', target_side, dialer_side),
            ):
                threading.Thread(
                    target=self._forward,
                    args=direction,
                    daemon=True,
                ).start()

    def _forward(self, direction, source, target):
        while received := _receive(source):
            if direction == 'up':
                self.recorded.append(received)
            if not self.is_silent[direction]:
                changed = self.tamper(received) if self.tamper else received
                target.sendall(changed)
        if not self.is_silent[direction]:
            target.close()


def _receive(source):
    try:
        return source.recv(65536)
    except OSError:
        return b''


def test_replayed_handshake_is_rejected(fleet):
    """A recorded handshake and stream is not accepted a second time."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    interceptor = Interceptor(find_target(1))
    two.set_targets({'a': interceptor.address})
    assert wait_for(lambda: one.list_connected() and two.list_connected())
    assert two.call('a', Text('x'), 2)
    two.set_targets({})
    assert wait_for(lambda: not one.list_connected())
    recorded = list(interceptor.recorded)
    with socket.create_connection(find_target(1)) as intruder:
        with suppress(OSError):  # the accepter may have closed it
            intruder.sendall(b''.join(recorded))
        time.sleep(0.3)
        assert not one.list_connected()


def test_changed_byte_ends_the_stream(fleet):
    """A changed byte in a frame ends the stream."""
    two = fleet.add('b', 2)
    fleet.add('a', 1)
    interceptor = Interceptor(find_target(1))
    two.set_targets({'a': interceptor.address})
    assert wait_for(two.list_connected)
    first = two.streams.find('a')
    interceptor.tamper = lambda received: bytes([*received[:-1], 0])
    with pytest.raises(PeerError):
        two.call('a', Text('x'), 2)
    assert wait_for(lambda: first.is_closed)


@pytest.mark.parametrize('directions', [('up',), ('down',), ('up', 'down')])
def test_silent_stream_is_replaced(fleet, directions):
    """A stream that is silent in one or both directions is replaced."""
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    interceptor = Interceptor(find_target(1))
    two.set_targets({'a': interceptor.address})
    assert wait_for(two.list_connected)
    first = two.streams.find('a')
    interceptor.is_silent.update(dict.fromkeys(directions, True))
    assert wait_for(lambda: first.is_closed, 5)
    interceptor.is_silent.update(dict.fromkeys(directions, False))
    assert wait_for(lambda: two.list_connected() and one.list_connected(), 5)
    assert two.call('a', Text('x'), 2) == Text('b:x')


def test_closed_stream_is_not_listed(fleet):
    """While the connection of a closed stream ends, the peer isn't listed."""
    fleet.add('a', 1)
    two = fleet.add('b', 2)
    two.set_targets({'a': find_target(1)})
    assert wait_for(two.list_connected)
    stream, listed = two.streams.find('a'), []
    stream.connection = Mock(wraps=stream.connection)
    stream.connection.shutdown.side_effect = lambda how: listed.append(
        two.list_connected()
    )
    stream.close()
    assert listed == [()]


def test_slow_reader_is_disconnected(fleet):
    """A peer that stops reading is disconnected and blocks no sender."""
    may_return = threading.Event()
    two = fleet.add('b', 2)
    one = fleet.add('a', 1, handler=lambda *_parts: may_return.wait(20))
    two.set_targets({'a': find_target(1)})
    assert wait_for(two.list_connected)
    stream = two.streams.find('a')
    noise = random.Random(1).randbytes(450_000).hex()
    longest = 0
    for _ in range(60):
        started = time.monotonic()
        two.send_one_way('a', Text(noise))
        longest = max(longest, time.monotonic() - started)
    assert wait_for(lambda: stream.is_closed, 5)
    assert longest < 1
    may_return.set()
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
def test_signed_garbage_is_rejected(packed):
    """Invalid bodies with a right MAC raise PeerError.

    One is a compression bomb of 50 MB in 50 kB.
    """
    signed = FrameSigner(KEY).sign(packed)
    with pytest.raises(PeerError):
        FrameReader(KEY).feed(signed)


def test_call_ends_when_its_stream_breaks(fleet):
    """A pending call fails at once when its stream closes."""
    may_return = threading.Event()
    one, two = fleet.add('a', 1), fleet.add('b', 2)
    one.set_targets({'b': find_target(2)})
    assert wait_for(one.list_connected)
    two._dispatcher.handler = lambda *_parts: may_return.wait(20)
    threading.Timer(0.2, two.stop).start()
    started = time.monotonic()
    with pytest.raises(PeerError):
        one.call('b', Text('x'), 10)
    assert time.monotonic() - started < 5
    may_return.set()


def test_unanswered_calls_end_the_stream(fleet):
    """Two unanswered calls in a row close a silent stream.

    This is faster than waiting for a missing heartbeat.
    """
    fleet.add('a', 1)
    two = fleet.add('b', 2)
    interceptor = Interceptor(find_target(1))
    two.set_targets({'a': interceptor.address})
    assert wait_for(two.list_connected)
    first = two.streams.find('a')
    interceptor.is_silent.update(up=True, down=True)
    closed = []
    for _ in range(2):
        with pytest.raises(PeerError):
            two.call('a', Text('x'), 0.2)
        closed.append(first.is_closed)
    assert closed == [False, True]
