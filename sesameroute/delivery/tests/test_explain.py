"""Reports for operators on a request key."""

import pytest

from sesameroute.delivery import explain_key
from sesameroute.delivery.tests.fleet import Fleet, build_error


@pytest.mark.parametrize(
    ('script', 'state', 'text'),
    [
        ([], 'answered', 'status 200'),
        (['run-lost'], 'failed', 'may-have-run'),
        ([build_error('timeout')], 'failed', 'timeout'),
    ],
)
def test_key_in_record(script, state, text):
    """The home reports the state of a key and the result of its request."""
    fleet = Fleet()
    key = fleet.make_key('a1')
    fleet.script.extend(script)
    fleet.deliver('a1', fleet.build_request(key=key))
    report = explain_key(fleet.nodes['a1'].pipeline.components, key)
    assert (report.state, report.home) == (state, 'a1')
    assert text in report.reason


@pytest.mark.parametrize(
    ('key', 'state'),
    [('nonsense', 'not-a-key'), ('a2.x.1.-.-.n', 'unknown')],
)
def test_key_elsewhere(key, state):
    """Keys that are not in the record are reported as such."""
    components = Fleet().nodes['a1'].pipeline.components
    assert explain_key(components, key).state == state
