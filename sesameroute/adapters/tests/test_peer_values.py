"""Tests of peer networks with values that can't be encoded."""

from dataclasses import dataclass

import pytest

from sesameroute.adapters.tests.peer_networks import PORT, find_target, wait_for
from sesameroute.exceptions import PeerError
from sesameroute.ports import register_message


@register_message('test-peers-number')
@dataclass(frozen=True, slots=True)
class Number:
    """A message with a number of any size."""

    number: int


def _answer_number(sender, message):
    return Number(message.number + 1)


def test_numbers_that_do_not_fit_end_no_stream(fleet):
    """One ended the thread of the stream, for a request and for a reply."""
    one = fleet.add('a', 1)
    two = fleet.add('b', 2, handler=_answer_number)
    one.set_targets({'b': find_target(2)})
    assert wait_for(one.list_connected)
    streams = one.streams.list_streams()
    for number in (2**64, 2**64 - 1):
        with pytest.raises(PeerError):
            one.call('b', Number(number), 2)
        assert not one.send_one_way('b', Number(2**64))
    assert one.call('b', Number(5), 2) == Number(6)
    assert wait_for(two.list_connected)
    assert one.streams.list_streams() == streams


def test_host_that_cannot_be_encoded_ends_no_dialer(fleet, caplog):
    """A label of more than 63 characters is no OSError."""
    one = fleet.add('a', 1)
    one.set_targets({'odd': ('x' * 64, PORT)})

    def count_errors():
        return sum(each.msg == 'unexpected error' for each in caplog.records)

    assert wait_for(lambda: count_errors() >= 2)
    # It goes on dialing, and others are dialed beside it.
    fleet.add('b', 2)
    one.set_targets({'odd': ('x' * 64, PORT), 'b': find_target(2)})
    assert wait_for(one.list_connected)
    logged = count_errors()
    assert wait_for(lambda: count_errors() >= logged + 2)
