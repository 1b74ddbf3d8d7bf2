"""Some clients leave while they send the body of an unsafe request."""

import random
import time
from functools import partial

import standins

_SECONDS = 5
_CLIENTS = 20
_LEAVING_SHARE = 0.2
_ROWS = tuple(b'row %3d\n' % number for number in range(6))
_WHOLE = b''.join(_ROWS)
# Leading zeros are allowed: chunk-size = 1*HEXDIG (RFC 9112, 7.1).
_CHUNKS = b''.join(b'%08x\r\n%s\r\n' % (len(row), row) for row in _ROWS)
_END = b'0\r\n\r\n'
_HEAD = (
    'POST /uu/rows HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 1200\r\nTransfer-Encoding: chunked\r\n'
    'Sesameroute-Attempt-Id: {0}\r\n\r\n'
)


def upload(node, record, leaving_share, number):
    """Send requests for a while, each on a new connection; leave some."""
    ends = time.monotonic() + _SECONDS
    count = 0
    while time.monotonic() < ends:
        count += 1
        identifier = f'{number:04x}{count:08x}'
        head = _HEAD.format(identifier).encode()
        client = standins.Client(node.front)
        if random.random() < leaving_share:
            sent = _CHUNKS[: random.randrange(len(_CHUNKS) - 12)]
            client.send(head + sent)
            record.write(
                f'CLIENT LEFT id={identifier}: sent {len(sent)} of '
                f'{len(_CHUNKS) + len(_END)} bytes of the body'
            )
            time.sleep(0.05)
        else:
            answer = client.ask(b''.join((head, _CHUNKS, _END)))
            record.write(f'answered id={identifier}: {answer[0]}')
        client.close()


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    random.seed(1)
    servers = [
        standins.Server(f'i-{name}', 'rows', record) for name in ('a', 'b')
    ]
    route = {
        'name': 'r-rows',
        'path_prefix': '/uu/',
        'service': 'rows',
        'kind': 'unsafe',
    }
    node = standins.start_node(files, servers, [route])
    share = _LEAVING_SHARE if has_trouble else 0
    standins.run_side_by_side(
        partial(upload, node, record, share, number)
        for number in range(_CLIENTS)
    )
    time.sleep(1)
    runs = [request for server in servers for request in server.runs]
    changed = [request for request in runs if request.body != _WHOLE]
    for request in changed:
        record.write(
            f'RUN WITH A CHANGED BODY id={request.identifier}: '
            f'{len(request.body)} of {len(_WHOLE)} bytes'
        )
    record.write(f'{len(runs)} runs, {len(changed)} with a changed body')
    if not runs:
        raise RuntimeError('no request has run')
    if changed:
        return f'UNASKED: {len(changed)} requests ran with a changed body'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
