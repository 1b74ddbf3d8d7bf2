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
from pathlib import Path

from sesameroute import gossip
from sesameroute.adapters import PeerNetwork
from sesameroute.node import FleetNode, parse_node_settings
from sesameroute.node._fleet import NodeState
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
_TTL_SECONDS = 7
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
    beats_per_state, beats_per_list : int
        Heartbeats for one with a state, and for one with a list of all nodes.

    """

    interval: float = 1.0
    beats_per_state: int = 1
    beats_per_list: int = 5


def choose_pace(count: int) -> Pace:
    """Return the pace of a fleet of the source tree that is measured."""
    if not hasattr(gossip, 'choose_heartbeat_interval'):
        return Pace()
    return Pace(
        gossip.choose_heartbeat_interval(count),
        3 if count >= _MIN_PEERS_OF_TTL else 1,
        gossip.choose_list_interval(count),
    )


def run_peers(count: int) -> None:
    """Print the node's settings, then tell it the states of its peers."""
    cluster = Cluster()
    settings = cluster.build_settings(1)
    sys.stdout.write(json.dumps(settings))
    sys.stdout.write('\n')
    sys.stdout.flush()
    target = {f'{NETWORK_PREFIX}.1': (f'{NETWORK_PREFIX}.1', PEERS_PORT)}
    prefix, third = NETWORK_PREFIX.rsplit('.', 1)
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
        playing.append((network, _make_state(address, number, count)))
    _send_states(playing, choose_pace(count), next(iter(target)))


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
            if is_complete or not (beat + number) % pace.beats_per_state:
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
    used, transferred = time.process_time(), _sum_bytes(node.peers)
    time.sleep(seconds)
    return {
        'live': live,
        'threads': threading.active_count(),
        'core': (time.process_time() - used) / seconds,
        'bytes': (_sum_bytes(node.peers) - transferred) / seconds,
        'memory': _read_memory(),
    }


def _make_state(address: str, number: int, count: int) -> NodeState:
    region = _REGIONS[number % len(_REGIONS)]
    state = NodeState(
        address, f'{region}-a', region, f'{address}:1', is_ready=True
    )
    if count >= _MIN_PEERS_OF_TTL and hasattr(state, 'ttl'):
        return replace(state, ttl=_TTL_SECONDS)
    return state


def _sum_bytes(network: PeerNetwork) -> int:
    """Return the bytes of all streams, both directions, with headers."""
    return sum(
        _read_bytes(stream.connection)
        for stream in network.streams.list_streams()
    )


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
