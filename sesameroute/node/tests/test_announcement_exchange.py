"""Messages between nodes about what backend servers say of themselves."""

from dataclasses import dataclass
from types import SimpleNamespace

import msgspec
import pytest

from sesameroute.node._announcement_exchange import AnnouncementExchange
from sesameroute.ports import decode_message, encode_message
from sesameroute.registry import (
    Announcement,
    Backend,
    BackendState,
    Registry,
)

_DAY_SECONDS = 86400.0


@dataclass(frozen=True)
class _OldNamedLimit:
    """One limit as builds know it that do not know of leaving servers."""

    backend: str
    incarnation: int
    limit: float | None
    seconds_ago: float


@dataclass(frozen=True)
class _OldReport:
    limits: tuple[_OldNamedLimit, ...]


class _Node:
    """A registry with its exchange; messages reach all peers at once."""

    def __init__(self, address, names=('i-1',)):
        """List some servers."""
        self.address = address
        self.peers = {}
        self.sent = []
        self.now = 1000.0
        self.registry = Registry()
        for name in names:
            self.put(name)
        self.exchange = AnnouncementExchange(address, self, self.registry, self)
        self.registry.announcements.listener_ = self.exchange.publish

    def put(self, name, incarnation=7):
        """List a server."""
        self.registry.put(
            Backend(
                name,
                's',
                '10.0.0.1',
                80,
                'z',
                4,
                BackendState.READY,
                incarnation=incarnation,
            ),
            self.now,
        )

    def read(self, name='i-1', limit=None, *, is_leaving=True):
        """Record an own answer of a server."""
        self.registry.announcements.record(
            Announcement(name, 7, self.now, limit, '', is_leaving)
        )

    def read_monotonic(self):
        """Return the time of this node."""
        return self.now

    def list_connected(self):
        """Return the peers."""
        return tuple(self.peers)

    def send_one_way(self, address, message):
        """Pass a message on as it is encoded."""
        self.sent.append(message)
        decoded = decode_message(encode_message(message))
        self.peers[address].exchange.receive(decoded, self.address)


@pytest.fixture
def nodes():
    """Return two nodes that are connected; their clocks differ."""
    first, second = _Node('first'), _Node('second')
    second.now = 5.0
    first.peers, second.peers = {'second': second}, {'first': first}
    return SimpleNamespace(first=first, second=second)


def test_leaving_is_told_at_once_by_who_read_it(nodes, caplog):
    """The log says who knows it from the server and who from a peer."""
    caplog.set_level('INFO')
    nodes.first.read()
    nodes.first.read()
    assert not nodes.second.registry.may_receive_requests('i-1', 7)
    assert [len(nodes.first.sent), len(nodes.second.sent)] == [1, 0]
    assert [
        (each.backend, each.source)
        for each in caplog.records
        if each.msg == 'backend server leaving'
    ] == [('i-1', '-'), ('i-1', 'first')]


def test_leaving_is_repeated_while_the_server_is_known(nodes):
    """Nodes that came later were not told of words older than a minute."""
    nodes.first.peers = {}
    nodes.first.read()
    nodes.first.now += _DAY_SECONDS
    nodes.first.peers = {'second': nodes.second}
    nodes.first.exchange.share_with_next()
    assert not nodes.second.registry.may_receive_requests('i-1', 7)
    known = nodes.second.registry.announcements.list_newest()[0]
    assert known.said_at == pytest.approx(5 - _DAY_SECONDS)
    assert known.source == 'first'


@pytest.mark.parametrize('incarnation', [None, 8])
def test_leaving_is_not_repeated_for_ever(nodes, incarnation):
    """A server that has ended or started again is told of no more."""
    nodes.first.read()
    nodes.first.registry.remove('i-1', nodes.first.now)
    nodes.first.now += _DAY_SECONDS
    nodes.first.registry.expire(nodes.first.now)
    if incarnation is not None:
        nodes.first.put('i-1', incarnation)
    assert nodes.first.exchange.build_message() is None


def test_leaving_comes_before_newer_limits(nodes):
    """A server that leaves says no more, unlike those that name limits."""
    names = [f'limited-{number}' for number in range(200)]
    nodes.first.peers = {}
    nodes.first.read()
    for name in names:
        nodes.first.now += 0.01
        nodes.first.put(name)
        nodes.first.read(name, 4, is_leaving=False)
    message = nodes.first.exchange.build_message()
    assert message.limits[0].is_leaving
    assert message.limits[0].backend == 'i-1'
    assert len(message.limits) < len(names)


@pytest.mark.parametrize('limit', [None, 4.5])
def test_old_builds_read_the_limits(nodes, limit):
    """Two builds understand each other while nodes are replaced."""
    nodes.first.read(limit=limit)
    tag, fields = encode_message(nodes.first.exchange.build_message())
    assert tag == 'named-limits'
    old = msgspec.convert(fields, _OldReport)
    assert [(each.backend, each.limit) for each in old.limits] == [
        ('i-1', limit)
    ]
    told = msgspec.to_builtins(old)
    message = decode_message([tag, told])
    assert [each.is_leaving for each in message.limits] == [False]
    nodes.second.exchange.receive(message, 'old')
    nodes.first.exchange.receive(message, 'old')
    assert not nodes.first.registry.may_receive_requests('i-1', 7)


def test_pause_is_told_by_who_has_read_it(nodes, caplog):
    """A pause that is told on and on would get longer with each message."""
    caplog.set_level('INFO')
    first, second = nodes.first, nodes.second
    for seconds in (2, 2.1):
        first.registry.announcements.record(
            Announcement('i-1', 7, first.now, paused_until=first.now + seconds)
        )
    assert len(first.sent) == 1
    find_end = second.registry.announcements.find_pause_end
    assert find_end('i-1', 7) == pytest.approx(second.now + 2)
    second.now += 1
    first.exchange.share_with_next()
    assert find_end('i-1', 7) == pytest.approx(second.now + 2.1)
    second.exchange.share_with_next()
    assert [each.pause for each in second.sent[-1].limits] == [0]
    known = first.registry.announcements.find_pause_end('i-1', 7)
    assert known == pytest.approx(first.now + 2.1)
    first.now += _DAY_SECONDS
    assert first.exchange.build_message() is None
    assert [
        (each.backend, each.source)
        for each in caplog.records
        if each.msg == 'backend server paused'
    ] == [('i-1', '-'), ('i-1', 'first'), ('i-1', 'first')]
