"""A configuration drops a route whose clients send large bodies."""

import threading
import time
from contextlib import suppress
from functools import partial

import standins

_NODES = 2
_ROUNDS = 3
_UPLOADS = 6  # at the same time at each node
_BODY_BYTES = 67_108_864  # max_body_bytes of the configuration
_BLOCK = bytes(65_536)
_LIMIT_KB = 300 * 1024  # memory_mb of the settings
# Seconds between blocks: 16 MB/s for each upload, 0.8 Gbit/s for a node.
_PACE = len(_BLOCK) / 16e6
_HEAD = (
    'POST /send/it HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 10000\r\nSesameroute-Attempt-Id: {0}\r\n'
    'Content-Length: {1}\r\n\r\n'
)
_LOOK = (
    'GET /look/up HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 10000\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
)
_ROUTES = (
    {'name': 'r-look', 'path_prefix': '/look/', 'service': 'desk'},
    {
        'name': 'r-send',
        'path_prefix': '/send/',
        'service': 'desk',
        'kind': 'unsafe',
        'timeout_ms': 10000,
    },
)


class Machine:
    """A front machine, which ends a process that exceeds its memory."""

    def __init__(self, store, files, record, name):
        """Start the node."""
        self.store = store
        self.files = files
        self.record = record
        self.name = name
        self.ends = 0
        self.most = 0
        self.start()

    def start(self):
        """Start the node, and wait until it is ready."""
        self.node = standins.Node(self.store, self.files, self.name)
        self.node.wait_ready()

    def watch(self, is_over):
        """End the process once if it exceeds its memory."""
        while not is_over.is_set():
            used = self.node.read_memory_kb()
            self.most = max(self.most, used)
            if used > _LIMIT_KB:
                self.node.stop()
                self.ends += 1
                self.record.write(
                    f'{self.name}: {used // 1024} MB exceed the limit of '
                    f'{_LIMIT_KB // 1024} MB, the process is ended'
                )
                return
            time.sleep(0.002)

    def upload(self, identifier, look_up):
        """Send one large body, or a small request instead."""
        client = standins.Client(self.node.front)
        status = 0
        with suppress(OSError):
            if look_up:
                status = client.ask(_LOOK.format(identifier).encode())[0]
            else:
                status = self._send(client, identifier)
        client.close()
        self.record.write(f'{self.name} id={identifier}: {status}')

    def play(self):
        """Get uploads at the same time, some times; start again if ended."""
        for number in range(_ROUNDS):
            is_over = threading.Event()
            watcher = threading.Thread(target=self.watch, args=(is_over,))
            watcher.start()
            standins.run_side_by_side(
                partial(
                    self.upload,
                    f'{self.name[-1]}{number}{each}',
                    each == 0,
                )
                for each in range(_UPLOADS + 1)
            )
            is_over.set()
            watcher.join()
            if self.node.process.poll() is not None:
                self.start()

    def _send(self, client, identifier):
        client.send(_HEAD.format(identifier, _BODY_BYTES).encode())
        started = time.monotonic()
        for number in range(_BODY_BYTES // len(_BLOCK)):
            client.send(_BLOCK)
            wait = started + number * _PACE - time.monotonic()
            time.sleep(max(wait, 0))
        return client.ask(b'')[0]


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    servers = [
        standins.Server(f'i-{name}', 'desk', record) for name in ('a', 'b')
    ]
    store = standins.build_store(servers, _ROUTES)
    machines = [
        Machine(store, files, record, f'node-{number}')
        for number in range(_NODES)
    ]
    if has_trouble:
        store.put('op/config', standins.build_configuration(9, _ROUTES[:1]))
        record.write('VERSION 00000009 drops the route of the uploads')
    time.sleep(3)  # config_apply_ms is 2500
    standins.run_side_by_side(machine.play for machine in machines)
    for machine in machines:
        record.write(
            f'{machine.name}: {machine.ends} ends in {_ROUNDS} rounds, '
            f'most memory {machine.most // 1024} MB'
        )
    if all(machine.ends >= _ROUNDS for machine in machines):
        return f'Fault: on {_NODES} machines, {_ROUNDS} ends by memory each'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
