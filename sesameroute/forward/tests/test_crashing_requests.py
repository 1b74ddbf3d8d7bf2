"""Tests of requests under which backend servers are lost."""

import contextlib
import logging
from collections import deque
from concurrent.futures import ThreadPoolExecutor

import pytest

from sesameroute.forward import TryError
from sesameroute.forward.tests.harness import ForwarderHarness, SlowClock
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.routes import RequestKind


def lose(quarantine, fingerprint, name):
    """Lose a backend server under a request that another caller sent."""
    sent = quarantine.evidence.begin_try(fingerprint, 's', (name, 1))
    quarantine.evidence.observe_loss(sent)


def test_late_loss_on_kept_connection_is_not_repeated_there():
    """A server that ended while it worked got the request a second time."""
    server = ScriptedServer('whole', 'late loss', 'whole')
    harness = ForwarderHarness(server)
    assert harness.forward()[0] == 200
    assert harness.forward()[0] == 502
    assert server.connections == 1


def test_request_that_crashes_servers_is_quarantined():
    """A request that crashed three servers is refused, others are not."""
    servers = [ScriptedServer('no answer') for _ in range(6)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    statuses = []
    for _ in range(5):
        statuses.append(harness.forward(body=b'harm')[0])
        harness.allocator.names.pop(0)
    assert statuses == [502, 502, 502, 503, 503]
    assert harness.forward(body=b'other')[0] == 502


@pytest.mark.parametrize(
    ('first', 'status'), [('failed', 500), ('long cut', 200)]
)
def test_failed_answer_withdraws_no_suspicion(first, status):
    """A failure, or an answer that breaks off, hid losses for a minute."""
    names = [first, *['no answer'] * 5]
    harness = ForwarderHarness(
        *(ScriptedServer(name) for name in names),
        kind=RequestKind.UNSAFE,
    )
    statuses = []
    for _ in names:
        answer = harness.open(body=b'harm')
        statuses.append(answer.status)
        with contextlib.suppress(TryError):
            deque(answer.chunks, maxlen=0)
        harness.allocator.names.pop(0)
    assert statuses[0] == status
    assert statuses[-1] == 503


def test_affinity_key_does_not_hide_a_crashing_request():
    """The same request under other affinity keys was another request."""
    servers = [ScriptedServer('no answer') for _ in range(6)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    statuses = []
    for key in range(5):
        statuses.append(harness.forward(body=b'harm', key=str(key))[0])
        harness.allocator.names.pop(0)
    assert statuses == [502, 502, 502, 503, 503]


def test_loss_during_wait_for_slot_stops_request():
    """A request that waited for a slot was sent despite its quarantine."""
    servers = [ScriptedServer('no answer') for _ in range(4)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    quarantine = harness.forwarder.guards.quarantine
    place = harness.allocator.place

    def place_after_losses(slot_request):
        if servers[0].heads:
            for name in 'bcd':
                fingerprint = next(
                    iter(quarantine.evidence.suspects_.suspects_)
                )
                lose(quarantine, fingerprint, name)
        return place(slot_request)

    harness.allocator.place = place_after_losses
    assert harness.forward(body=b'harm')[0] == 502
    harness.allocator.names.pop(0)
    assert harness.forward(body=b'harm')[0] == 503
    assert not servers[1].heads
    assert len(harness.allocator.releases) == 2


def test_reserved_slot_is_released_in_quarantine():
    """A slot that was reserved for a retry stayed in use for ever."""
    harness = ForwarderHarness(
        ScriptedServer('silent'), ScriptedServer('whole')
    )
    quarantine = harness.forwarder.guards.quarantine
    check, place = quarantine.check, harness.allocator.place
    fingerprints = []

    def check_and_note(fingerprint):
        fingerprints.append(fingerprint)
        check(fingerprint)

    def place_after_losses(slot_request):
        if slot_request.excluded:
            for name in 'xyz':
                lose(quarantine, fingerprints[0], name)
        return place(slot_request)

    quarantine.check = check_and_note
    harness.allocator.place = place_after_losses
    assert harness.forward()[0] == 502
    assert len(harness.allocator.releases) == len(harness.allocator.asks)


def test_request_answered_once_is_quarantined_later():
    """One answer hid all losses of the next minute."""
    names = ['whole', *['no answer'] * 5]
    harness = ForwarderHarness(
        *(ScriptedServer(name) for name in names),
        kind=RequestKind.UNSAFE,
    )
    statuses = []
    for _ in names:
        statuses.append(harness.forward(body=b'harm')[0])
        harness.allocator.names.pop(0)
    assert statuses == [200, 502, 502, 502, 502, 503]


def test_request_answered_between_losses_is_not_quarantined():
    """Servers that end beside a request that others answer all the time."""
    scripts = ('no answer', *['whole'] * 8, 'no answer')
    harness = ForwarderHarness(
        *(ScriptedServer(*scripts) for _ in range(5)),
        kind=RequestKind.UNSAFE,
        clock=SlowClock(),
    )
    statuses = []
    for _ in range(5):
        statuses += [harness.forward(body=b'good')[0] for _ in scripts[:-1]]
        harness.allocator.names.pop(0)
    assert statuses == [502, *[200] * 8] * 5


def test_refusal_in_quarantine_tells_which_request(caplog):
    """The line had no fingerprint, and the age of the machine as time left."""
    servers = [ScriptedServer('no answer') for _ in range(3)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    for _ in servers:
        harness.forward(body=b'harm')
        harness.allocator.names.pop(0)
    with caplog.at_level(logging.INFO):
        harness.forward(body=b'harm')
    refusal = caplog.records[-1]
    assert refusal.message == 'request turned away'
    assert harness.forwarder.guards.quarantine.is_quarantined(
        refusal.fingerprint
    )
    assert 0 < refusal.left_ms <= 600


def test_server_lost_after_a_try_was_given_up_counts(caplog):
    """Nothing tied the end of a server to a caller that had left before."""
    servers = [ScriptedServer('silent') for _ in range(4)]
    harness = ForwarderHarness(*servers, attempts=1)
    statuses = []
    with caplog.at_level(logging.INFO):
        for server in servers:
            statuses.append(harness.forward()[0])
            server.stop()
            statuses.append(harness.forward()[0])
            harness.allocator.names.pop(0)
    assert statuses == [504, 503, 504, 503, 504, 503, 503, 503]
    assert caplog.messages.count('upstream lost after try') == 3


def test_copies_of_a_suspected_request_run_one_at_a_time():
    """Copies at several nodes or servers ended a server each."""
    servers = [ScriptedServer('no answer') for _ in range(2)]
    servers.append(ScriptedServer('late loss'))
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    for _ in range(2):
        harness.forward(body=b'harm')
        harness.allocator.names.pop(0)
    with ThreadPoolExecutor() as callers:
        copies = [
            callers.submit(harness.forward, body=b'harm') for _ in range(3)
        ]
    statuses = sorted(copy.result()[0] for copy in copies)
    assert statuses == [502, 503, 503]
    assert len(servers[-1].heads) == 1


@pytest.mark.parametrize(
    'script', ['junk', 'unsealed', 'broken header', 'other answer']
)
def test_malformed_answers_are_no_loss(script):
    """A server that answers, however wrongly, has not ended."""
    assert forward_to_servers_in_turn(script) == [502] * 5


@pytest.mark.parametrize(
    'script', ['no answer', 'late loss', 'cut', 'unframed reset']
)
def test_answers_broken_off_are_losses(script):
    """A server that ends at any point of its answer."""
    statuses = forward_to_servers_in_turn(script)
    assert statuses == [502, 502, 502, 503, 503]


def forward_to_servers_in_turn(script):
    """Send one request to five servers with a script; return the statuses."""
    servers = [ScriptedServer(script) for _ in range(5)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    statuses = []
    for _ in servers:
        statuses.append(harness.forward(body=b'harm')[0])
        harness.allocator.names.pop(0)
    return statuses


def test_refusal_in_quarantine_says_when_to_return():
    """Callers were refused without Retry-After and came back at once."""
    servers = [ScriptedServer('no answer') for _ in range(3)]
    harness = ForwarderHarness(*servers, kind=RequestKind.UNSAFE)
    for _ in servers:
        harness.forward(body=b'harm')
        harness.allocator.names.pop(0)
    status, headers, _body = harness.forward(body=b'harm')
    assert status == 503
    assert 59 < float(headers['Retry-After']) <= 60
