"""What operators are told about a request key."""

import pytest

from sesameroute.delivery import explain_key
from sesameroute.delivery.tests.fleet import Fleet, fail


@pytest.mark.parametrize(
    ('script', 'state', 'word'),
    [
        ([], 'answered', 'status 200'),
        (['run-lost'], 'failed', 'may-have-run'),
        ([fail('timeout')], 'failed', 'timeout'),
    ],
)
def test_key_in_record(script, state, word):
    """The home tells the state of a key and the word its caller got."""
    fleet = Fleet()
    key = fleet.make_key('a1')
    fleet.script.extend(script)
    fleet.deliver('a1', fleet.build_request(key=key))
    report = explain_key(fleet.nodes['a1'].pipeline.parts, key)
    assert (report.state, report.home) == (state, 'a1')
    assert word in report.reason


@pytest.mark.parametrize(
    ('key', 'state'),
    [('nonsense', 'not-a-key'), ('a2.x.1.-.-.n', 'unknown')],
)
def test_key_elsewhere(key, state):
    """Other keys are named as what they are."""
    parts = Fleet().nodes['a1'].pipeline.parts
    assert explain_key(parts, key).state == state
