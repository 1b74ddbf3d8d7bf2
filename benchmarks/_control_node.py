"""Runs the measured node, or its peers, in a process of its own.

``python -m benchmarks._control_node node 16 5`` prints the resources that a
node with 16 peer streams uses in 5 seconds; ``... peers 16`` runs the peers.
"""

import json
import random
import resource
import socket
import struct
import sys
import time
from pathlib import Path

from benchmarks._control_store import make_fleet_statement
from sesameroute.adapters import PeerNetwork
from sesameroute.membership import (
    Configuration,
    Digest,
    Membership,
    MembershipContext,
    ServiceHeadroom,
    VmReport,
)
from sesameroute.ports import PeerIdentity, SystemClock, TcpWire

_PEER_KEY = b'key of this benchmark 0123456789'
_PEER_PORT = 18903
_DOMAIN_COUNT = 9
_REGION_COUNT = 4
_NODE_NAME = 'vm0'
_PAGE_BYTES = resource.getpagesize()
_TCP_INFO_BYTES = 144
# Offset of the counters in `struct tcp_info`: bytes acknowledged and received,
# then segments sent and received.
_COUNTERS_OFFSET_BYTES = 120
_HEADER_BYTES = 52  # IP and TCP headers with time stamps, per segment
_REQUEST_KEY_PREFIX = 'vm0/i0123456789abcd/e1/vm9/i0123456789abcd'
_SETTLE_SECONDS = 3
_RUN_PEERS_SECONDS = 120  # longer than any measurement of a node
# Heartbeat interval for each stream, within limits; the same as in nodes.
_HEARTBEAT_SECONDS_PER_STREAM = 0.1
_MAX_HEARTBEAT_SECONDS = 1.5
_MIN_HEARTBEAT_SECONDS = 0.5


def measure_node(peers: int, seconds: float) -> dict[str, float]:
    """Return the resources that a node with some peers uses.

    Parameters
    ----------
    peers : int
        Number of peers.
    seconds : float
        Duration of the measurement.

    Returns
    -------
    dict of str to float
        ``core``, the CPU time per second; ``bytes``, the bytes sent and
        received per second; ``memory``, the bytes of resident memory that
        the node adds to the process.

    """
    statement = make_fleet_statement(peers + 1, _DOMAIN_COUNT, _REGION_COUNT)
    clock = SystemClock()
    vm = statement.vms[_NODE_NAME]
    network = PeerNetwork(
        PeerIdentity(_NODE_NAME, 'i0123456789abcd'),
        _PEER_KEY,
        TcpWire(),
        clock,
        (vm.address, _PEER_PORT),
    )
    context = MembershipContext(network.identity, vm.domain, network, clock)
    node = Membership(context, lambda _text: statement, _make_report)
    memory_before = _read_memory()
    network.start(node.handle)
    node.keeper.observe(Configuration(1, 's1', 'text'))
    node.start()
    while len(node.members.list_live()) < peers:
        time.sleep(_HEARTBEAT_SECONDS_PER_STREAM)
    time.sleep(_SETTLE_SECONDS)
    cpu_before, bytes_before = time.process_time(), _sum_bytes(network)
    time.sleep(seconds)
    return {
        'core': (time.process_time() - cpu_before) / seconds,
        'bytes': (_sum_bytes(network) - bytes_before) / seconds,
        'memory': _read_memory() - memory_before,
    }


def run_peers(peers: int) -> None:
    """Send digests from some peers, as often as nodes of such a fleet do."""
    statement = make_fleet_statement(peers + 1, _DOMAIN_COUNT, _REGION_COUNT)
    target = {_NODE_NAME: (statement.vms[_NODE_NAME].address, _PEER_PORT)}
    networks = []
    for vm in list(statement.vms.values())[1:]:
        identity = PeerIdentity(vm.name, 'i0123456789abcd')
        listen = (vm.address, 0)
        network = PeerNetwork(
            identity, _PEER_KEY, TcpWire(), SystemClock(), listen
        )
        network.start(lambda _sender, _message: None)
        network.set_targets(target)
        networks.append(network)
    heartbeat_interval = min(
        max(peers * _HEARTBEAT_SECONDS_PER_STREAM, _MIN_HEARTBEAT_SECONDS),
        _MAX_HEARTBEAT_SECONDS,
    )
    ends_at = time.monotonic() + _RUN_PEERS_SECONDS
    while time.monotonic() < ends_at:
        for network in networks:
            network.send_one_way(
                _NODE_NAME, _make_digest(network.identity.name)
            )
        time.sleep(heartbeat_interval)


def _make_report() -> VmReport:
    return VmReport(_REQUEST_KEY_PREFIX, _make_headroom())


def _make_digest(name: str) -> Digest:
    return Digest(
        name, 'i0123456789abcd', 1, _REQUEST_KEY_PREFIX, _make_headroom()
    )


def _make_headroom() -> tuple[ServiceHeadroom, ...]:
    return tuple(
        ServiceHeadroom(service, random.randint(0, 96), 96)
        for service in ('tally-desk', 'lodge-desk', 'sheet-store')
    )


def _sum_bytes(network: PeerNetwork) -> int:
    """Return the bytes of all streams, both directions, with headers."""
    return sum(
        _read_bytes(stream.connection)
        for stream in network.streams.list_streams()
    )


def _read_bytes(connection: socket.socket) -> int:
    packed = connection.getsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_INFO,
        _TCP_INFO_BYTES,
    )
    sent_bytes, received_bytes, sent_segments, received_segments = (
        struct.unpack_from('=QQII', packed, _COUNTERS_OFFSET_BYTES)
    )
    return (
        sent_bytes
        + received_bytes
        + (sent_segments + received_segments) * _HEADER_BYTES
    )


def _read_memory() -> int:
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * _PAGE_BYTES


if __name__ == '__main__':
    count = int(sys.argv[2])
    if sys.argv[1] == 'node':
        measured = measure_node(count, float(sys.argv[3]))
        sys.stdout.write(json.dumps(measured))
    else:
        run_peers(count)
