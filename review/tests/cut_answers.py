"""A backend server breaks off some of its answers, which come in chunks."""

import random
import time
from functools import partial

import standins

_SECONDS = 5
_CLIENTS = 24
_CUT_SHARE = 0.03
_ROWS = tuple(b'row %3d\n' % number for number in range(6))
_WHOLE = b''.join(_ROWS)
# Leading zeros are allowed: chunk-size = 1*HEXDIG (RFC 9112, 7.1).
_CHUNKS = b''.join(b'%08x\r\n%s\r\n' % (len(row), row) for row in _ROWS)
_END = b'0\r\n\r\n'
_HEAD = (
    'GET /aa/rows HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 1200\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
)


class RowServer(standins.Server):
    """Sends its answers in chunks, one for each row."""

    def __init__(self, name, record, cut_share):
        """Start to listen."""
        super().__init__(name, 'rows', record)
        self.cut_share = cut_share
        self.cut_count = 0

    def answer(self, sock, request, body=_WHOLE):
        """Run a request and answer it, or break the answer off."""
        self.runs.append(request)
        head = self.build_head(request, 0).replace(
            b'Content-Length: 0', b'Transfer-Encoding: chunked'
        )
        if random.random() >= self.cut_share:
            sock.sendall(b''.join((head, _CHUNKS, _END)))
            return True
        # The end of the last row has not been sent at any of these places.
        sent = _CHUNKS[: random.randrange(len(_CHUNKS) - 12)]
        self.cut_count += 1
        self.record.write(
            f'ANSWER CUT at {self.name}: id={request.identifier} body is '
            f'{len(sent)} of {len(_CHUNKS) + len(_END)} bytes'
        )
        sock.sendall(head)
        sock.sendall(sent)
        return False


class Judge:
    """Checks the answers that clients get."""

    def __init__(self, record):
        """Start without answers."""
        self.record = record
        self.right = 0
        self.wrong = 0

    def check(self, identifier, answer):
        """Check an answer."""
        status, headers, body = answer
        if status == 200 and body == _WHOLE:
            self.right += 1
        elif status == 200:
            self.wrong += 1
            length = headers.get('content-length')
            self.record.write(
                f'WRONG ANSWER id={identifier}: 200, Content-Length {length}, '
                f'{len(body)} of {len(_WHOLE)} bytes'
            )
        else:
            self.record.write(f'no success id={identifier}: {status}')


def send_requests(node, judge, number):
    """Send requests on a kept connection for a while."""
    client = standins.Client(node.front)
    ends = time.monotonic() + _SECONDS
    count = 0
    while time.monotonic() < ends:
        count += 1
        identifier = f'{number:04x}{count:08x}'
        judge.check(identifier, client.ask(_HEAD.format(identifier).encode()))


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    random.seed(1)
    shares = (_CUT_SHARE, _CUT_SHARE, 0, 0) if has_trouble else (0, 0, 0, 0)
    servers = [
        RowServer(f'i-{number}', record, share)
        for number, share in enumerate(shares)
    ]
    route = {'name': 'r-rows', 'path_prefix': '/aa/', 'service': 'rows'}
    node = standins.start_node(files, servers, [route])
    judge = Judge(record)
    standins.run_side_by_side(
        partial(send_requests, node, judge, number)
        for number in range(_CLIENTS)
    )
    record.write(
        f'{sum(len(server.runs) for server in servers)} answers of servers, '
        f'{sum(server.cut_count for server in servers)} broken off; '
        f'clients got {judge.right} right, {judge.wrong} wrong answers'
    )
    if not judge.right:
        raise RuntimeError('no request was answered')
    if judge.wrong:
        return f'MIXED: {judge.wrong} answers that ended early look complete'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
