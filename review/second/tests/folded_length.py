"""A client sends one request whose length is on a folded header line."""

import os
import time

from review.second.tests.clients import AnswerReader, build_request, connect
from review.second.tests.fleet import build_route, build_service, run_case
from review.second.tests.servers import Server, build_answer

IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
LIMIT_MS = 2000


def behave(_server, _connection, request):
    """Answer at once."""
    return build_answer(request)


def play(fleet):
    """Return the exit code."""
    server = Server(
        fleet.record,
        'i-0',
        fleet.get_server_ip(0),
        'desk',
        'toowoomba-a',
        behave,
    )
    server.start()
    fleet.register(server)
    fleet.configure(
        [build_service('desk')],
        [build_route('returns', '/returns/', 'desk', kind='unsafe')],
    )
    if not fleet.start_all():
        return 2
    time.sleep(2)
    inner = build_request(
        'inside', '/returns/inside', LIMIT_MS, 'POST', 'Content-Length: 0\r\n'
    )
    fold = '\r\n 0' if IS_TROUBLED else ''
    request = build_request(
        'sent',
        '/returns/sent',
        LIMIT_MS,
        'POST',
        f'Content-Length: {len(inner)}{fold}\r\n',
        inner,
    )
    fleet.record.write('client sends', repr(request))
    connection = connect(fleet.get_ip(0), 2)
    connection.sendall(request)
    reader = AnswerReader(connection)
    status = 1
    while status:
        status = reader.read_answer()[0]
        fleet.record.write('client gets', status)
    connection.close()
    attempts = [
        each.fields['sesameroute-attempt-id'] for each in server.arrivals
    ]
    fleet.record.write('run', attempts)
    print('run:', attempts)
    return int('inside' in attempts)


if __name__ == '__main__':
    run_case(play, ['toowoomba-a'])
