"""Nodes in one process with a store stand-in, for tests."""

import itertools
import json
import os
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from http.client import HTTPConnection

from sesameroute.node import FleetNode, parse_node_settings
from sesameroute.node.tests.partition import (
    PartitionableWire,
    PeerPartition,
)
from sesameroute.platform.tests.store_standin import StoreStandIn

# Test runs at the same time on one machine use different addresses.
NETWORK_PREFIX = f'127.{20 + os.getpid() % 60}.{os.getpid() // 60 % 250}'
FRONT_PORT, READY_PORT, DIRECTORY_PORT, PEERS_PORT = 18410, 18411, 18412, 18413
METRICS_PORT = 18414

SETTINGS = """
[node]
name = {name}
address = {address}
zone = {zone}
region = {region}
[listen]
front = {address}:{front}
ready = {address}:{ready}
directory = {address}:{directory}
metrics = {address}:18414
[peers]
ports = {peers},18415
key = key of this test 0123456789
seeds = {seeds}
[store]
address = {store}
[zones]
north-a = north
north-b = north
south-a = south
[bounds]
grace = 3
"""


_ZONES = ('north-a', 'north-b', 'south-a')


def list_zones(zones):
    """Return the lines of the settings that name zones."""
    return '\n'.join(f'{each} = {each.partition("-")[0]}' for each in zones)


def wait_for(predicate, seconds=8):
    """Return whether a predicate becomes true in time."""
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if predicate():
            return True
        time.sleep(0.02)
    return False


class Cluster:
    """A store, nodes and the entries of operators and backend servers.

    Attributes
    ----------
    zones : tuple of str
        Zones that the nodes know, each ``REGION-LETTER``.
    limits : dict of str to int
        Limits on callers in the configurations.
    grace_seconds : int
        Grace period of the nodes' stops.
    partition : PeerPartition
        Opens the connections between the nodes.

    """

    def __init__(self):
        """Start the store with an initial configuration."""
        self.store = StoreStandIn()
        self.nodes = {}
        self.wires = {}
        self.partition = PeerPartition()
        self.version = 1
        self.zones = _ZONES
        self.grace_seconds = 3
        self.limits = {
            'max_header_bytes': 16384,
            'max_body_bytes': 1048576,
            'header_timeout_ms': 1000,
            'idle_timeout_ms': 5000,
        }
        self._sequences = itertools.count(1)
        self.configure(prefix='/a/')

    def configure(self, **route):
        """Store the next version of a configuration with one route.

        `tenants` are the tenants of the configuration; by default none.
        """
        self.version += 1
        fields = {
            'name': 'r',
            'path_prefix': '/a/',
            'kind': 'safe',
            'timeout_ms': 800,
            'target_latency_ms': 300,
            'priority': 1,
            'max_attempts': 2,
            'session_affinity': True,
            'allowed_regions': [],
            'service': 's',
        }
        prefix = route.pop('prefix', '/a/')
        tenants = route.pop('tenants', None)
        fields.update(route, path_prefix=prefix)
        self.store.put(
            'op/config',
            json.dumps(
                {
                    'version': f'{self.version:08x}',
                    'services': [
                        {
                            'name': 's',
                            'health_path': '/health',
                            'max_connections': 99,
                            'cold_start_s': 3.0,
                            'cold_per_s': 7.0,
                        },
                    ],
                    'limits': self.limits,
                    'tenants': tenants,
                    'virtual_hosts': [{'host': 'h', 'paths': [fields]}],
                },
            ).encode(),
        )

    def register(
        self, name, server, zone='north-a', state='ready', incarnation=7
    ):
        """Store the entry of a backend server."""
        host, port = server.target
        entry = {
            'service': 's',
            'address': f'{host}:{port}',
            'zone': zone,
            'version': 'v1',
            'slots': 4,
            'state': state,
            'cold_left_ms': 0,
            'sequence': next(self._sequences),
            'born': incarnation,
        }
        self.store.put(f'servers/{name}', json.dumps(entry).encode())

    def add_node(self, number, zone='north-a', seeds=()):
        """Start a node; `number` is the last part of its IP address."""
        text = self.build_settings(number, zone, seeds)
        self.wires.setdefault(number, PartitionableWire())
        node = FleetNode(parse_node_settings(text), self.wires[number])
        node.peers.wire = self.partition
        node.start()
        self.nodes[number] = node
        return node

    def isolate(self, *numbers):
        """Cut nodes off from the store and from all other nodes."""
        isolated = {f'{NETWORK_PREFIX}.{number}' for number in numbers}
        self.store.rejected_clients.update(isolated)
        self.partition.isolated = frozenset(isolated)
        nodes = self.nodes.values()
        assert wait_for(
            lambda: not any(list(map(self.partition.close_separated, nodes)))
        )

    def rejoin(self):
        """End the cut."""
        self.store.rejected_clients.difference_update(self.partition.isolated)
        self.partition.isolated = frozenset()

    def build_settings(self, number, zone='north-a', seeds=()):
        """Return the text of a node's settings."""
        address = f'{NETWORK_PREFIX}.{number}'
        text = SETTINGS.format(
            name=f'node-{number}',
            address=address,
            zone=zone,
            region=zone.partition('-')[0],
            front=FRONT_PORT,
            ready=READY_PORT,
            directory=DIRECTORY_PORT,
            peers=PEERS_PORT,
            seeds=','.join(f'{NETWORK_PREFIX}.{seed}:1' for seed in seeds),
            store='{0}:{1}'.format(*self.store.address),
        ).replace(list_zones(_ZONES), list_zones(self.zones))
        return text.replace('grace = 3', f'grace = {self.grace_seconds}')

    def start_nodes(self, *numbers):
        """Start nodes in one zone and wait until they know each other."""
        for number in numbers:
            self.add_node(number, seeds=numbers)
        assert wait_for_directory(*numbers)

    def stop(self):
        """Stop the nodes and the store."""
        with ThreadPoolExecutor() as stopping:
            for node in self.nodes.values():
                stopping.submit(node.kill)
        for wire in self.wires.values():
            wire.close()
        self.store.stop()


def call(number, port, path, headers=None, method='GET', body=None):
    """Send one request to a node; return status, headers and body."""
    address = f'{NETWORK_PREFIX}.{number}'
    with closing(HTTPConnection(address, port, timeout=5)) as connection:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.headers), answer.read()


def wait_for_directory(*numbers):
    """Return whether the nodes' directories list all of them in time."""
    return wait_for(
        lambda: all(len(resolve(one)) == len(numbers) for one in numbers),
    )


def send(number, path='/a/x', key='k', **headers):
    """Send one caller's request to a node; return status and body."""
    sent = {
        'Host': 'h',
        'Sesameroute-Attempt-Id': 'mine',
        'Sesameroute-Affinity-Key': key,
        'Sesameroute-Deadline-Ms': '2000',
        **headers,
    }
    status, _headers, body = call(number, FRONT_PORT, path, sent)
    return status, body


def resolve(number, region='north'):
    """Return the addresses that a node's directory lists for a region."""
    path = f'/-/resolve?name=h&region={region}&zone={region}-a'
    status, _headers, body = call(number, DIRECTORY_PORT, path)
    return sorted(json.loads(body)['addresses']) if status == 200 else []


def is_ready(number):
    """Return whether a node passes the platform's readiness check."""
    return call(number, READY_PORT, '/-/ready')[0] == 200
