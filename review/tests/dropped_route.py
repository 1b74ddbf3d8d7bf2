"""A configuration drops a route whose clients send bodies in chunks."""

import time
from functools import partial

import standins

_CLIENTS = 10
_ROUNDS = 6
_BODY = b'one row of a table\n'
_LOOK = (
    'GET /look/up HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 1200\r\nSesameroute-Attempt-Id: {0}\r\n\r\n'
)
_UPLOAD = (
    'POST /send/it HTTP/1.1\r\nHost: a.example\r\n'
    'Sesameroute-Deadline-Ms: 1200\r\nSesameroute-Attempt-Id: {0}\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
)
_ROUTES = (
    {'name': 'r-look', 'path_prefix': '/look/', 'service': 'desk'},
    {
        'name': 'r-send',
        'path_prefix': '/send/',
        'service': 'desk',
        'kind': 'unsafe',
    },
)


def use_both(node, record, statuses, number):
    """Send an upload and a look-up in turn, on one connection."""
    client = standins.Client(node.front)
    chunks = b'%x\r\n%s\r\n0\r\n\r\n' % (len(_BODY), _BODY)
    for count in range(_ROUNDS):
        identifier = f'{number:04x}{count:08x}'
        upload = _UPLOAD.format(f'a{identifier}').encode()
        status = client.ask(upload + chunks)[0]
        record.write(f'upload id=a{identifier}: {status}')
        time.sleep(0.1)
        look = _LOOK.format(f'b{identifier}').encode()
        status, headers, body = client.ask(look)
        record.write(f'look-up id=b{identifier}: {status} {body!r}')
        statuses.append((f'b{identifier}', status))
        if status == 400:
            client.close()
    client.close()


def play(files, record, has_trouble):
    """Play the case; return what broke the rule."""
    servers = [
        standins.Server(f'i-{name}', 'desk', record) for name in ('a', 'b')
    ]
    node = standins.start_node(files, servers, _ROUTES)
    if has_trouble:
        node.store.put(
            'op/config', standins.build_configuration(9, _ROUTES[:1])
        )
        record.write('VERSION 00000009 drops the route of the uploads')
    time.sleep(3)  # config_apply_ms is 2500
    statuses = []
    standins.run_side_by_side(
        partial(use_both, node, record, statuses, number)
        for number in range(_CLIENTS)
    )
    ran = {request.identifier for each in servers for request in each.runs}
    foreign = [
        identifier
        for identifier, status in statuses
        if status == 400 and identifier not in ran
    ]
    served = [identifier for identifier, status in statuses if status == 200]
    record.write(
        f'{len(statuses)} look-ups: {len(served)} served, {len(foreign)} '
        'answered 400 though they are proper, by bytes of the earlier body'
    )
    # DENIED allows 5 + one in 500; MIXED allows none.
    if foreign:
        return f'MIXED: {len(foreign)} look-ups got the answer to other bytes'
    if not served:
        raise RuntimeError('no request was served')
    return ''


if __name__ == '__main__':
    standins.run_case(play)
