"""Starts nodes as processes beside a store, servers and a configuration."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from sesameroute.platform.tests.store_standin import StoreStandIn

ROOT = Path(__file__).resolve().parents[3]
FRONT, READY, DIRECTORY, METRICS = 18548, 18542, 18546, 18464
PEERS = '17540,17555'
FIRST_NODE, FIRST_SERVER = 10, 100
# Bounds of the site ohrc-route.
CONTACT_SECONDS, GRACE_SECONDS, DRAIN_SECONDS = 4, 6, 2.5
HOST = 'jepu9.example'
ZONES = {
    'toowoomba-a': 'darling-downs',
    'dalby-b': 'darling-downs',
    'longreach-a': 'central-west',
}
SETTINGS = """[node]
name = front-{zone}-{number}
address = {ip}
zone = {zone}
region = {region}

[listen]
front = {ip}:{front}
ready = {ip}:{ready}
directory = {ip}:{directory}
metrics = {ip}:{metrics}

[peers]
ports = {peers}
key = sesameroute-{store}
seeds = {seeds}

[store]
address = {store}

[zones]
{zones}

[bounds]
grace = 6
retry_ratio = 0.2
retry_slack = 64
longest_ttl = 5
max_shift = 0.15

[placement]
shares = by-size
forecast = 2

[limits]
descriptors = 4100
memory = 300
link = 1000.0
"""
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def build_route(name, prefix, service, **fields):
    """Return one route of a configuration."""
    route = {
        'name': name,
        'path_prefix': prefix,
        'kind': 'safe',
        'timeout_ms': 1200,
        'target_latency_ms': 400,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
        'session_affinity': True,
        'allowed_regions': [],
    }
    route.update(fields)
    return route


def build_service(name, **fields):
    """Return one service of a configuration."""
    service = {
        'name': name,
        'health_path': '/health',
        'max_connections': 390,
        'protocol': 'h1',
        'tls': False,
        'cold_start_s': 3.0,
        'cold_per_s': 7.2,
    }
    service.update(fields)
    return service


class Record:
    """Writes what was sent, answered and run to a file, line by line."""

    def __init__(self, path):
        """Open the file; times count from now."""
        self.began_at = time.monotonic()
        self._lock = threading.Lock()
        self._lines = Path(path).open('w', encoding='utf-8')

    def write(self, *words):
        """Write one line."""
        seconds = time.monotonic() - self.began_at
        with self._lock:
            self._lines.write(f'{seconds:8.3f} {" ".join(map(str, words))}\n')

    def close(self):
        """Close the file."""
        self._lines.close()


class Fleet:
    """Nodes, a store and the operator's configuration."""

    def __init__(self, record, zones):
        """Prepare one node for each zone; nothing is started yet."""
        self.record = record
        self.prefix = _find_prefix(len(zones))
        self.zones = list(zones)
        self.processes = {}
        self.version = 6
        self.store = StoreStandIn(f'{self.prefix}.2')
        self._folder = tempfile.TemporaryDirectory()
        self._lock = threading.Lock()
        self._sequence = 0

    def get_ip(self, number):
        """Return the address of a node."""
        return f'{self.prefix}.{FIRST_NODE + number}'

    def get_server_ip(self, number):
        """Return the address of a server."""
        return f'{self.prefix}.{FIRST_SERVER + number}'

    def configure(self, services, routes, tenants=()):
        """Write the next version of the configuration."""
        self.version += 5
        configuration = {
            'version': f'{self.version:08x}',
            'services': services,
            'limits': LIMITS,
            'virtual_hosts': [{'host': HOST, 'paths': routes}],
        }
        if tenants:
            configuration['tenants'] = list(tenants)
        self.store.put('op/config', json.dumps(configuration).encode())
        self.record.write('operator version', self.version)

    def register(self, server, state='ready', **fields):
        """Write the entry of a server."""
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        entry = {
            'service': server.service,
            'address': f'{server.address[0]}:{server.address[1]}',
            'zone': server.zone,
            'version': 'v1',
            'slots': server.slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': sequence,
            'born': server.born,
        }
        entry.update(fields)
        self.store.put(f'servers/{server.name}', json.dumps(entry).encode())
        self.record.write('entry', server.name, state)

    def start_all(self):
        """Start all nodes; return whether all are ready in time."""
        numbers = range(len(self.zones))
        for number in numbers:
            self.start(number)
        return all(map(self.wait_ready, numbers))

    def start(self, number):
        """Start one node with the command of the deploy file."""
        settings = Path(self._folder.name) / f'settings-{number}.ini'
        settings.write_text(self._build_settings(number), encoding='utf-8')
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        command = deploy['roles']['node']['run'].split()
        log = Path(self._folder.name) / f'log-{number}.txt'
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['SESAMEROUTE_BOOT'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with log.open('a', encoding='utf-8') as output:
            self.processes[number] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.record.write('start node', number, self.get_ip(number))

    def read_log(self, number):
        """Return what a node has written."""
        path = Path(self._folder.name) / f'log-{number}.txt'
        return path.read_text(encoding='utf-8', errors='replace')

    def send_signal(self, number, signal_number):
        """Send a signal to a node that this test has started."""
        self.record.write('signal', signal.Signals(signal_number).name, number)
        self.processes[number].send_signal(signal_number)

    def wait_ready(self, number, seconds=20):
        """Return whether a node is ready in time."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if self.is_ready(number):
                return True
            time.sleep(0.1)
        return False

    def is_ready(self, number):
        """Return whether a node answers 200 to the readiness check."""
        line = HTTPConnection(self.get_ip(number), READY, timeout=1)
        try:
            line.request('GET', '/-/ready')
            return line.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            line.close()

    def __enter__(self):
        """Return itself."""
        return self

    def __exit__(self, *_error):
        """End all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.kill()
        for ended in self.processes.values():
            ended.wait()
        self.store.stop()
        self._folder.cleanup()

    def _build_settings(self, number):
        zone = self.zones[number]
        seeds = [f'{self.get_ip(each)}:1' for each in range(len(self.zones))]
        return SETTINGS.format(
            number=number,
            ip=self.get_ip(number),
            zone=zone,
            region=ZONES[zone],
            front=FRONT,
            ready=READY,
            directory=DIRECTORY,
            metrics=METRICS,
            peers=PEERS,
            seeds=','.join(seeds[:3]),
            store='{0}:{1}'.format(*self.store.address),
            zones='\n'.join(f'{name} = {ZONES[name]}' for name in ZONES),
        )


def run_case(play, zones):
    """Play a case with one node in each zone; end with its exit code.

    0: the rule held, 1: it was broken, 2: the case could not run.
    """
    code = 2
    record = Record(sys.argv[1])
    try:
        with Fleet(record, zones) as fleet:
            code = play(fleet)
    except Exception:
        traceback.print_exc()
    record.write('exit', code)
    record.close()
    sys.exit(code)


def _find_prefix(count):
    """Return a loopback network whose addresses are free."""
    for _ in range(50):
        prefix = f'127.{random.randint(60, 220)}.{random.randint(1, 250)}'
        ports = [FRONT, READY, DIRECTORY, *map(int, PEERS.split(','))]
        with contextlib.suppress(OSError):
            for number in range(count):
                for port in ports:
                    address = f'{prefix}.{FIRST_NODE + number}', port
                    socket.create_server(address).close()
            return prefix
    raise RuntimeError('no free loopback network')
