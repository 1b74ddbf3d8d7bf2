"""Tests of callers that leave before their request has been sent."""

import pytest

from sesameroute.forward._local_answers import CallerClosedError
from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import ScriptedServer
from sesameroute.placement import Outcome
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
