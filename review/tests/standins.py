"""Stand-ins of the platform's store and of backend servers, for the cases.

They use the standard library only and follow the users' pages.
"""

import base64
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = '127.0.0.1'
ROOT = Path(__file__).resolve().parents[2]
SEAL = 'Sesameroute-Server-Seal'
ATTEMPT = 'Sesameroute-Attempt-Id'
EXPECTED = 'Sesameroute-Expect-Instance'
NOT_RUN = 'Sesameroute-Not-Run'
_MAX_SECONDS = 110


def find_ports(count, address=HOST):
    """Return free TCP ports below those that outgoing connections get."""
    found = []
    while len(found) < count:
        port = random.SystemRandom().randrange(12_000, 32_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((address, port))
            found.append(port)
    return found


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path):
        """Open the file."""
        self._output = Path(path).open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start."""
        now = time.monotonic() - self._started
        with self._lock:
            self._output.write(f'{now:8.3f} {text}\n')
            self._output.flush()


class _StoreServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_arguments):
        """Ignore connections that the caller has closed."""


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_arguments):
        """Log nothing."""

    def do_GET(self):
        """Answer a read."""
        self._answer(*self.server.store.read(self.path))

    def do_POST(self):
        """Answer a write."""
        size = int(self.headers.get('Content-Length', 0))
        text = self.rfile.read(size)
        self._answer(*self.server.store.write(self.path, text))

    def do_DELETE(self):
        """End a lease."""
        self._answer(*self.server.store.end_lease(self.path))

    def _answer(self, status, body):
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class Store:
    """The platform's store."""

    def __init__(self):
        """Start to listen."""
        self.changed = threading.Condition()
        self.revision = 10
        self.kept = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.server = _StoreServer((HOST, 0), _StoreHandler)
        self.server.store = self
        self.address = f'{HOST}:{self.server.server_port}'
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, document, lease=0):
        """Write an item."""
        content = document
        if not isinstance(document, bytes):
            content = json.dumps(document).encode()
        text = base64.b64encode(content).decode()
        with self.changed:
            self._put(key, text, lease)
            self.changed.notify_all()

    def remove(self, key):
        """Remove an item."""
        with self.changed:
            self._remove(key)
            self.changed.notify_all()

    def read(self, target):
        """Return the status and the body of an answer."""
        parts = urlsplit(target)
        query = {key: text[0] for key, text in parse_qs(parts.query).items()}
        prefix = query.get('path_prefix', '')
        if parts.path == '/-/kv-watch':
            return self._watch(prefix, query)
        with self.changed:
            if parts.path == '/-/kv-key':
                item = self.kept.get(query['key'])
                if item is None:
                    return 404, {}
                return 200, {**item, 'current_rev': self.revision}
            after = query.get('after', '')
            items = [
                self.kept[key]
                for key in sorted(self.kept)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                'items': items,
                'has_more': False,
                'current_rev': self.revision,
            }

    def write(self, target, text):
        """Return the status and the body of an answer."""
        body = json.loads(text or b'{}')
        with self.changed:
            if target == '/-/kv-lease':
                self.next_lease += 1
                seconds = body['ttl_ms'] / 1000
                self.leases[self.next_lease] = [
                    time.monotonic() + seconds,
                    seconds,
                ]
                return 200, {
                    'lease': self.next_lease,
                    'ttl_ms': body['ttl_ms'],
                }
            if target.startswith('/-/kv-keep/'):
                lease = self.leases.get(int(target.rpartition('/')[2]))
                if lease is None:
                    return 404, {}
                lease[0] = time.monotonic() + lease[1]
                return 200, {'ttl_ms': int(lease[1] * 1000)}
            return self._transact(body)

    def end_lease(self, target):
        """Return the status and the body of an answer."""
        with self.changed:
            number = int(target.rpartition('/')[2])
            if number not in self.leases:
                return 404, {}
            self._end_lease(number)
            self.changed.notify_all()
            return 200, {}

    def _transact(self, body):
        rows = body.get('precondition', [])
        for row in rows:
            item = self.kept.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {
                    'items': [
                        self.kept[each['key']]
                        for each in rows
                        if each['key'] in self.kept
                    ]
                }
        puts = body.get('puts', [])
        for row in puts:
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        for row in puts:
            self._put(row['key'], row['value'], row.get('lease', 0))
        for key in body.get('remove', []):
            self._remove(key)
        self.changed.notify_all()
        return 200, {'revision': self.revision}

    def _put(self, key, text, lease):
        self.revision += 1
        known = self.kept.get(key)
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.kept[key] = item
        self.events.append(item)

    def _remove(self, key):
        if self.kept.pop(key, None) is not None:
            self.revision += 1
            self.events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _end_lease(self, number):
        self.leases.pop(number)
        for key, item in tuple(self.kept.items()):
            if item['lease'] == number:
                self._remove(key)

    def _expire(self):
        while self.server:
            time.sleep(0.1)
            with self.changed:
                self._end_expired(time.monotonic())

    def _end_expired(self, now):
        for number, lease in tuple(self.leases.items()):
            if lease[0] < now:
                self._end_lease(number)
                self.changed.notify_all()

    def _watch(self, prefix, query):
        after = int(query['after'])
        ends = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        with self.changed:
            while True:
                events = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                left = ends - time.monotonic()
                if events or left <= 0:
                    return 200, {
                        'events': events,
                        'current_rev': self.revision,
                    }
                self.changed.wait(left)


