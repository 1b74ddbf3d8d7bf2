"""Peer networks on addresses of this test run."""

import random
import time
from dataclasses import dataclass

from sesameroute.adapters import PeerNetwork
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.ports import (
    PeerIdentity,
    PeerRole,
    SystemClock,
    TcpWire,
    register_message,
)

KEY = b'key of this test 0123456789'
PORT = 18600


@register_message('test-peers-text')
@dataclass(frozen=True, slots=True)
class Text:
    """A message with a text of any length."""

    text: str


def wait_for(predicate, seconds=6):
    """Return whether a predicate becomes true in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if predicate():
            return True
        time.sleep(0.01)
    return False


def _echo(sender, message):
    if message.text == 'fail':
        raise ValueError('asked to')
    return Text(f'{sender}:{message.text}')


class Fleet:
    """The peer networks that one test starts."""

    def __init__(self):
        """Start empty."""
        self.networks = []

    def add(self, name, number, key=KEY, role=PeerRole.ENTRY, **options):
        """Start a network on the address that ends with `number`."""
        port = PORT if role is PeerRole.ENTRY else 0
        network = PeerNetwork(
            PeerIdentity(name, f'i{random.random()}', role),
            key,
            options.get('wire', TcpWire()),
            SystemClock(),
            (f'{NETWORK}.{number}', port),
        )
        network.start(options.get('handler', _echo))
        self.networks.append(network)
        return network


def find_target(number):
    """Return the address of the network with a number."""
    return (f'{NETWORK}.{number}', PORT)
