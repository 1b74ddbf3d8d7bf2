"""Hedged copies of light reads, with real threads."""

import threading

import pytest

from sesameroute.delivery._fingerprint import compute_fingerprint
from sesameroute.delivery.tests.fleet import (
    DRAWING,
    ORDER,
    READ,
    Fleet,
    build_statement,
    fail,
)
from sesameroute.ports import Answer, OutcomeCode
from sesameroute.statement import Priority

HELD_SECONDS = 10


class HeldUpstreams:
    """The first server holds its answer until it is cancelled."""

    def __init__(self):
        self.names = []
        self.cancelled = threading.Event()

    def send(self, upstream, request, *, fresh):
        self.names.append(upstream.name)
        if upstream.name == 'u1':
            self.cancelled.wait(HELD_SECONDS)
            raise fail('lost')
        return Answer(200, (), iter((b'ok',)), 2)

    def cancel(self, upstream, key):
        assert upstream.name == 'u1'
        self.cancelled.set()


def build_held(**policy):
    fleet = Fleet(statement=build_statement(**policy))
    parts = find_parts(fleet)
    upstreams = HeldUpstreams()
    parts.retrier.attempt.upstreams = upstreams
    return fleet, upstreams


def find_parts(fleet):
    pipeline = fleet.nodes['a1'].pipeline
    return pipeline.parts


def test_slow_read_is_answered_by_its_second_copy():
    fleet, upstreams = build_held(hedge_budget=0.05)
    assert fleet.deliver('a1', fleet.build_request(READ)) == b'ok'
    assert upstreams.names == ['u1', 'u2']
    assert upstreams.cancelled.wait(HELD_SECONDS)
    parts = find_parts(fleet)
    parts.hedger._pool.shutdown(wait=True)
    assert not fleet.steering['a1'].held
    assert ('u1', OutcomeCode.CANCELLED) in fleet.steering['a1'].seen
    parts.quarantine.begin(compute_fingerprint(fleet.build_request(READ)))


@pytest.mark.parametrize(
    ('kind', 'policy'),
    [
        (READ, {'hedge_budget': 0}),
        (READ, {'priority': Priority.HEADROOM}),
        (DRAWING, {}),
        (ORDER, {}),
    ],
)
def test_others_are_never_hedged(kind, policy):
    fleet, upstreams = build_held(**policy)
    upstreams.cancelled.set()
    fleet.deliver('a1', fleet.build_request(kind))
    tries = 1 if kind is ORDER else 2
    assert upstreams.names == ['u1', 'u2'][:tries]


def test_hedges_stay_inside_their_budget():
    fleet, upstreams = build_held(hedge_budget=0.05)
    hedger = find_parts(fleet).hedger
    hedger._find_budget('desk').stock_ = 0
    releaser = threading.Timer(0.2, upstreams.cancelled.set)
    releaser.start()
    fleet.deliver('a1', fleet.build_request(READ))
    assert upstreams.names == ['u1', 'u2']
    assert ('u1', OutcomeCode.LOST) in fleet.steering['a1'].seen
