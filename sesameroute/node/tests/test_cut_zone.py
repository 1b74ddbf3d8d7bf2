"""Tests of a zone that is cut off while the store loses writes.

Its nodes reach neither the store nor nodes of other zones meanwhile.
"""

import time
from collections import Counter, namedtuple

import pytest

from sesameroute.node.tests.backends import count_since
from sesameroute.node.tests.cluster import send
from sesameroute.node.tests.drills import lose_writes

# The bounds as they are stated, in seconds.
_CONTACT_SECONDS = 3.0
_APPLY_SECONDS = 2.0
_PAUSE_SECONDS = 0.5
_NODES = 8
_REGIONS = 2
_KEYS = 12
_LEAVING = 'Server-Leaving: 1\r\n'

Case = namedtuple('Case', ('zone', 'is_cut_before', 'restarted', 'lost'))

_CASES = (
    Case('south-b', is_cut_before=True, restarted=0, lost=60),
    Case('south-b', is_cut_before=True, restarted=1, lost=60),
    Case('south-b', is_cut_before=True, restarted=2, lost=60),
    Case('south-b', is_cut_before=False, restarted=0, lost=1),
    Case('south-b', is_cut_before=False, restarted=1, lost=60),
    Case('north-b', is_cut_before=True, restarted=1, lost=1),
    Case('north-b', is_cut_before=False, restarted=0, lost=60),
    Case('north-b', is_cut_before=False, restarted=2, lost=60),
)


class ZoneCut:
    """A zone that is cut off while the homes of the route change.

    The homes are in the south at first, then in the north, where one server
    drains.
    """

    def __init__(self, drill, case, is_told_by_server):
        """Store the parameters."""
        self.drill = drill
        self.cluster = drill.cluster
        self.case = case
        self.is_told_by_server = is_told_by_server
        self.numbers = [
            number for number, zone in drill.nodes.items() if zone == case.zone
        ]
        self.others = drill.nodes.keys() - self.numbers

    def play(self):
        """Cut the zone off, lose writes and write again; end the cut."""
        if self.case.is_cut_before:
            self.cluster.isolate(*self.numbers)
        lose_writes(
            self.cluster, self.case.lost, self.change_homes, while_away=self.cut
        )
        time.sleep(_PAUSE_SECONDS)
        self.cluster.configure(prefix='/b/', allowed_regions=['north'])
        self.drain()
        for number in self.numbers[: self.case.restarted]:
            self.cluster.nodes[number].kill()
            self.drill.start(number)
        time.sleep(_APPLY_SECONDS)
        assert self.send(self.others).keys() == {200}
        assert 200 not in self.send(self.numbers)
        self.cluster.rejoin()
        time.sleep(_CONTACT_SECONDS)

    def cut(self):
        """Cut the zone off if it isn't."""
        self.cluster.isolate(*self.numbers)

    def change_homes(self):
        """Let the route have the other homes, where one server drains."""
        self.cluster.configure(allowed_regions=['north'])
        self.drain()

    def drain(self):
        """Let a server of the homes drain, by its entry or by its answers."""
        server = self.drill.servers['north-a']
        if self.is_told_by_server:
            server.headers = _LEAVING
        else:
            self.cluster.register(
                'in-north-a', server, 'north-a', state='draining'
            )

    def send(self, numbers):
        """Send requests for the newest route; return their statuses."""
        return Counter(
            send(number, '/b/x', key=str(key))[0]
            for number in numbers
            for key in range(_KEYS)
        )


@pytest.mark.parametrize('is_told_by_server', [False, True])
@pytest.mark.parametrize('case', _CASES, ids=str)
def test_cut_zone_follows_a_restore(
    cluster, start_drill, case, is_told_by_server
):
    """Nodes of a zone went on by what the store had before it was cut off."""
    cluster.configure(allowed_regions=['south'])
    drill = start_drill(_NODES, _REGIONS)
    cut = ZoneCut(drill, case, is_told_by_server)
    cut.play()
    since = time.monotonic()
    statuses = cut.send(drill.nodes)
    arrivals = {
        zone: count_since(server, since)
        for zone, server in drill.servers.items()
    }
    served = arrivals.pop('north-b')
    assert statuses == {200: _NODES * _KEYS}
    assert arrivals == dict.fromkeys(arrivals, 0)
    assert served == _NODES * _KEYS
