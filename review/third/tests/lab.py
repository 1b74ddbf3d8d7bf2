"""A small deployment on loopback: nodes as processes, all else as stand-ins.

The store is the project's own stand-in. Servers and clients are small ones of
asyncio that do what PROTOCOL.md says. Each case is a coroutine that gets a
`Lab` and returns whether the rule was broken.
"""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from sesameroute.platform.tests.store_standin import StoreStandIn

ROOT = Path(__file__).resolve().parents[3]
HOST = 'desk.example'
PORTS = {'front': 8548, 'ready': 8542, 'directory': 8546, 'metrics': 9464}
PEER_PORTS = (7540, 7555)
SERVER_PORT = 8080
ZONES = {'toowoomba-a': 'darling-downs', 'longreach-a': 'central-west'}
ZONE, FAR_ZONE = ZONES
HEARTBEAT_SECONDS = 1.5
READY_SECONDS = 20
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
_CONTENT = b'an answer'

SETTINGS = """[node]
name = front-{address}
address = {address}
zone = {zone}
region = {region}
[listen]
front = {address}:{front}
ready = {address}:{ready}
directory = {address}:{directory}
metrics = {address}:{metrics}
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
link = 1000
"""


def find_prefix():
    """Return the first three numbers of free loopback addresses."""
    for number in range(os.getpid(), os.getpid() + 200):
        prefix = f'127.{100 + number % 100}.{number // 100 % 250}'
        if all(is_free(f'{prefix}.1', port) for port in PORTS.values()):
            return prefix
    raise OSError('no free loopback addresses')


def is_free(address, port):
    """Return whether nothing listens at an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def read_deploy_command():
    """Return the command of the node as the deploy file has it."""
    for line in (ROOT / 'deploy/system.toml').read_text().splitlines():
        if line.startswith('run = '):
            return line.partition('"')[2].rstrip('"').split()
    raise OSError('no command in the deploy file')


async def read_head(reader):
    """Return the first line of a message and its fields, in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip().split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


