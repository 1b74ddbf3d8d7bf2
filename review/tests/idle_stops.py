"""Nodes are stopped while a few clients use connections that they keep."""

import random
import signal
import time
from functools import partial

import standins

_NODES = 20
_ROUNDS = 4
_WORK_SECONDS = 0.48  # mean work of the site's safe route
_CALM_SECONDS = 1.5
_PAUSES = (2, 4)  # seconds between two requests of a client
_HEAD = (
    'GET /look/up HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 2500\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
)
_ROUTE = {'name': 'r-look', 'path_prefix': '/look/', 'service': 'desk'}


class WorkingServer(standins.Server):
    """Works on each request for a while."""

    def answer(self, sock, request, body=b'done\n'):
        """Run a request and answer it."""
        self.note(request)
        time.sleep(_WORK_SECONDS)
        sock.sendall(self.build_head(request, len(body)) + body)
        return True


class Round:
    """One node, one client of it, and a stop."""

    def __init__(self, store, files, record, number):
        """Start the node."""
        self.record = record
        self.number = number
        self.lost = []
        name = f'node-{number}'
        self.node = standins.Node(store, files, name, f'127.0.1.{number + 1}')
        self.stopped_at = 0

    def play(self, has_trouble, key):
        """Send requests on one connection; stop the node meanwhile."""
        self.node.wait_ready(30)
        ends = time.monotonic() + _CALM_SECONDS
        client = standins.Client(self.node.front)
        client.send(b'')
        time.sleep(random.uniform(0, _PAUSES[0]))
        count = 0
        is_open = True
        while is_open:
            count += 1
            identifier = f'{key:03x}{self.number:03x}{count:02x}'
            status, headers, _ = client.ask(_HEAD.format(identifier).encode())
            self._note(identifier, status)
            # A client does not use a connection that is to be closed.
            is_open = bool(status) and 'close' not in headers.get(
                'connection', ''
            )
            if has_trouble and time.monotonic() > ends:
                self._stop()
            if not has_trouble and count == 3:
                is_open = False
            time.sleep(random.uniform(*_PAUSES) if is_open else 0)
        client.close()

    def _stop(self):
        if not self.stopped_at:
            time.sleep(random.uniform(0, _PAUSES[0]))
            self.node.process.send_signal(signal.SIGTERM)
            self.stopped_at = time.monotonic()
            self.record.write(f'node-{self.number}: SIGTERM')

    def _note(self, identifier, status):
        since = time.monotonic() - self.stopped_at if self.stopped_at else 0
        self.record.write(
            f'node-{self.number} id={identifier}: {status or "no answer"}'
            f'{f", {since:.2f} s after SIGTERM" if since else ""}'
        )
        if not status:
            self.lost.append(identifier)


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    random.seed(1)
    servers = [WorkingServer(f'i-{name}', 'desk', record) for name in 'abcd']
    lost = []
    for key in range(_ROUNDS):
        store = standins.build_store(servers, [_ROUTE])
        rounds = [
            Round(store, files, record, number) for number in range(_NODES)
        ]
        standins.run_side_by_side(
            partial(each.play, has_trouble, key) for each in rounds
        )
        lost += [identifier for each in rounds for identifier in each.lost]
        for each in rounds:
            each.node.stop()
    ran = {request.identifier for each in servers for request in each.runs}
    cut = [identifier for identifier in lost if identifier in ran]
    record.write(
        f'{_ROUNDS * _NODES} stops; {len(lost)} requests without an answer, '
        f'{len(cut)} of them had been passed on to a server: {cut}'
    )
    if not ran:
        raise RuntimeError('no request has run')
    if cut:
        return f'LOST: {len(cut)} requests were passed on and not answered'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
