"""A backend server sends bytes that are no answer, without end."""

import time
from functools import partial

import standins

_CLIENTS = 12
_TIMEOUT_SECONDS = 1.2  # timeout_ms of the routes
_CLIENT_SECONDS = 8  # clients wait longer than that
_LATE_SECONDS = _TIMEOUT_SECONDS + 0.5
_PACE_SECONDS = 0.05
_HEAD = (
    '{0} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n'
    'Sesameroute-Deadline-Ms: 8000\r\nSesameroute-Attempt-Id: {1}\r\n\r\n'
)
_ROUTES = tuple(
    {
        'name': f'r-{name}',
        'path_prefix': f'/{name}/',
        'service': f's-{name}',
        'kind': kind,
    }
    for name, kind in (('head', 'safe'), ('body', 'unsafe'))
)


class EndlessServer(standins.Server):
    """Sends bytes without end, until the caller closes."""

    last_sent = {}

    def answer(self, sock, request, body=b''):
        """Run a request; send bytes that are no answer."""
        self.note(request)
        if 'head' in self.name:
            sock.sendall(b'HTTP/1.1 200 OK\r\nX-')
        else:
            # The body never gets as long as the head says.
            sock.sendall(self.build_head(request, 1_000_000))
        while self.listening:
            sock.sendall(b'xyz')
            self.last_sent[request.identifier] = time.monotonic()
            time.sleep(_PACE_SECONDS)
        return False


def send(node, record, waits, words, identifier):
    """Send a request and wait for the final answer."""
    client = standins.Client(node.front)
    started = time.monotonic()
    answer = client.ask(
        _HEAD.format(words, identifier).encode(), _CLIENT_SECONDS
    )
    seconds = time.monotonic() - started
    client.close()
    waits.append(seconds)
    record.write(
        f'{words} id={identifier}: '
        f'{answer[0] or "no answer"} after {seconds:.2f} s'
    )


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    build = EndlessServer if has_trouble else standins.Server
    servers = [
        build(f'i-{name}-{number}', f's-{name}', record)
        for name in ('head', 'body')
        for number in range(3)
    ]
    node = standins.start_node(files, servers, _ROUTES)
    waits = []
    standins.run_side_by_side(
        partial(
            send,
            node,
            record,
            waits,
            words,
            f'{words[0].lower()}{number:06x}',
        )
        for number in range(_CLIENTS)
        for words in ('GET /head/x', 'POST /body/x')
    )
    left_at = time.monotonic()
    time.sleep(2)
    working = [
        identifier
        for identifier, sent_at in EndlessServer.last_sent.items()
        if sent_at > left_at + 1.5
    ]
    record.write(
        f'2 s after all clients have left, servers still send '
        f'{len(working)} of the answers to the node'
    )
    longer = [seconds for seconds in waits if seconds > _TIMEOUT_SECONDS]
    late = [seconds for seconds in longer if seconds > _LATE_SECONDS]
    record.write(
        f'{len(waits)} requests, {len(longer)} lasted longer than the '
        f'timeout_ms of their route, {len(late)} of them had no final answer '
        'half a second after it'
    )
    if len(late) >= 8 and len(late) > len(longer) / 4:
        return f'CONFIG: {len(late)} requests have no final answer'
    return ''


if __name__ == '__main__':
    standins.run_case(play)
