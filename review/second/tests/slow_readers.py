"""Clients read large answers slowly, but without a pause."""

import os
import threading
import time
from collections import namedtuple

from review.second.tests.clients import AnswerReader, build_request, connect
from review.second.tests.fleet import build_route, build_service, run_case
from review.second.tests.servers import Server, build_answer

Fate = namedtuple('Fate', ('attempt', 'status', 'ended_at'))
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
CLIENTS, ROW, SERVERS = 24, 16, 12
ANSWER_BYTES = 540_000  # the largest answer in the small site files
LIMIT_MS = 10_000
# About one megabyte a second, so that a row takes less than the time limit.
PART_BYTES, PAUSE_SECONDS = 100_000, 0.1
MAX_LOST = 3
BODY = b'z' * ANSWER_BYTES


def run_client(fleet, number, fates, sent):
    """Send a row of reads on one connection and read all answers."""
    connection = connect(fleet.get_ip(0), 2 * LIMIT_MS / 1000)
    attempts = [f'c{number}-{each}' for each in range(ROW)]
    reader = AnswerReader(
        connection,
        PART_BYTES if IS_TROUBLED else 4 * PART_BYTES,
        PAUSE_SECONDS if IS_TROUBLED else 0,
    )
    sent[number] = time.monotonic()
    connection.sendall(
        b''.join(
            build_request(each, f'/drawings/{each}', LIMIT_MS)
            for each in attempts
        )
    )
    for attempt in attempts:
        status, fields, body, is_whole = reader.read_answer()
        fleet.record.write(
            'client', attempt, 'status', status, 'bytes', len(body), is_whole
        )
        fates.append(Fate(attempt, status, reader.ended_at))
        if fields.get('connection') == 'close':
            break
    connection.close()


def judge(fleet, servers, fates, sent):
    """Return whether the rule was broken."""
    passed_on = {
        each.fields['sesameroute-attempt-id']
        for server in servers
        for each in server.arrivals
    }
    lost = []
    for fate in fates:
        number = int(fate.attempt[1:].partition('-')[0])
        if fate.status or fate.attempt not in passed_on:
            continue
        if fate.ended_at - sent[number] < LIMIT_MS / 1000:
            lost.append(fate.attempt)
    statuses = sorted({each.status for each in fates})
    fleet.record.write('statuses', statuses, 'of', len(fates), 'requests')
    fleet.record.write(
        'LOST', len(lost), 'passed on and closed without an answer,'
    )
    fleet.record.write('allowed', MAX_LOST, *lost)
    print(f'lost {len(lost)}, allowed {MAX_LOST}')
    return len(lost) > MAX_LOST


def behave(_server, _connection, request):
    """Return a large answer at once."""
    return build_answer(request, body=BODY)


def play(fleet):
    """Return the exit code."""
    servers = [
        Server(
            fleet.record,
            f'i-{number}',
            fleet.get_server_ip(number),
            'vault',
            'toowoomba-a',
            behave,
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        server.slots = 16
        server.start()
        fleet.register(server)
    fleet.configure(
        [build_service('vault')],
        [
            build_route(
                'drawings',
                '/drawings/',
                'vault',
                timeout_ms=LIMIT_MS,
                target_latency_ms=5000,
            )
        ],
    )
    if not fleet.start_all():
        return 2
    time.sleep(2)
    fates, sent = [], {}
    threads = [
        threading.Thread(target=run_client, args=(fleet, each, fates, sent))
        for each in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for ending in threads:
        ending.join()
    return int(judge(fleet, servers, fates, sent))


if __name__ == '__main__':
    run_case(play, ['toowoomba-a', 'dalby-b'])
