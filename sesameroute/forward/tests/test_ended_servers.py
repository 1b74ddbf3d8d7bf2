"""Tests of requests whose backend server ends without a word."""

import math
import socket
import time
from dataclasses import replace
from types import SimpleNamespace

import pytest

from sesameroute.forward._answer_wait import AnswerWait, ServerCondition
from sesameroute.forward._ended_servers import find_condition
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.placement import Grant, Reason
from sesameroute.registry import BackendState
from sesameroute.routes import Configuration, RequestKind

ROUTE_SECONDS = 4.0


def build_harness(*servers, kind):
    """Return a harness whose route gives its requests much time."""
    harness = ForwarderHarness(*servers, kind=kind)
    route = harness.active_configuration.table_.find('h', '/p/x')
    harness.active_configuration.apply_if_newer(
        Configuration(2, (replace(route, timeout=ROUTE_SECONDS),))
    )
    return harness


@pytest.mark.parametrize(
    ('kind', 'is_listed', 'status', 'at_most'),
    [
        (RequestKind.SAFE, True, 200, 1.5),
        (RequestKind.DOWNLOAD, True, 200, 1.5),
        # It must not run twice, and the server may still answer.
        (RequestKind.UNSAFE, True, 504, ROUTE_SECONDS + 0.5),
        (RequestKind.UNSAFE, False, 502, 1.5),
        (RequestKind.UPLOAD, False, 502, 1.5),
    ],
)
def test_server_that_has_ended_is_not_waited_for(
    kind, is_listed, status, at_most
):
    """A lookup got its 504 at the end of its route's time."""
    ended = ScriptedServer('silent')
    target, has_stopped = ended.target, []
    harness = build_harness(ended, ScriptedServer('whole'), kind=kind)
    detector = harness.forwarder.guards.end_detector
    detector.start()
    original_find = detector.find_entry

    def find_entry(name):
        if ended.connections and not has_stopped:
            has_stopped.append(ended.stop())
        entry = original_find(name)
        if not is_listed and entry.backend.target == target:
            entry.missing_since = 0
        return entry

    detector.find_entry = find_entry
    started_at = time.monotonic()
    assert harness.forward()[0] == status
    assert time.monotonic() - started_at < at_most
    detector.stop()


def build_entry(*, incarnation=1, state=BackendState.READY, is_listed=True):
    """Return the registry's entry of the server in question."""
    return SimpleNamespace(
        backend=SimpleNamespace(incarnation=incarnation, state=state),
        is_listed=lambda: is_listed,
    )


@pytest.mark.parametrize(
    ('entry', 'has_ended', 'kind', 'condition'),
    [
        (build_entry(), True, RequestKind.SAFE, ServerCondition.ENDED),
        (build_entry(), True, RequestKind.UNSAFE, ServerCondition.ALIVE),
        (build_entry(), False, RequestKind.SAFE, ServerCondition.ALIVE),
        (None, True, RequestKind.UNSAFE, ServerCondition.ENDED),
        (None, False, RequestKind.SAFE, ServerCondition.ALIVE),
        (
            build_entry(incarnation=2),
            True,
            RequestKind.UPLOAD,
            ServerCondition.ENDED,
        ),
        (
            build_entry(is_listed=False),
            True,
            RequestKind.UPLOAD,
            ServerCondition.ENDED,
        ),
        (
            build_entry(state=BackendState.DRAINING),
            True,
            RequestKind.SAFE,
            ServerCondition.ALIVE,
        ),
    ],
)
def test_condition_by_what_is_known(entry, has_ended, kind, condition):
    """A leaving server refuses connections, and ends what it runs."""
    clock = SimpleNamespace(read_monotonic=lambda: 10.0)
    detector = SimpleNamespace(
        connections=SimpleNamespace(clock=clock),
        find_entry=lambda _name: entry,
        observe_timeout=lambda _server, _sent_at: None,
        is_unreached=lambda _server, _sent_at: False,
        has_refused=lambda _server, _sent_at: has_ended,
    )
    state = SimpleNamespace(
        sent_try=SimpleNamespace(server=('a', 1), sent_at=9.9),
        route=SimpleNamespace(kind=kind, latency_target=0.3),
        checked_server_at=0,
        left_server=None,
    )
    assert find_condition(state, detector) is condition


class PausedAllocator:
    """Grants a slot to a request that needs more time than it has left."""

    def __init__(self, run_seconds):
        """Store the time that the request needs."""
        self.run_seconds = run_seconds

    def place(self, _slot_request):
        """Grant the slot."""
        return Grant(1, 'a', 1, run_seconds=self.run_seconds)

    def release(self, *_released):
        """Ignore the end."""


@pytest.mark.parametrize('kind', list(RequestKind))
@pytest.mark.parametrize(('needed', 'status'), [(0.5, 200), (0.7, 503)])
def test_request_without_time_for_its_run_is_not_sent(kind, needed, status):
    """A payment was sent with 0.42 s left for 0.56 s of work: 504."""
    server = ScriptedServer('whole')
    harness = ForwarderHarness(server, kind=kind)
    harness.forwarder.allocator = PausedAllocator(needed)
    answer = harness.forward()
    assert answer[0] == status
    assert len(server.heads) == (status == 200)
    if status == 503:
        assert Reason.TOO_LATE.value in answer[2].decode()


@pytest.mark.parametrize(
    ('deadline', 'retry_at', 'condition'),
    [
        (10.0, math.inf, ServerCondition.ALIVE),
        (99.0, 10.0, ServerCondition.ALIVE),
        (99.0, 20.0, ServerCondition.UNREACHED),
        (99.0, math.inf, ServerCondition.ENDED),
    ],
)
def test_answer_that_came_during_a_pause_is_read(deadline, retry_at, condition):
    """It came between the look at the socket and that at the clock: 504."""
    node_end, server_end = socket.socketpair()
    reads = []

    def read_monotonic():
        reads.append(10.0)
        if len(reads) == 2:
            server_end.sendall(b'HTTP/1.1 200')
        return 10.0

    wait = AnswerWait(deadline, retry_at, lambda: True, lambda: condition)
    wait.wait(node_end, None, SimpleNamespace(read_monotonic=read_monotonic))
    assert node_end.recv(4) == b'HTTP'
