"""Tests of requests to servers that have said that they leave."""

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.registry import Announcement
from sesameroute.routes import RequestKind

_LEAVING = 'Server-Leaving: 1\r\n'
# Entry of the server, as the harness registers it.
_SERVER = 'a', 1
# Nothing here is about time, which a busy machine takes.
_PATIENCE_SECONDS = 30


@pytest.fixture
def harness():
    """Return a forwarder that prefers the first of two servers."""
    servers = [ScriptedServer('whole') for _ in range(2)]
    created = ForwarderHarness(*servers)
    created.servers = servers
    yield created
    for each in servers:
        each.stop()


def leave(harness, source=''):
    """Record that the first server leaves."""
    harness.registry.announcements.record(
        Announcement(*_SERVER, 0, None, source, is_leaving=True)
    )


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize(
    ('script', 'is_known'),
    [
        ('whole', True),
        ('long', True),
        ('failed', True),
        ('shed', True),
        ('cut', True),
        ('extra', True),
        ('misdirected', False),
        ('unsealed', False),
        ('unmarked 503', False),
        ('other answer', False),
        ('broken header', False),
        ('junk', False),
    ],
)
def test_any_own_answer_says_that_the_server_leaves(script, is_known, kind):
    """Answers of another server, or of none, say nothing."""
    first, second = ScriptedServer(script), ScriptedServer('whole')
    first.headers = _LEAVING
    harness = ForwarderHarness(
        first, second, kind=kind, timeout_seconds=_PATIENCE_SECONDS
    )
    harness.forward('/p/1')
    announcements = harness.registry.announcements
    assert announcements.is_leaving(*_SERVER) is is_known
    assert not announcements.is_leaving('b', 1)
    first.heads.clear()
    harness.allocator.names = ['a', 'b']
    assert harness.forward('/p/2')[0] == 200 or not is_known
    assert not (is_known and first.heads)


@pytest.mark.parametrize('source', ['', 'peer'])
def test_grant_for_leaving_server_is_not_used(harness, source):
    """The pool that grants a slot may know it later than this node."""
    leave(harness, source)
    assert harness.forward()[0] == 200
    assert not harness.servers[0].heads
    assert harness.allocator.asks[-1].excluded == ('a',)


def test_slot_reserved_for_a_retry_is_not_used_after_the_word(harness):
    """A retry had its slot already when the server said that it leaves."""
    harness.servers[0].scripts = ['no answer']
    place = harness.allocator.place
    harness.allocator.names = ['b', 'a']
    harness.servers[1].scripts = ['silent']

    def place_and_leave(slot_request):
        placed = place(slot_request)
        if len(harness.allocator.asks) > 1:
            leave(harness)
        return placed

    harness.allocator.place = place_and_leave
    harness.forward()
    granted = [name for name, _outcome in harness.allocator.releases]
    assert 'a' in granted
    assert not harness.servers[0].heads


def test_request_is_not_sent_again_to_a_leaving_server(harness):
    """A kept connection broke; a new one would have brought it once more."""
    assert harness.forward('/p/1')[0] == 200
    harness.servers[0].scripts = ['no answer', 'whole']
    harness.allocator.names = ['a']
    guards = harness.forwarder.guards
    observe = guards.quarantine.evidence.begin_try

    def leave_and_begin(*arguments):
        leave(harness)
        return observe(*arguments)

    guards.quarantine.evidence.begin_try = leave_and_begin
    harness.forward('/p/2')
    targets = [head.split()[1] for head in harness.servers[0].heads]
    assert targets == ['/p/1', '/p/2']


def test_without_any_other_server_requests_are_refused(harness):
    """Nothing runs at servers that leave; callers are told so."""
    leave(harness)
    harness.registry.announcements.record(
        Announcement('b', 1, 0, is_leaving=True)
    )
    status, headers, _body = harness.forward()
    assert status == 503
    assert 'Retry-After' in headers
    assert not any(each.heads for each in harness.servers)
