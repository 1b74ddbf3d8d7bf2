"""Requests stand in the bodies or trailers of others; no numbered case."""

from functools import partial

import standins

_ROUTE = {
    'name': 'r-send',
    'path_prefix': '/send/',
    'service': 'desk',
    'kind': 'unsafe',
}
_HEAD = (
    b'POST /send/outer HTTP/1.1\r\nHost: a.example\r\n'
    b'Sesameroute-Attempt-Id: %s\r\n'
)
_INNER = (
    b'POST /send/inner HTTP/1.1\r\nHost: a.example\r\n'
    b'Sesameroute-Attempt-Id: inner-%s\r\nContent-Length: 0\r\n\r\n'
)
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'


_PLAIN = {b'plain': (_CHUNKED, b'0\r\n\r\n')}
_TROUBLE = {
    b'trailer': (_CHUNKED, b'0\r\n', _INNER % b'trailer'),
    b'negative': (_CHUNKED, b'-1\r\n', _INNER % b'negative'),
    b'lengths': (
        b'Content-Length: 94\r\nContent-Length: 0\r\n\r\n',
        _INNER % b'lengths',
    ),
}


def send(node, record, name, content):
    """Send a request; read what comes."""
    client = standins.Client(node.front)
    status = client.ask(content)[0]
    record.write(f'{name.decode()}: {status}')
    if status == 200:
        record.write(f'{name.decode()}, next answer: {client.ask(b"", 1)[0]}')
    client.close()


def play(files, record, has_trouble):
    """Play it; return what broke the rule."""
    server = standins.Server('i-a', 'desk', record)
    node = standins.start_node(files, [server], [_ROUTE])
    requests = _TROUBLE if has_trouble else _PLAIN
    standins.run_side_by_side(
        partial(send, node, record, name, b''.join((_HEAD % name, *parts)))
        for name, parts in requests.items()
    )
    inner = [
        request.identifier
        for request in server.runs
        if request.target == '/send/inner'
    ]
    record.write(f'inner requests that ran: {inner}')
    if inner:
        return f'UNASKED: {len(inner)} requests inside others ran'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
