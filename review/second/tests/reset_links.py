"""All connections of one node to the servers are reset for some seconds."""

import os
import socket
import threading
import time
from collections import namedtuple

from review.second.tests.clients import AnswerReader, build_request, connect
from review.second.tests.fleet import build_route, build_service, run_case
from review.second.tests.servers import RESET, Server, build_answer

FirstTry = namedtuple('FirstTry', ('attempt', 'number', 'sent_at', 'status'))
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('toowoomba-a', 'dalby-b', 'longreach-a')
SERVERS, CALLERS = 9, 24
# Bounds of kalina-mould; the length is that of its entry node_cut.
CONTACT_SECONDS, CUT_SECONDS = 3, 5.5
BEFORE_SECONDS, AFTER_SECONDS = 5, 3
LIMIT_MS = 1500
WORK_SECONDS, PERIOD_SECONDS = 0.1, 0.15
MIN_RATIO = 2 / 3
ALLOWED_FAILED, ALLOWED_PART = 10, 50


class CutServer(Server):
    """A server whose link to one node resets each connection."""

    def __init__(self, *arguments):
        """Store the arguments; all links are sound."""
        super().__init__(*arguments)
        self.cut_node = ''

    def cut(self, node):
        """Reset the connections of a node, and each new one."""
        self.cut_node = node
        self.cut_connections(lambda each: each == node)
        self.record.write('cut', self.name, 'from', node)

    def _serve(self, connection, node):
        if node != self.cut_node:
            super()._serve(connection, node)
            return
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._open.pop(connection, None)
        connection.close()


def behave(_server, _connection, request):
    """Answer after some work."""
    time.sleep(WORK_SECONDS)
    return build_answer(request)


class Callers:
    """Clients that send a new request on a new connection now and then."""

    def __init__(self, fleet):
        """Start to send."""
        self.fleet = fleet
        self.tries = []
        self.has_ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(each,))
            for each in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending."""
        self.has_ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, caller):
        count = 0
        while not self.has_ended.wait(PERIOD_SECONDS):
            count += 1
            attempt = f'c{caller}-{count}'
            number = caller % len(ZONES)
            sent_at = time.monotonic()
            status = self._send(number, attempt)
            self.fleet.record.write('client', attempt, number, status)
            self.tries.append(FirstTry(attempt, number, sent_at, status))

    def _send(self, number, attempt):
        try:
            connection = connect(self.fleet.get_ip(number), LIMIT_MS / 1000)
        except OSError:
            return 0
        with connection:
            connection.sendall(
                build_request(attempt, f'/stock/{attempt}', LIMIT_MS)
            )
            return AnswerReader(connection).read_answer()[0]


def judge(fleet, tries, since, until):
    """Return whether the rule was broken."""
    during = [each for each in tries if since <= each.sent_at <= until]
    served = {}
    for name, group in (
        ('cut', [each for each in during if each.number == 0]),
        ('others', [each for each in during if each.number > 0]),
    ):
        good = sum(each.status == 200 for each in group)
        served[name] = good / max(len(group), 1)
        fleet.record.write(name, good, 'of', len(group), 'served')
        print(name, good, 'of', len(group), 'served')
    at_cut = [each.status for each in during if each.number == 0]
    failed = sum(status != 200 for status in at_cut)
    allowed = ALLOWED_FAILED + len(at_cut) / ALLOWED_PART
    fleet.record.write('RECOVER', failed, 'failed, allowed', allowed)
    is_rare = served['cut'] < MIN_RATIO * served['others']
    return is_rare and failed > allowed


def play(fleet):
    """Return the exit code."""
    servers = [
        CutServer(
            fleet.record,
            f'i-{number}',
            fleet.get_server_ip(number),
            'catalogue',
            ZONES[number % len(ZONES)],
            behave,
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        server.slots = 6
        server.start()
        fleet.register(server)
    fleet.configure(
        [build_service('catalogue')],
        [build_route('stock', '/stock/', 'catalogue')],
    )
    if not fleet.start_all():
        return 2
    time.sleep(2)
    callers = Callers(fleet)
    time.sleep(BEFORE_SECONDS)
    began_at = time.monotonic()
    for cut in servers if IS_TROUBLED else ():
        cut.cut(fleet.get_ip(0))
    time.sleep(CUT_SECONDS)
    until = time.monotonic()
    for healed in servers:
        healed.cut_node = ''
    fleet.record.write('healed')
    time.sleep(AFTER_SECONDS)
    callers.stop()
    since = began_at + CONTACT_SECONDS
    return int(judge(fleet, callers.tries, since, until))


if __name__ == '__main__':
    run_case(play, list(ZONES))
