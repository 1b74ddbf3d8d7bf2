"""Hedging of light reads, with real threads."""

import threading

import pytest

from sesameroute.delivery._fingerprint import compute_fingerprint
from sesameroute.delivery.tests.fleet import (
    DRAWING,
    ORDER,
    READ,
    Fleet,
    build_error,
    build_statement,
)
from sesameroute.ports import Answer, OutcomeCode
from sesameroute.statement import Priority

HELD_SECONDS = 10


class HeldUpstreams:
    """Backend servers of which the first waits until it is cancelled."""

    def __init__(self):
        self.names = []
        self.cancelled = threading.Event()

    def send(self, upstream, request, *, new_connection):
        self.names.append(upstream.name)
        if upstream.name == 'u1':
            self.cancelled.wait(HELD_SECONDS)
            raise build_error('lost')
        return Answer(200, (), iter((b'ok',)), 2)

    def cancel(self, upstream, key):
        assert upstream.name == 'u1'
        self.cancelled.set()


def build_held_fleet(**policy):
    fleet = Fleet(statement=build_statement(**policy))
    components = find_components(fleet)
    upstreams = HeldUpstreams()
    components.retrier.attempt.upstreams = upstreams
    return fleet, upstreams


def find_components(fleet):
    pipeline = fleet.nodes['a1'].pipeline
    return pipeline.components


def test_second_copy_answers_a_slow_read():
    fleet, upstreams = build_held_fleet(hedge_budget=0.05)
    assert fleet.deliver('a1', fleet.build_request(READ)) == b'ok'
    assert upstreams.names == ['u1', 'u2']
    assert upstreams.cancelled.wait(HELD_SECONDS)
    components = find_components(fleet)
    components.hedger._pool.shutdown(wait=True)
    assert not fleet.steering['a1'].held_tickets
    assert ('u1', OutcomeCode.CANCELLED) in fleet.steering['a1'].observed
    components.quarantine.check_attempt(
        compute_fingerprint(fleet.build_request(READ))
    )


@pytest.mark.parametrize(
    ('kind', 'policy'),
    [
        (READ, {'hedge_budget': 0}),
        (READ, {'priority': Priority.HEADROOM}),
        (DRAWING, {}),
        (ORDER, {}),
    ],
)
def test_ineligible_requests_are_not_hedged(kind, policy):
    fleet, upstreams = build_held_fleet(**policy)
    upstreams.cancelled.set()
    fleet.deliver('a1', fleet.build_request(kind))
    attempts = 1 if kind is ORDER else 2
    assert upstreams.names == ['u1', 'u2'][:attempts]


def test_no_second_copy_without_budget():
    fleet, upstreams = build_held_fleet(hedge_budget=0.05)
    hedger = find_components(fleet).hedger
    hedger._find_budget('desk').tokens_ = 0
    release_timer = threading.Timer(0.2, upstreams.cancelled.set)
    release_timer.start()
    fleet.deliver('a1', fleet.build_request(READ))
    assert upstreams.names == ['u1', 'u2']
    assert ('u1', OutcomeCode.LOST) in fleet.steering['a1'].observed
