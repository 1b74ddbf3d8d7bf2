"""Look-up weights follow fresh reports of free slots, gradually."""

import pytest

from sesameroute.routing import Lookup
from sesameroute.routing.tests import samples

LIVE = ('vm-n-a', 'vm-n-b', 'vm-s-a', 'vm-s-b')


def compute_weights_after(digests, seconds):
    """Return the weights after constant reports for some seconds."""
    statement = samples.build_statement()
    members = samples.FixedMembers(live=LIVE)
    clock = samples.ManualClock(100)
    lookup = Lookup(lambda: statement, members, clock)
    lookup.answer('tally', 'n-a')
    members.digests = digests
    for _ in range(int(seconds * 10)):
        clock.sleep(0.1)
        answer = lookup.answer('tally', 'n-a')
    return {entry.vm: entry.weight for entry in answer.entries}


def build_digests(free_a, free_b, age=0):
    """Return digests of the two VMs in the local region."""
    return {
        'vm-n-a': samples.FixedDigest({'tally': (free_a, 8)}, age),
        'vm-n-b': samples.FixedDigest({'tally': (free_b, 8)}, age),
    }


@pytest.mark.parametrize(
    ('digests', 'seconds', 'low', 'high'),
    [
        ({}, 9, 0, 0),
        (build_digests(4, 8), 9, 0, 0),
        (build_digests(0, 0), 9, 0, 0),
        (build_digests(0, 8, age=9), 9, 0, 0),
        (build_digests(0, 8), 0.2, 0.01, 0.05),
        (build_digests(0, 8), 19, 0.45, 0.51),
    ],
)
def test_full_domain_diverts_callers(digests, seconds, low, high):
    """Callers are diverted gradually, and only to fresh free slots."""
    weights = compute_weights_after(digests, seconds)
    assert low <= weights['vm-n-b'] <= high
    assert weights['vm-s-a'] == 0
    assert sum(weights.values()) == pytest.approx(1)


def test_unknown_domains_add_no_state():
    """Unknown domain names from callers do not add state."""
    statement = samples.build_statement()
    lookup = Lookup(
        lambda: statement,
        samples.FixedMembers(live=LIVE),
        samples.ManualClock(),
    )
    for number in range(50):
        lookup.answer('tally', f'none-{number}')
    assert len(lookup.weights_) == 1
