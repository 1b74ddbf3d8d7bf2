"""One idle node whose peers are streams of another process.

``python _idle_node.py peers COUNT`` prints the settings of the node and then
plays its peers; ``python _idle_node.py node COUNT SECONDS`` reads the settings
and prints what the node costs. Both run on any source tree in ``PYTHONPATH``.
"""

import itertools
import json
import socket
import struct
import sys
import threading
import time
from dataclasses import dataclass, replace
from operator import sub
from pathlib import Path

from sesameroute import gossip
from sesameroute.adapters import PeerNetwork
from sesameroute.node import FleetNode, parse_node_settings
from sesameroute.node._fleet import HeartbeatPlan, NodeState
from sesameroute.node.tests.cluster import (
    NETWORK_PREFIX,
    PEERS_PORT,
    Cluster,
)
from sesameroute.ports import PeerIdentity, SystemClock, TcpWire

_KEY = b'key of this test 0123456789'
_MAX_SECONDS = 90
_SETTLE_SECONDS = 6
_POLL_SECONDS = 1.0
_MIN_PEERS_OF_TTL = 24
_ADDRESSES = 200  # of each third part of an IP address
_REGIONS = ('north', 'south', 'east')
_TCP_INFO_BYTES = 232
_COUNTERS_OFFSET_BYTES = 120
_HEADER_BYTES = 52
_PAGE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Pace:
    """How often the peers of a source tree send which states.

    Attributes
    ----------
    interval : float
        Seconds between two heartbeats.
    beats_per_state, beats_per_far_state, beats_per_list : int
        Heartbeats for one with a state, for one with a state to a node of
        another region, and for one with a list of all nodes.
    ttl : int
        Seconds for which a state is valid.

    """

    interval: float = 1.0
    beats_per_state: int = 1
    beats_per_far_state: int = 1
    beats_per_list: int = 5
    ttl: int = 0

    def choose_beats(self, state: NodeState) -> int:
        """Return the heartbeats for one with the state of a peer."""
        is_near = state.region == _REGIONS[0]
        return self.beats_per_state if is_near else self.beats_per_far_state


def choose_pace(count: int) -> Pace:
    """Return the pace of a fleet of the source tree that is measured."""
    if not hasattr(gossip, 'choose_heartbeat_interval'):
        return Pace()
    interval = gossip.choose_heartbeat_interval(count)
    lists = gossip.choose_list_interval(count)
    if count < _MIN_PEERS_OF_TTL:
        return Pace(interval, beats_per_list=lists)
    if not hasattr(HeartbeatPlan, 'plan_messages'):
        return Pace(interval, 3, 3, lists, ttl=7)
    return Pace(interval, 6, 12, count, ttl=40)


def run_peers(count: int) -> None:
    """Print the node's settings, then tell it the states of its peers."""
    cluster = Cluster()
    settings = cluster.build_settings(1)
    sys.stdout.write(json.dumps(settings))
    sys.stdout.write('\n')
    sys.stdout.flush()
    target = {f'{NETWORK_PREFIX}.1': (f'{NETWORK_PREFIX}.1', PEERS_PORT)}
    prefix, third = NETWORK_PREFIX.rsplit('.', 1)
    pace = choose_pace(count)
    playing = []
    for number in range(count):
        part = (int(third) + 1 + number // _ADDRESSES) % 256
        address = f'{prefix}.{part}.{1 + number % _ADDRESSES}'
        network = PeerNetwork(
            PeerIdentity(address, f'i{number}'),
            _KEY,
            TcpWire(),
            SystemClock(),
            (address, PEERS_PORT),
        )
        network.start(lambda _sender, _message: None)
        network.set_targets(target)
        playing.append((network, _make_state(address, number, pace)))
    _send_states(playing, pace, next(iter(target)))


def _send_states(
    playing: list[tuple[PeerNetwork, NodeState]], pace: Pace, target: str
) -> None:
    """Send states until the process ends, those of the peers at any time."""
    known = tuple(state.address for _network, state in playing)
    for beat in itertools.count():
        for number, (network, state) in enumerate(playing):
            time.sleep(pace.interval / len(playing))
            is_complete = (beat + number) % pace.beats_per_list == 0
            sent = replace(state, known=known if is_complete else ())
            if is_complete or not (beat + number) % pace.choose_beats(state):
                network.send_one_way(target, sent)


def measure_node(count: int, seconds: float) -> dict[str, float]:
    """Return the cost of a node with peers, for each second."""
    node = FleetNode(parse_node_settings(json.loads(sys.stdin.readline())))
    node.start()
    until = time.monotonic() + _MAX_SECONDS
    while len(node.fleet.list_live()) <= count and time.monotonic() < until:
        time.sleep(_POLL_SECONDS)
    live = len(node.fleet.list_live()) - 1
    time.sleep(_SETTLE_SECONDS)
    near = {
        state.address
        for state in node.fleet.list_live()
        if state.region == _REGIONS[0]
    }
    used, transferred = time.process_time(), _sum_bytes(node.peers, near)
    time.sleep(seconds)
    total, far = map(sub, _sum_bytes(node.peers, near), transferred)
    return {
        'live': live,
        'threads': threading.active_count(),
        'core': (time.process_time() - used) / seconds,
        'bytes': total / seconds,
        'far-bytes': far / seconds,
        'memory': _read_memory(),
    }


def _make_state(address: str, number: int, pace: Pace) -> NodeState:
    region = _REGIONS[number % len(_REGIONS)]
    state = NodeState(
        address, f'{region}-a', region, f'{address}:1', is_ready=True
    )
    return replace(state, ttl=pace.ttl) if pace.ttl else state


def _sum_bytes(network: PeerNetwork, near: set[str]) -> tuple[int, int]:
    """Return the bytes of all streams, and of those to other regions.

    They are those of both directions, with headers.
    """
    transferred = {
        stream: _read_bytes(stream.connection)
        for stream in network.streams.list_streams()
    }
    far = sum(
        number
        for stream, number in transferred.items()
        if stream.peer.sender not in near
    )
    return sum(transferred.values()), far


def _read_bytes(connection: socket.socket) -> int:
    packed = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
    )
    acked, received, sent_segments, received_segments = struct.unpack_from(
        '=QQII', packed, _COUNTERS_OFFSET_BYTES
    )
    segments = sent_segments + received_segments
    return acked + received + segments * _HEADER_BYTES


def _read_memory() -> int:
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * _PAGE_BYTES


if __name__ == '__main__':
    if sys.argv[1] == 'node':
        measured = measure_node(int(sys.argv[2]), float(sys.argv[3]))
        sys.stdout.write(json.dumps(measured))
        sys.stdout.flush()
        threading.Event().wait()
    run_peers(int(sys.argv[2]))
