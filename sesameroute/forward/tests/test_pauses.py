"""Tests of requests to servers that have asked for a pause."""

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.registry import Announcement
from sesameroute.routes import RequestKind

_PAUSE = 'Retry-After: {0}\r\n'
# Nothing here is about time that a busy machine takes.
_PATIENCE_SECONDS = 30


class _Clock:
    """A clock that is set by the test."""

    def __init__(self):
        """Start at some time."""
        self.now = 100.0

    def read_monotonic(self):
        """Return the time that was set."""
        return self.now

    def sleep(self, seconds):
        """Let the time pass."""
        self.now += seconds


def build_harness(*scripts, kind=RequestKind.SAFE):
    """Return a forwarder that prefers the first of some servers."""
    servers = [ScriptedServer(script) for script in scripts]
    harness = ForwarderHarness(
        *servers, kind=kind, timeout_seconds=_PATIENCE_SECONDS, clock=_Clock()
    )
    harness.servers = servers
    return harness


def pause(harness, seconds=5, name='a', incarnation=1):
    """Record that a server wants no requests for some time."""
    now = harness.clock.now
    harness.registry.announcements.record(
        Announcement(name, incarnation, now, paused_until=now + seconds)
    )


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize(
    ('script', 'text', 'is_paused'),
    [
        ('shed', '5', True),
        ('shed', '5.0', True),
        ('shed', '-5', False),
        ('shed', 'soon', False),
        ('shed', '0', False),
        ('failed', '5', False),
        ('whole', '5', False),
        ('unmarked 503', '5', False),
        ('misdirected', '5', False),
    ],
)
def test_server_gets_nothing_until_the_time_has_passed(
    script, text, is_paused, kind
):
    """Only its own 503 with a valid time asks for a pause."""
    harness = build_harness(script, 'whole', kind=kind)
    first = harness.servers[0]
    first.headers = _PAUSE.format(text)
    harness.forward('/p/1')
    assert len(first.heads) == 1
    harness.clock.now += 4.9
    harness.forward('/p/2')
    assert len(first.heads) == 2 - is_paused
    harness.clock.now += 0.2
    harness.forward('/p/3')
    assert len(first.heads) == 3 - is_paused


def test_refusal_without_a_time_stays_what_it_was():
    """The next request goes there again."""
    harness = build_harness('shed', 'whole')
    assert [harness.forward()[0] for _ in range(2)] == [200, 200]
    assert len(harness.servers[0].heads) == 2


def test_slot_granted_before_the_word_is_not_used():
    """The pool that grants a slot may know it later than this node."""
    harness = build_harness('whole', 'whole')
    place = harness.allocator.place

    def place_and_pause(slot_request):
        placed = place(slot_request)
        pause(harness)
        return placed

    harness.allocator.place = place_and_pause
    assert harness.forward()[0] == 200
    assert not harness.servers[0].heads
    assert harness.allocator.asks[-1].excluded == ('a',)


def test_another_incarnation_is_not_paused():
    """The server that asked for it has ended."""
    harness = build_harness('whole', 'whole')
    pause(harness, incarnation=0)
    harness.forward()
    assert len(harness.servers[0].heads) == 1


def test_request_is_not_sent_again_to_a_paused_server():
    """A kept connection broke; a new one would have brought it once more."""
    harness = build_harness('whole', 'whole')
    assert harness.forward('/p/1')[0] == 200
    harness.servers[0].scripts = ['no answer', 'whole']
    evidence = harness.forwarder.guards.quarantine.evidence
    begin = evidence.begin_try

    def pause_and_begin(*arguments):
        pause(harness)
        return begin(*arguments)

    evidence.begin_try = pause_and_begin
    harness.forward('/p/2')
    targets = [head.split()[1] for head in harness.servers[0].heads]
    assert targets == ['/p/1', '/p/2']


def test_while_all_servers_pause_requests_are_refused():
    """Callers are told at once; nothing runs."""
    harness = build_harness('whole', 'whole')
    for name in 'ab':
        pause(harness, name=name)
    status, headers, _body = harness.forward()
    assert status == 503
    assert 'Retry-After' in headers
    assert not any(each.heads for each in harness.servers)
