"""Measurements take precedence over load reports; ejections are limited."""

import pytest

from sesameroute.ports import Outcome, OutcomeCode
from sesameroute.routing._health import Health
from sesameroute.routing.tests import samples

UPSTREAMS = tuple(samples.build_statement().upstreams.values())
FIRST = UPSTREAMS[0]


def observe(health, codes, upstream=FIRST, now=0):
    """Record tries with some outcome codes."""
    for code in codes:
        health.observe(upstream, Outcome(OutcomeCode(code)), 1, now)


@pytest.mark.parametrize(
    ('codes', 'elapsed', 'is_unavailable'),
    [
        (['lost'], 0, False),
        (['lost', 'answered', 'lost'], 0, False),
        (['lost', 'lost'], 0, True),
        (['lost', 'lost'], 1.1, False),
        (['refused', 'refused', 'refused'], 1.1, True),
        (['shed'], 0.1, True),
        (['shed'], 0.3, False),
        (['draining'], 29, True),
        (['draining'], 31, False),
        (['cancelled', 'cancelled', 'cancelled'], 0, False),
    ],
)
def test_ejection(codes, elapsed, is_unavailable):
    """Consecutive failures eject a backend server for a growing time."""
    health = Health()
    observe(health, codes)
    assert (
        FIRST.name in health.list_unavailable(UPSTREAMS, elapsed)
    ) is is_unavailable


def test_warm_up_after_ejection():
    """After an ejection the usable slots grow from one with answers."""
    health = Health()
    observe(health, ['lost', 'lost'])
    assert health.limit_slots(FIRST) == 1
    observe(health, ['answered', 'answered'])
    assert health.limit_slots(FIRST) == 2
    observe(health, ['answered' for _ in range(6)])
    assert health.limit_slots(FIRST) == FIRST.slots


@pytest.mark.parametrize(('failing', 'unavailable'), [(4, 4), (5, 0), (8, 0)])
def test_no_ejection_when_most_backends_fail(failing, unavailable):
    """When most backend servers fail, none is ejected."""
    health = Health()
    for upstream in UPSTREAMS[:failing]:
        observe(health, ['lost', 'lost'], upstream)
    assert len(health.list_unavailable(UPSTREAMS, 0)) == unavailable


def test_contradicted_load_report_loses_weight():
    """A report of full load that fast answers contradict loses weight."""
    health = Health()
    answered = Outcome(OutcomeCode.ANSWERED, 0.01, load=1)
    before = None
    for _ in range(6):
        health.observe(FIRST, answered, 0.5, 0)
        before = before or health.compute_penalty(FIRST, 0)
    assert health.compute_penalty(FIRST, 0) < before
    assert health.compute_penalty(FIRST, 9) < health.compute_penalty(FIRST, 0)


@pytest.mark.parametrize(
    ('codes', 'elapsed', 'names'),
    [
        (['draining'], 29, (FIRST.name,)),
        (['draining'], 31, ()),
        (['shed', 'lost', 'lost'], 0, ()),
    ],
)
def test_only_announced_drains_are_reported(codes, elapsed, names):
    """Only a drain that a backend server announced itself is reported."""
    health = Health()
    observe(health, codes)
    assert health.list_leaving(elapsed) == names


def test_answer_can_announce_drain():
    """A complete answer can announce that its backend server drains."""
    health = Health()
    outcome = Outcome(OutcomeCode.ANSWERED, draining=True)
    health.observe(FIRST, outcome, slowness=1, now=0)
    assert health.list_leaving(0) == (FIRST.name,)
    assert FIRST.name in health.list_unavailable(UPSTREAMS, 0)
