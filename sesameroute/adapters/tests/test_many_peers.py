"""Tests of one process with many peers, and of peers that hold it up."""

import threading
import time
from dataclasses import dataclass
from functools import partial

import pytest

from sesameroute.adapters.tests.peer_networks import (
    Text,
    find_target,
    wait_for,
)
from sesameroute.ports import register_message

_PEERS = 140
_MAX_THREADS = 5  # of the network that all dial: a loop and spare ones
_MAX_WAITING_BYTES = 2_000_000


@register_message('test-peers-mark', is_nonblocking=True)
@dataclass(frozen=True, slots=True)
class Mark:
    """A message whose handler does not block."""

    text: str


def count_threads():
    """Return the number of threads that networks have."""
    return sum(each.name.startswith('peer-') for each in threading.enumerate())


def test_threads_do_not_grow_with_peers(fleet):
    """Each peer had three threads: 140 nodes did not fit on a machine."""
    one = fleet.add('a', 1)
    dialing = [fleet.add(f'b{each}', 2 + each) for each in range(_PEERS)]
    for network in dialing:
        network.set_targets({'a': find_target(1)})
    assert wait_for(lambda: len(one.list_connected()) == _PEERS, 20)
    assert wait_for(lambda: all(each.list_connected() for each in dialing))
    # Each network that dials has its loop, and a spare thread for dials.
    bound = 2 * _PEERS + _MAX_THREADS
    assert wait_for(lambda: count_threads() <= bound, 10)
    for network in dialing:
        assert one.send_one_way(network.identity.name, Mark('x'))
    assert one.call('b7', Text('y'), 5) == Text('a:y')


def test_peer_whose_messages_block_holds_up_no_other(fleet):
    """A blocked handler had a thread of its own; the loop has none to lose."""
    may_return = threading.Event()
    handled = []

    def handle(sender, message):
        if message.text == 'block':
            may_return.wait(20)
        handled.append((sender, message.text))

    fleet.add('a', 1, handler=handle)
    slow, other = fleet.add('b', 2), fleet.add('c', 3)
    for network in (slow, other):
        network.set_targets({'a': find_target(1)})
        assert wait_for(network.list_connected)
    for text in ('block', 'next'):
        assert slow.send_one_way('a', Text(text))
    assert slow.send_one_way('a', Mark('last'))
    for message in (Text('1'), Mark('2'), Text('3'), Mark('4')):
        assert other.send_one_way('a', message)
    assert wait_for(lambda: len(handled) == 4, 2)
    assert handled == [('c', str(number)) for number in range(1, 5)]
    may_return.set()
    assert wait_for(lambda: len(handled) == 7, 2)
    assert handled[4:] == [('b', 'block'), ('b', 'next'), ('b', 'last')]


def test_blocked_stream_is_read_no_further_and_lives_on(fleet):
    """What waits for a handler is bounded; its peer is not silent."""
    may_return = threading.Event()
    handled = []

    def handle(_sender, message):
        may_return.wait(20)
        handled.append(message)

    one = fleet.add('a', 1, handler=handle)
    two = fleet.add('b', 2)
    two.set_targets({'a': find_target(1)})
    assert wait_for(lambda: two.list_connected() and one.list_connected())
    stream = one.streams.list_streams()[0]
    sent = 0
    while not stream.mailbox.is_full and sent < 400:
        sent += two.send_one_way('a', Text(f'{sent:0100000d}'))
        time.sleep(0.01)
    assert stream.mailbox.is_full
    waiting = sum(frame.size for frame, _ in stream.mailbox._waiting)
    assert waiting < _MAX_WAITING_BYTES
    time.sleep(3.2)  # longer than a silent stream lives
    assert not stream.is_closed
    may_return.set()
    assert wait_for(lambda: len(handled) == sent)
    assert one.streams.list_streams() == (stream,)


@pytest.mark.parametrize('peers', [1, 40])
def test_peers_that_are_lost_together_are_found_again(fleet, peers):
    """Half of the nodes end at the same time and start anew."""
    one = fleet.add('a', 1)
    names = {f'b{each}': 2 + each for each in range(peers)}
    one.set_targets(
        {name: find_target(number) for name, number in names.items()}
    )

    def has_connected(number):
        return len(one.list_connected()) == number

    for _ in range(2):
        lost = [fleet.add(name, number) for name, number in names.items()]
        assert wait_for(partial(has_connected, peers), 10)
        for network in lost:
            network.stop()
        assert wait_for(partial(has_connected, 0), 4)
    assert wait_for(lambda: set(one.list_refused_dials()) == set(names))


def test_reply_is_not_seen_before_what_was_sent_ahead_of_it(fleet):
    """A copy of the store came into force before what its sender holds."""
    handled = []

    def handle_slowly(_sender, message):
        time.sleep(0.2)
        handled.append(message)

    def send_ahead(sender, message):
        one.send_one_way(sender, Text('ahead'))
        return message

    one = fleet.add('a', 1, handler=send_ahead)
    two = fleet.add('b', 2, handler=handle_slowly)
    two.set_targets({'a': find_target(1)})
    assert wait_for(lambda: two.list_connected() and one.list_connected())
    for number in range(1, 4):
        assert two.call('a', Text('x'), 5) == Text('x')
        assert handled == [Text('ahead')] * number
