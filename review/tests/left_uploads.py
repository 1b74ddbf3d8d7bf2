"""Clients leave while they send long bodies; no numbered case."""

import random
import time
from contextlib import suppress
from functools import partial

import standins

_SECONDS = 5
_CLIENTS = 10
_LEAVING_SHARE = 0.2
_BODY = bytes(400_000)
_HEAD = (
    'PUT /send/it HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 3000\r\nSesameroute-Attempt-Id: {0}\r\n'
    'Content-Length: {1}\r\n\r\n'
)
_ROUTE = {
    'name': 'r-send',
    'path_prefix': '/send/',
    'service': 'desk',
    'timeout_ms': 3000,
}


class CountingServer(standins.Server):
    """Counts the requests whose bodies it reads."""

    reading = {}

    def read(self, reader):
        """Read a request; note how long its body takes."""
        reader.peek(1)  # returns when the request begins
        key = id(reader)
        self.reading[key] = time.monotonic()
        request = None
        with suppress(OSError, ValueError):
            request = super().read(reader)
        self.reading.pop(key)
        return request


def upload(node, record, left, share, number):
    """Send requests for a while; leave some within their bodies."""
    ends = time.monotonic() + _SECONDS
    count = 0
    while time.monotonic() < ends:
        count += 1
        identifier = f'{number:04x}{count:08x}'
        head = _HEAD.format(identifier, len(_BODY)).encode()
        client = standins.Client(node.front)
        if random.random() < share:
            client.send(head + _BODY[: len(_BODY) // 2])
            time.sleep(0.1)
            left.append(identifier)
            record.write(f'CLIENT LEFT id={identifier} within the body')
        else:
            status = client.ask(head + _BODY)[0]
            record.write(f'answered id={identifier}: {status}')
        client.close()
        time.sleep(0.1)


def play(files, record, has_trouble):
    """Play it; return what broke the rule."""
    random.seed(1)
    servers = [CountingServer(f'i-{name}', 'desk', record) for name in 'abcd']
    node = standins.start_node(files, servers, [_ROUTE])
    left = []
    share = _LEAVING_SHARE if has_trouble else 0
    standins.run_side_by_side(
        partial(upload, node, record, left, share, number)
        for number in range(_CLIENTS)
    )
    ended_at = time.monotonic()
    time.sleep(3)
    held = [
        since for since in CountingServer.reading.values() if since < ended_at
    ]
    record.write(
        f'{len(left)} clients left within a body; 3 s after the last one, '
        f'servers still wait for the rest of {len(held)} bodies'
    )
    if len(held) > max(len(left) / 4, 3):
        return f'GONE: {len(held)} requests of clients that had left go on'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
