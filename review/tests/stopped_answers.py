"""Nodes are stopped while servers send answers that have no length."""

import random
import signal
import time
from functools import partial

import standins

_ROUNDS = 3
_NODES = 4
_SERVERS = 12
_CLIENTS = 40  # of each node
_CALM_SECONDS = 6
_STOP_SECONDS = 7  # the grace period, and a second
_PAUSES = (1, 6)  # seconds between two requests of a client
# Mean work of the site's unsafe route, and of its servers that differ in speed
# the most; the site's longest is 3.84 s.
_WORK_SECONDS = (1.28, 1.28, 1.28, 3.2)
_SPREAD = 0.15
_ROWS = tuple(b'row %3d\n' % number for number in range(8))
_WHOLE = b''.join(_ROWS)
_HEAD = (
    'POST /order/new HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n'
    'Sesameroute-Deadline-Ms: 6000\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
    'order\n'
)
_ROUTE = {
    'name': 'r-order',
    'path_prefix': '/order/',
    'service': 'desk',
    'kind': 'unsafe',
    'timeout_ms': 4000,
    'target_latency_ms': 800,
}


class RowServer(standins.Server):
    """Sends answers that end with their connection, row by row."""

    def __init__(self, name, record, seconds):
        """Start to listen."""
        super().__init__(name, 'desk', record)
        self.seconds = seconds

    def answer(self, sock, request, body=_WHOLE):
        """Run a request and answer it."""
        self.runs.append(request)
        head = self.build_head(request, 0).replace(
            b'Keep-Alive: timeout=15\r\nContent-Length: 0',
            b'Connection: close',
        )
        work = self.seconds * random.uniform(1 - _SPREAD, 1 + _SPREAD)
        try:
            sock.sendall(head)
            for row in _ROWS:
                time.sleep(work / len(_ROWS))
                sock.sendall(row)
        except OSError:
            self.record.write(
                f'CONNECTION BROKEN, seen at {self.name}: '
                f'id={request.identifier}'
            )
        return False


class Judge:
    """Checks the answers that clients get."""

    def __init__(self, record):
        """Start without answers."""
        self.record = record
        self.right = 0
        self.wrong = 0

    def check(self, identifier, answer, since):
        """Check an answer that was asked for some seconds after SIGTERM."""
        status, headers, body = answer
        if status == 200 and body == _WHOLE:
            self.right += 1
            return
        when = f'sent {since:.2f} s after SIGTERM'
        if status == 200:
            self.wrong += 1
            length = headers.get('content-length')
            self.record.write(
                f'WRONG ANSWER id={identifier}: 200, Content-Length {length}, '
                f'{len(body)} of {len(_WHOLE)} bytes, {when}'
            )
        else:
            self.record.write(f'no success id={identifier}: {status}, {when}')


class Stop:
    """One node, its clients, and a stop."""

    def __init__(self, store, files, judge, number):
        """Start the node."""
        self.judge = judge
        self.number = number
        name = f'node-{number}'
        self.node = standins.Node(store, files, name, f'127.0.1.{number + 1}')
        self.stopped_at = 0
        self.ends = 0

    def play(self, has_trouble, key):
        """Let clients send requests; stop the node meanwhile."""
        self.node.wait_ready(30)
        self.ends = time.monotonic() + _CALM_SECONDS + _STOP_SECONDS
        clients = [
            partial(
                self._send_requests, f'{key:02x}{self.number:02x}{client:02x}'
            )
            for client in range(_CLIENTS)
        ]
        standins.run_side_by_side(
            [*clients, *([self._stop] if has_trouble else [])]
        )

    def _stop(self):
        time.sleep(_CALM_SECONDS)
        self.node.process.send_signal(signal.SIGTERM)
        self.stopped_at = time.monotonic()
        self.judge.record.write(f'node-{self.number}: SIGTERM')

    def _send_requests(self, client_id):
        """Send requests on a kept connection until the node is gone."""
        client = standins.Client(self.node.front)
        count = 0
        pause = random.uniform(0, _PAUSES[1])
        while time.monotonic() + pause < self.ends:
            time.sleep(pause)
            count += 1
            identifier = f'{client_id}{count:04x}'
            now = time.monotonic()
            since = now - self.stopped_at if self.stopped_at else 0
            answer = client.ask(_HEAD.format(identifier).encode(), 6)
            self.judge.check(identifier, answer, since)
            pause = random.uniform(*_PAUSES)
        client.close()


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    random.seed(1)
    servers = [
        RowServer(
            f'i-{number}', record, _WORK_SECONDS[number % len(_WORK_SECONDS)]
        )
        for number in range(_SERVERS)
    ]
    judge = Judge(record)
    for key in range(_ROUNDS):
        store = standins.build_store(servers, [_ROUTE])
        stops = [Stop(store, files, judge, number) for number in range(_NODES)]
        standins.run_side_by_side(
            partial(each.play, has_trouble, key) for each in stops
        )
        for each in stops:
            each.node.stop()
    record.write(
        f'{_ROUNDS * _NODES} stops, {sum(len(each.runs) for each in servers)} '
        f'requests run; clients got {judge.right} right, {judge.wrong} wrong '
        'answers'
    )
    if not judge.right:
        raise RuntimeError('no request was answered')
    if judge.wrong:
        return f'MIXED: {judge.wrong} answers that ended early look complete'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
