"""Tests of callers that leave before their request has been sent."""

import socket
import threading
from types import SimpleNamespace

import pytest

from sesameroute.exceptions import InputError
from sesameroute.forward._local_answers import CallerClosedError
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.placement import Outcome, Reason, Refusal
from sesameroute.routes import RequestKind


@pytest.mark.parametrize('kind', list(RequestKind))
def test_request_whose_caller_has_left_is_not_sent(kind):
    """An unsafe request that had waited for its slot was sent all the same."""
    server = ScriptedServer('whole')
    harness = ForwarderHarness(server, kind=kind)
    harness.caller.close()
    with pytest.raises(CallerClosedError):
        harness.forward()
    assert not server.heads
    assert harness.allocator.releases == [('a', Outcome.CANCELLED)]


@pytest.mark.parametrize('kind', list(RequestKind))
def test_caller_that_leaves_while_its_request_waits(kind):
    """Its request stayed in the queue, before those of others."""
    server = ScriptedServer('whole')
    harness = ForwarderHarness(server, kind=kind)
    waiting_callers = harness.forwarder.waiting_callers_
    asked = []

    def wait_for_slot(slot_request):
        asked.append(slot_request)
        assert not waiting_callers.list_left()
        harness.caller.close()
        # The node withdraws these, which ends the wait.
        assert waiting_callers.list_left() == [slot_request]
        assert not waiting_callers.list_left()
        return Refusal(Reason.TOO_LATE, 0)

    harness.allocator.place = wait_for_slot
    with pytest.raises(CallerClosedError):
        harness.forward()
    assert asked[0].ticket
    assert not server.heads


@pytest.fixture
def drain():
    """Run a server that reads a request until the connection ends."""
    listening = socket.create_server(('127.0.0.1', 0))
    has_ended = threading.Event()

    def read():
        connection = listening.accept()[0]
        with connection:
            while connection.recv(65_536):
                pass
        has_ended.set()

    threading.Thread(target=read, daemon=True).start()
    yield SimpleNamespace(target=listening.getsockname(), has_ended=has_ended)
    listening.close()


def test_server_does_not_wait_for_the_rest_of_a_body(drain):
    """Its connection stayed open until the interpreter collected it."""
    harness = ForwarderHarness(drain, kind=RequestKind.UNSAFE)
    parts = [b'x' * 65_536] * 4

    def read(size):
        if parts:
            return parts.pop()[:size]
        raise InputError('request body truncated')

    with pytest.raises(InputError) as caught:
        harness.open(length=99_999_999, read=read, body=b'x')
    assert drain.has_ended.wait(1)
    assert caught.value.message == 'request body truncated'
