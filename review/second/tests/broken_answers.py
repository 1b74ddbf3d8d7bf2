"""Some servers break off a few answers; rows of reads stand behind them."""

import os
import random
import threading
import time
from collections import namedtuple

from review.second.tests.clients import AnswerReader, build_request, connect
from review.second.tests.fleet import build_route, build_service, run_case
from review.second.tests.servers import Server, build_answer

Fate = namedtuple('Fate', ('attempt', 'status', 'sent_at', 'ended_at'))
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
CLIENTS, SERVERS, FOLLOWERS = 12, 8, 3
SECONDS = 60
LIMIT_MS = 2500
# Half of the servers break off one answer in fifty.
GARBLING_SERVERS, GARBLED = 4, 0.02
DRAWING_BYTES, SHEET_BYTES = 300_000, 1500
WORK_SECONDS = 0.2
MAX_LOST = 3


class Servers:
    """The servers and what each of them did."""

    def __init__(self, fleet):
        """Start and register them."""
        self.random = random.Random(1)
        self.broken = set()
        self.all = [
            Server(
                fleet.record,
                f'i-{number}',
                fleet.get_server_ip(number),
                'vault',
                ('toowoomba-a', 'dalby-b')[number % 2],
                self.behave,
            )
            for number in range(SERVERS)
        ]
        for server in self.all:
            server.slots = 8
            server.start()
            fleet.register(server)

    def behave(self, server, connection, request):
        """Answer, or break the answer off in its middle."""
        size = SHEET_BYTES
        if request.target.startswith('/drawings/'):
            size = DRAWING_BYTES
        else:
            time.sleep(WORK_SECONDS)
        answer = build_answer(request, body=b'z' * size)
        garbles = server in self.all[:GARBLING_SERVERS]
        if IS_TROUBLED and garbles and self.random.random() < GARBLED:
            self.broken.add(request.attempt)
            connection.sendall(answer[: len(answer) * 2 // 3])
            server.record.write('broken off', server.name, request.attempt)
            return None
        return answer

    def list_passed_on(self):
        """Return the attempts that reached servers, and broke at none."""
        arrived = {
            each.fields['sesameroute-attempt-id']
            for server in self.all
            for each in server.arrivals
        }
        return arrived - self.broken


def run_client(fleet, number, fates):
    """Send rows of reads, one after the other, for some time."""
    ends = time.monotonic() + SECONDS
    count = 0
    connection = None
    while time.monotonic() < ends:
        if connection is None:
            connection = connect(fleet.get_ip(number % 2), 5)
        count += 1
        if not send_row(fleet, connection, f'c{number}-{count}', fates):
            connection.close()
            connection = None
    if connection is not None:
        connection.close()


def send_row(fleet, connection, row, fates):
    """Send one row; return whether the connection stays open."""
    targets = {f'{row}-0': f'/drawings/{row}'}
    for number in range(1, FOLLOWERS + 1):
        targets[f'{row}-{number}'] = f'/sheets/{row}-{number}'
    sent_at = time.monotonic()
    connection.sendall(
        b''.join(
            build_request(attempt, target, LIMIT_MS)
            for attempt, target in targets.items()
        )
    )
    reader = AnswerReader(connection)
    is_open = True
    for attempt in targets:
        status, fields, body, is_whole = reader.read_answer()
        fates.append(Fate(attempt, status, sent_at, reader.ended_at))
        if status != 200 or not is_whole:
            fleet.record.write('client', attempt, status, len(body), is_whole)
        is_open = is_open and is_whole and fields.get('connection') != 'close'
    return is_open


def judge(fleet, servers, fates):
    """Return whether the rule was broken."""
    passed_on = servers.list_passed_on()
    lost = [
        fate.attempt
        for fate in fates
        if not fate.status
        and fate.attempt in passed_on
        and fate.ended_at - fate.sent_at < LIMIT_MS / 1000
    ]
    fleet.record.write(len(fates), 'requests,', len(servers.broken), 'broken')
    fleet.record.write('LOST', len(lost), 'allowed', MAX_LOST, *lost)
    print(f'lost {len(lost)} of {len(fates)}, allowed {MAX_LOST}')
    return len(lost) > MAX_LOST


def play(fleet):
    """Return the exit code."""
    servers = Servers(fleet)
    fleet.configure(
        [build_service('vault')],
        [
            build_route('drawings', '/drawings/', 'vault', kind='download'),
            build_route('sheets', '/sheets/', 'vault'),
        ],
    )
    if not fleet.start_all():
        return 2
    time.sleep(2)
    fates = []
    threads = [
        threading.Thread(target=run_client, args=(fleet, each, fates))
        for each in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for ending in threads:
        ending.join()
    return int(judge(fleet, servers, fates))


if __name__ == '__main__':
    run_case(play, ['toowoomba-a', 'dalby-b'])
