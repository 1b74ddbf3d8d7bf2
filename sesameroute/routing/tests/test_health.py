"""Own experience goes before reports; most are never ejected."""

import pytest

from sesameroute.ports import Outcome, OutcomeCode
from sesameroute.routing._health import Health
from sesameroute.routing.tests import samples

UPSTREAMS = tuple(samples.build_statement().upstreams.values())
FIRST = UPSTREAMS[0]


def observe(health, codes, upstream=FIRST, now=0):
    """Let tries end with some codes."""
    for code in codes:
        health.observe(upstream, Outcome(OutcomeCode(code)), 1, now)


@pytest.mark.parametrize(
    ('codes', 'later', 'is_out'),
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
def test_ejection(codes, later, is_out):
    """Losses in a row eject for a time that grows."""
    health = Health()
    observe(health, codes)
    assert (FIRST.name in health.list_out(UPSTREAMS, later)) is is_out


def test_trial_then_ramp():
    """A returned backend server gets one slot, then more with answers."""
    health = Health()
    observe(health, ['lost', 'lost'])
    assert health.limit_slots(FIRST) == 1
    observe(health, ['answered', 'answered'])
    assert health.limit_slots(FIRST) == 2
    observe(health, ['answered' for _ in range(6)])
    assert health.limit_slots(FIRST) == FIRST.slots


@pytest.mark.parametrize(('bad', 'out'), [(4, 4), (5, 0), (8, 0)])
def test_most_bad_means_spread(bad, out):
    """When most look bad nobody is ejected for it."""
    health = Health()
    for upstream in UPSTREAMS[:bad]:
        observe(health, ['lost', 'lost'], upstream)
    assert len(health.list_out(UPSTREAMS, 0)) == out


def test_lying_report_loses_weight():
    """A report of no load that sheds contradict counts less and less."""
    health = Health()
    answered = Outcome(OutcomeCode.ANSWERED, 0.01, load=1)
    before = None
    for _ in range(6):
        health.observe(FIRST, answered, 0.5, 0)
        before = before or health.rate(FIRST, 0)
    assert health.rate(FIRST, 0) < before
    assert health.rate(FIRST, 9) < health.rate(FIRST, 0)


@pytest.mark.parametrize(
    ('codes', 'later', 'names'),
    [
        (['draining'], 29, (FIRST.name,)),
        (['draining'], 31, ()),
        (['shed', 'lost', 'lost'], 0, ()),
    ],
)
def test_leaving_is_told_on(codes, later, names):
    """Only a backend server's own word makes it leave everywhere."""
    health = Health()
    observe(health, codes)
    assert health.list_leaving(later) == names


def test_whole_answer_may_tell_of_leaving():
    """An answer that says that its server leaves is its last one."""
    health = Health()
    outcome = Outcome(OutcomeCode.ANSWERED, draining=True)
    health.observe(FIRST, outcome, slowness=1, now=0)
    assert health.list_leaving(0) == (FIRST.name,)
    assert FIRST.name in health.list_out(UPSTREAMS, 0)
