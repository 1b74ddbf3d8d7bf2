"""Tests of asking depots for tokens, without a network."""

from types import SimpleNamespace

import pytest

from sesameroute.exceptions import PeerError
from sesameroute.node._allowances import FleetAllowances, _Depots
from sesameroute.tenants import AllowanceAsk, AllowanceGrant

_ASK = AllowanceAsk('t', 1, 1)
_GRANT = AllowanceGrant(2, 0)
_LIMIT_SECONDS = 0.4


class Depots:
    """Peers of which some are silent; time passes while they are asked."""

    def __init__(self, *silent):
        """Start at some time."""
        self.silent = silent
        self.now = 100.0
        self.asked = []

    def read_monotonic(self):
        """Return the time."""
        return self.now

    def call(self, vm, message, timeout):
        """Reply at once, or not in time."""
        self.asked.append(vm)
        if vm in self.silent:
            self.now += timeout
            raise PeerError(f'{vm} sent no reply', 'peer-silent')
        return _GRANT


@pytest.mark.parametrize(
    ('silent', 'first', 'second'),
    [
        ((), _GRANT, _GRANT),
        (('own',), None, _GRANT),
        (('own', 'other'), None, None),
    ],
)
def test_silent_depot_is_passed_over(silent, first, second):
    """Each request waited for it anew, and for the other depots after it."""
    world = Depots(*silent)
    depots = _Depots('self')
    depots.replace({'north': 'own', 'south': 'other'}, 'north')
    node = SimpleNamespace(clock=world, peers=world, depots=depots)
    replies = []
    for _ in range(2):
        begin = world.now
        replies.append(FleetAllowances._ask_depot(node, _ASK))
        assert world.now - begin <= _LIMIT_SECONDS + 0.001
    assert replies == [first, second]
    assert len(world.asked) == 2