async def read_body(reader, fields):
    """Return the body of a message with a length or in chunks."""
    if fields.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(fields.get('content-length', 0)))
    parts = []
    while size := int(await reader.readuntil(b'\r\n'), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b''.join(parts)


class Node:
    """One process of the deploy file's command."""

    def __init__(self, lab, number, zone=ZONE):
        """Store where it is; it does not run yet."""
        self.lab = lab
        self.zone = zone
        self.address = f'{lab.prefix}.{number}'
        self.path = lab.folder / f'node-{number}.ini'
        self.process = None

    def start(self):
        """Start the process."""
        lab = self.lab
        self.path.write_text(
            SETTINGS.format(
                address=self.address,
                zone=self.zone,
                region=ZONES[self.zone],
                **PORTS,
                peers=','.join(map(str, PEER_PORTS)),
                seeds=','.join(f'{each}:8544' for each in lab.list_addresses()),
                store='{0}:{1}'.format(*lab.store.address),
                zones='\n'.join(f'{zone} = {ZONES[zone]}' for zone in ZONES),
            )
        )
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': 'target/deps',
            'SESAMEROUTE_BOOT': str(self.path),
        }
        with self.path.with_suffix('.log').open('ab') as log:
            self.process = subprocess.Popen(
                read_deploy_command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Server:
    """A server: answers `work_seconds` later with a seal.

    `runs` has the identifier, the time and the node's address of each run.
    """

    def __init__(self, lab, number, service, zone=ZONE):
        """Store the parameters; `start` listens."""
        self.lab = lab
        self.zone = zone
        self.name = f'i-{number:08x}'
        self.service = service
        self.address = f'{lab.prefix}.{100 + number}'
        self.born = round(time.time() * 1000)
        self.work_seconds = 0.03
        self.slots = 20
        self.runs = []
        self.writers = set()
        self.listener = None

    async def start(self):
        """Listen and register."""
        self.listener = await asyncio.start_server(
            self._serve, self.address, SERVER_PORT
        )
        self.register()

    def register(self):
        """Write the entry in the store."""
        entry = {
            'service': self.service,
            'address': f'{self.address}:{SERVER_PORT}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': next(self.lab.numbers),
            'born': self.born,
        }
        self.lab.store.put(f'servers/{self.name}', json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._answer(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        """Answer one request; return whether the connection goes on."""
        first, fields = await read_head(reader)
        await read_body(reader, fields)
        identifier = fields.get('sesameroute-attempt-id', '')
        if fields.get('sesameroute-expect-instance') != self.name:
            writer.write(_build_head(421, identifier, 0))
            return True
        node = writer.get_extra_info('peername')[0]
        self.runs.append((identifier, time.monotonic(), node, fields))
        self.lab.record('run', identifier, f'{first} {self.name} from {node}')
        await asyncio.sleep(self.work_seconds)
        seal = f'Sesameroute-Server-Seal: {self.name}.{identifier}\r\n'
        writer.write(
            _build_head(200, identifier, len(_CONTENT), seal) + _CONTENT
        )
        return True


def _build_head(status, identifier, size, more=''):
    return (
        f'HTTP/1.1 {status} Answer\r\nSesameroute-Attempt-Id: {identifier}\r\n'
        f'{more}Content-Length: {size}\r\n\r\n'
    ).encode()


class Lab:
    """The deployment of one case."""

    def __init__(self, zones, record_path):
        """Make a node in each of these zones; nothing runs yet."""
        self.prefix = find_prefix()
        self.folder = Path(tempfile.mkdtemp(prefix='review-third-'))
        self.store = StoreStandIn(f'{self.prefix}.250')
        # A node that is killed leaves calls that can't be answered.
        self.store._server.handle_error = print_nothing  # noqa: SLF001
        self.numbers = itertools.count(1)
        self.nodes = [
            Node(self, rank, zone) for rank, zone in enumerate(zones, 1)
        ]
        self.servers = []
        self.counts = Counter()
        self.has_beaten = asyncio.Event()
        self.began = time.monotonic()
        self.record_file = record_path.open('w', encoding='utf-8')

    def list_addresses(self):
        """Return the addresses of the nodes."""
        return [node.address for node in self.nodes]

    def record(self, event, identifier, detail=''):
        """Write a line about what was sent, answered or run."""
        seconds = time.monotonic() - self.began
        self.counts[event] += 1
        self.record_file.write(
            f'{seconds:8.3f} {event:9} {identifier:10} {detail}\n'
        )

    def configure(self, *routes):
        """Write the configuration."""
        usual = {
            'kind': 'safe',
            'timeout_ms': 2500,
            'target_latency_ms': 400,
            'priority': 1,
            'max_attempts': 2,
            'session_affinity': False,
            'allowed_regions': [],
        }
        paths = [
            {**usual, 'name': f'r-{rank}', **route}
            for rank, route in enumerate(routes)
        ]
        services = [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 390,
                'cold_start_s': 3.0,
                'cold_per_s': 19.0,
            }
            for name in sorted({path['service'] for path in paths})
        ]
        document = {
            'version': '00000007',
            'services': services,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'virtual_hosts': [{'host': HOST, 'paths': paths}],
        }
        self.store.put('op/config', json.dumps(document).encode())

    async def start(self, *servers):
        """Start servers and nodes; wait until all nodes are ready."""
        self.servers = servers
        await asyncio.gather(*(server.start() for server in servers))
        for node in self.nodes:
            node.start()
        until = time.monotonic() + READY_SECONDS
        while not all(await asyncio.gather(*map(is_ready, self.nodes))):
            if time.monotonic() > until:
                raise OSError('the nodes do not become ready')
            await asyncio.sleep(0.2)
        await asyncio.sleep(2)

    async def wait_for_beat(self):
        """Wait until the servers have just written their entries."""
        self.has_beaten.clear()
        await self.has_beaten.wait()

    async def beat(self):
        """Let the servers write their entries now and then."""
        while True:
            self.has_beaten.set()
            await asyncio.sleep(HEARTBEAT_SECONDS)
            # While the store is away, its clients' calls fail.
            for server in () if self.store.is_away else self.servers:
                server.register()

    def stop(self):
        """End all processes that were started."""
        for node in self.nodes:
            node.kill()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
        for event, count in sorted(self.counts.items()):
            self.record_file.write(f'{event}: {count}\n')


async def is_ready(node):
    """Return whether a node passes the platform's check."""
    try:
        reader, writer = await asyncio.open_connection(
            node.address, PORTS['ready']
        )
    except OSError:
        return False
    writer.write(b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n')
    try:
        first, _fields = await asyncio.wait_for(read_head(reader), 1)
    except (OSError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
    return ' 200 ' in f'{first} '


def print_nothing(*_arguments):
    """Ignore a call to the store whose node has gone."""


def build_request(path, identifier, milliseconds, method='GET'):
    """Return the bytes of a request without a body."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Sesameroute-Attempt-Id: {identifier}\r\n'
        f'Sesameroute-Deadline-Ms: {milliseconds}\r\n\r\n'
    ).encode()


def run_case(case, zones):
    """Run a case and end with its exit code; the record's path is given."""
    path = Path(sys.argv[1])
    lab = None
    code = NOT_RUN
    try:
        lab = Lab(zones, path)
        code = BROKEN if asyncio.run(_run(lab, case)) else HELD
    except OSError as error:
        print(f'the case could not run: {error}')
    finally:
        if lab is not None:
            lab.stop()
            lab.record_file.write(f'exit code {code}\n')
            lab.record_file.close()
    # Threads of the store's stand-in may still wait for a call.
    sys.stdout.flush()
    os._exit(code)


async def _run(lab, case):
    # Connections that still wait are cancelled at the end.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    beats = asyncio.create_task(lab.beat())
    is_broken = await case(lab)
    beats.cancel()
    return is_broken
