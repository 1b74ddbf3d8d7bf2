"""Clients leave while their unsafe requests wait; no numbered case."""

import time
from functools import partial

import standins

_CLIENTS = 160
_LEAVING = 5  # each fifth client leaves
_WORK_SECONDS = 0.6
_LATE_SECONDS = 0.5
_FEW = 3
_HEAD = (
    'POST /send/it HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n'
    'Sesameroute-Deadline-Ms: 5000\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
)
_ROUTE = {
    'name': 'r-send',
    'path_prefix': '/send/',
    'service': 'desk',
    'kind': 'unsafe',
    'timeout_ms': 5000,
    'target_latency_ms': 3000,
}


class BusyServer(standins.Server):
    """Works on each request for a while."""

    left = {}
    late = []

    def answer(self, sock, request, body=b'done\n'):
        """Run a request; note if its client left long before."""
        self.note(request)
        seconds = time.monotonic() - self.left.get(
            request.identifier, time.monotonic()
        )
        if seconds > _LATE_SECONDS:
            self.late.append(request.identifier)
            self.record.write(
                f'REACHES {self.name} {seconds:.2f} s after its client left: '
                f'id={request.identifier}'
            )
        time.sleep(_WORK_SECONDS)
        sock.sendall(self.build_head(request, len(body)) + body)
        return True


def send(node, server, has_trouble, number):
    """Send a request; leave after 0.3 s, or wait for the answer."""
    time.sleep(number / 20)
    client = standins.Client(node.front)
    identifier = f'{number:08x}'
    content = _HEAD.format(identifier).encode()
    if has_trouble and not number % _LEAVING:
        client.send(content)
        time.sleep(0.3)
        server.left[identifier] = time.monotonic()
    else:
        client.ask(content, 6)
    client.close()


def play(files, record, has_trouble):
    """Play it; return what broke the rule."""
    server = BusyServer('i-a', 'desk', record)
    store = standins.build_store([], [_ROUTE])
    store.put(f'servers/{server.name}', server.describe(slots=2))
    node = standins.Node(store, files)
    node.wait_ready()
    standins.run_side_by_side(
        partial(send, node, server, has_trouble, number)
        for number in range(_CLIENTS)
    )
    time.sleep(4)
    record.write(f'{len(server.runs)} runs, {len(server.late)} of them late')
    if len(server.late) > _FEW:
        return f'GONE: {len(server.late)} requests of clients that had left'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
