"""Tests of the decision who is at fault for failed tries."""

import pytest
from urllib3.exceptions import HTTPError

from sesameroute.reachability import ObservedWire, Prober, Reachability
from sesameroute.registry import Backend, BackendState
from sesameroute.routing.tests.samples import ManualClock

_FAULT_OF_SERVER, _FAULT_OF_NODE = [True], [False]


class ScriptedWire:
    """Opens connections to some ports only."""

    def __init__(self, *open_ports):
        """Store the ports that take connections."""
        self.open_ports = set(open_ports)
        self.tried = []

    def connect(self, _source, target, _timeout):
        """Return a connection, or refuse it."""
        self.tried.append(target[1])
        if target[1] not in self.open_ports:
            raise ConnectionRefusedError('refused')


class WirePool:
    """Opens connections by a wire, as `ConnectionPool` does."""

    def __init__(self, wire):
        """Store the wire."""
        self.wire = wire

    def open(self, target, seconds):
        """Return a connection; urllib3 names a refused one so."""
        try:
            return self.wire.connect('', target, seconds)
        except OSError as error:
            raise HTTPError(str(error)) from error

    def put_back(self, _connection):
        """Drop the connection."""

    def close_all_idle(self):
        """Do nothing: no connection is kept."""


def build_prober(reachability, wire, *zones):
    """Return a prober of servers with the ports 1, 2, ... in some zones."""
    backends = [
        Backend(str(port), 's', 'a', port, zone, 4, BackendState.READY)
        for port, zone in enumerate(zones, start=1)
    ]
    observed = ObservedWire(wire, reachability)
    return Prober(reachability, WirePool(observed), lambda: backends)


@pytest.mark.parametrize(
    ('open_ports', 'others_reach', 'verdicts', 'is_cut_off'),
    [
        ((), True, _FAULT_OF_NODE, True),
        ((), False, _FAULT_OF_SERVER, True),
        ((1, 2, 3, 4), True, _FAULT_OF_SERVER, False),
        ((4,), True, _FAULT_OF_NODE, True),
        ((2,), True, _FAULT_OF_SERVER, False),
    ],
)
def test_check_tells_who_is_at_fault(
    open_ports, others_reach, verdicts, is_cut_off
):
    """A node that reached no server blamed each of them."""
    reachability = Reachability(ManualClock(), lambda: others_reach)
    settled = []
    reachability.hold(settled.append)
    assert reachability.doubt_.is_set()
    wire = ScriptedWire(*open_ports)
    build_prober(reachability, wire, 'x', 'y', 'z', 'z').check()
    assert settled == verdicts
    assert reachability.is_cut_off_ is is_cut_off
    assert reachability.should_detour is (is_cut_off and others_reach)
    assert len(wire.tried) <= 3


def test_node_without_known_servers_is_not_cut_off():
    """A node took itself for cut off while no server was registered."""
    reachability = Reachability(ManualClock(), lambda: True)
    settled = []
    reachability.hold(settled.append)
    build_prober(reachability, ScriptedWire()).check()
    assert settled == _FAULT_OF_SERVER
    assert not reachability.is_cut_off_


def test_connection_of_a_request_settles_at_once():
    """A check is needless once a request has opened a connection."""
    reachability = Reachability(ManualClock(), lambda: True)
    settled = []
    reachability.hold(settled.append)
    reachability.observe_opened()
    assert settled == _FAULT_OF_SERVER
    assert not reachability.doubt_.is_set()


def test_opened_connection_ends_a_cut():
    """A node that reaches servers again reports their failures again."""
    reachability = Reachability(ManualClock(), lambda: True)
    reachability.conclude_cut_off()
    settled = []
    reachability.hold(settled.append)
    reachability.observe_opened()
    reachability.hold(settled.append)
    reachability.observe_opened()
    assert settled == [False, True]
    assert not reachability.should_detour


def test_check_prefers_other_zones_and_servers_without_failure():
    """Servers of one lost zone don't make a node think that it is cut off."""
    reachability = Reachability(ManualClock(), lambda: True)
    reachability.observe_failed(('a', 1))
    wire = ScriptedWire(4)
    build_prober(reachability, wire, 'x', 'x', 'x', 'y').check()
    assert not reachability.is_cut_off_
    assert wire.tried == [4]


@pytest.mark.parametrize(
    ('running', 'seconds', 'is_doubted'),
    [(1, 1, True), (0, 1, False), (1, 0.1, False)],
)
def test_silence_under_running_requests_is_doubted(
    running, seconds, is_doubted
):
    """Requests on silent connections waited for their own time-outs."""
    clock = ManualClock()
    reachability = Reachability(clock)
    reachability.observe_answer()
    clock.now += seconds
    reachability.observe_running(running)
    assert reachability.doubt_.is_set() is is_doubted