class Received:
    """A request as it arrived at a backend server."""

    def __init__(self, method, target, headers, body):
        """Store the parts."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.identifier = headers.get(ATTEMPT.lower(), '')


class Server:
    """A backend server, which keeps its connections open.

    `respond` may be replaced: it gets the socket and the request, and
    returns whether the connection stays open.
    """

    def __init__(self, name, service, record, zone='z-a'):
        """Start to listen."""
        self.name = name
        self.service = service
        self.record = record
        self.zone = zone
        self.runs = []
        self.sequence = 0
        self.respond = self.answer
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.bind((HOST, 0))
        self.listening.listen(256)
        self.port = self.listening.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def describe(self, **fields):
        """Return the entry of this server in the store."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': self.sequence,
            **fields,
        }

    def answer(self, sock, request, body=b'done\n'):
        """Run a request and answer it."""
        self.note(request)
        sock.sendall(self.build_head(request, len(body)) + body)
        return True

    def read(self, reader):
        """Return the next request, or None at the end of the connection."""
        return read_request(reader)

    def note(self, request):
        """Note that a request runs."""
        self.runs.append(request)
        self.record.write(
            f'RUN at {self.name}: {request.method} {request.target} '
            f'id={request.identifier or "-"} body={len(request.body)} bytes'
        )

    def build_head(self, request, length, status='200 OK'):
        """Return the head of an answer."""
        return (
            f'HTTP/1.1 {status}\r\n{ATTEMPT}: {request.identifier}\r\n'
            f'{SEAL}: {self.name}.{request.identifier}\r\n'
            f'Keep-Alive: timeout=15\r\nContent-Length: {length}\r\n\r\n'
        ).encode()

    def _accept(self):
        while self.listening:
            sock, _ = self.listening.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        reader = sock.makefile('rb')
        is_open = True
        try:
            while is_open:
                is_open = self._serve_one(sock, reader)
        except (OSError, ValueError):
            return
        finally:
            reader.close()
            sock.close()

    def _serve_one(self, sock, reader):
        request = self.read(reader)
        if request is None:
            return False
        expected = request.headers.get(EXPECTED.lower(), self.name)
        if request.target == '/health':
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nSesameroute-Instance-Id: '
                + self.name.encode()
                + b'\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        if expected != self.name or not request.identifier:
            status = (
                '400 Bad Request'
                if expected == self.name
                else '421 Misdirected Request'
            )
            sock.sendall(
                f'HTTP/1.1 {status}\r\n{NOT_RUN}: 1\r\n{ATTEMPT}: '
                f'{request.identifier}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return True
        return self.respond(sock, request)


def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    line = reader.readline().strip()
    while line:
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
        line = reader.readline().strip()
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while size := read_size(reader):
            body += reader.read(size)
            reader.readline()
        reader.readline()
    else:
        size = int(headers.get('content-length', 0))
        body = reader.read(size)
        if len(body) < size:
            return None
    return Received(method, target, headers, body)


def read_size(reader):
    """Return the size of the next chunk; raise ValueError if it is cut."""
    line = reader.readline()
    if not line.endswith(b'\r\n'):
        raise ValueError('chunk size is cut')
    return int(line, 16)


def build_configuration(version, routes):
    """Return a configuration; each route is a dict of the fields that differ.

    The routes have the host `a.example`.
    """
    paths = [
        {
            'kind': 'safe',
            'timeout_ms': 1200,
            'target_latency_ms': 400,
            'priority': 1,
            'max_attempts': 2,
            'session_affinity': False,
            'allowed_regions': [],
            **route,
        }
        for route in routes
    ]
    services = sorted({path['service'] for path in paths})
    return {
        'version': f'{version:08x}',
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 390,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 3.0,
                'cold_per_s': 7.2,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'virtual_hosts': [{'host': 'a.example', 'paths': paths}],
    }


class Node:
    """A process of the project's program `node`."""

    started = []

    def __init__(self, store, folder, name='node-1', address=HOST, ports=()):
        """Start the process with settings like those of a deployment.

        Nodes that shall find each other have the same `ports`.
        """
        self.ports = ports
        self.store = store
        self.folder = Path(folder)
        self.name = name
        self.address = address
        self.settings = self.folder / f'{name}.ini'
        self.process = None
        self.started.append(self)
        self.start()

    def start(self):
        """Start the process on free ports."""
        ports = self.ports or find_ports(6, self.address)
        front, ready, directory, metrics, first, last = ports
        address = self.address
        self.front = (address, front)
        self.ready = (address, ready)
        self.settings.write_text(
            f'[node]\nname = {self.name}\naddress = {address}\n'
            f'zone = z-a\nregion = r-a\n\n[listen]\n'
            f'front = {address}:{front}\nready = {address}:{ready}\n'
            f'directory = {address}:{directory}\n'
            f'metrics = {address}:{metrics}\n\n[peers]\n'
            f'ports = {first},{last}\nkey = sesameroute-{self.store.address}\n'
            f'seeds = {address}:{front}\n\n'
            f'[store]\naddress = {self.store.address}\n\n[zones]\n\n'
            'z-a = r-a\n\nz-b = r-b\n\n[bounds]\ngrace = 6\n'
            'retry_ratio = 0.2\nretry_slack = 64\nlongest_ttl = 5\n\n'
            '[limits]\ndescriptors = 4100\nmemory = 300\nlink = 1000.0\n',
            encoding='utf-8',
        )
        environment = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': f'{ROOT / "target" / "deps"}:{ROOT}',
            'SESAMEROUTE_BOOT': str(self.settings),
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'sesameroute.programs.node'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, seconds=15):
        """Wait until the node says that it is ready."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            try:
                status = ask(
                    self.ready, b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n'
                )[0]
            except OSError:
                status = 0
            if status == 200:
                return
            if self.process.poll() is not None:
                self.start()  # another process has taken a port meanwhile
            time.sleep(0.1)
        raise RuntimeError('node is not ready')

    def read_memory_kb(self):
        """Return the memory that the process uses; 0 once it has ended."""
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        _, _, rest = text.partition('VmRSS:')
        return int(rest.split()[0]) if rest else 0

    def stop(self):
        """End the process."""
        self.process.kill()
        self.process.wait()


def read_answer(reader):
    """Return status, headers and body of the next answer; status 0: none."""
    line = reader.readline()
    if not line:
        return 0, {}, b''
    if not line.startswith(b'HTTP/1.1 '):
        return -1, {}, line
    status = int(line.split()[1])
    headers = {}
    line = reader.readline().strip()
    while line:
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
        line = reader.readline().strip()
    if status == 100:
        return read_answer(reader)
    body = b''
    if headers.get('transfer-encoding') == 'chunked':
        while size := read_size(reader):
            body += reader.read(size)
            reader.readline()
        reader.readline()
    else:
        body = reader.read(int(headers.get('content-length', 0)))
    return status, headers, body


def ask(target, content, seconds=5):
    """Send bytes on a new connection; return the first answer."""
    with socket.create_connection(target, seconds) as sock:
        sock.sendall(content)
        with sock.makefile('rb') as reader:
            return read_answer(reader)


def build_store(servers, routes):
    """Return a store that lists the servers and routes."""
    store = Store()
    store.put('op/config', build_configuration(3, routes))
    for server in servers:
        store.put(f'servers/{server.name}', server.describe())
    return store


def start_node(files, servers, routes):
    """Start a store that lists the servers and routes, and a node; wait."""
    node = Node(build_store(servers, routes), files)
    node.wait_ready()
    return node


class Client:
    """A client that keeps its connection open."""

    def __init__(self, target):
        """Store the address; connect later."""
        self.target = target
        self.sock = None
        self.reader = None

    def send(self, content, seconds=5):
        """Send bytes; connect first if there is no connection."""
        if self.sock is None:
            self.sock = socket.create_connection(self.target, seconds)
            self.reader = self.sock.makefile('rb')
        self.sock.settimeout(seconds)
        self.sock.sendall(content)

    def ask(self, content, seconds=5):
        """Return status, headers and body of the answer; status 0: none."""
        try:
            self.send(content, seconds)
            answer = read_answer(self.reader)
        except (OSError, ValueError):
            answer = 0, {}, b''
        if not answer[0] or answer[1].get('connection') == 'close':
            self.close()
        return answer

    def close(self):
        """Close the connection."""
        if self.sock is not None:
            self.reader.close()
            self.sock.close()
            self.sock = None


def run_side_by_side(functions):
    """Run each function in a thread and wait for all."""
    threads = [threading.Thread(target=each) for each in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run_case(play):
    """Play a case and exit: 1 if a rule was broken, 0 if not, else 2.

    `play` gets a folder for files, the record and whether there is trouble,
    and returns what broke the rule, or an empty text.
    """
    folder = Path(sys.argv[1])
    record = Record(folder / 'record.txt')
    watchdog = threading.Timer(_MAX_SECONDS, _leave, (record, 2, 'too long'))
    watchdog.daemon = True
    watchdog.start()
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write('with the disruption' if has_trouble else 'without it')
    with tempfile.TemporaryDirectory() as files:
        try:
            fault = play(files, record, has_trouble)
        except Exception as error:
            _leave(record, 2, f'did not run: {error!r}')
        _leave(record, 1 if fault else 0, fault or 'the rule held')


def _leave(record, code, text):
    """End all processes and this one."""
    for node in Node.started:
        node.stop()
    record.write(f'RESULT: {text}')
    print(text, flush=True)
    os._exit(code)
