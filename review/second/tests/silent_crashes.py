"""A request crashes the servers that run it; they fall silent meanwhile."""

import contextlib
import os
import socket
import threading
import time

from review.second.tests.clients import AnswerReader, build_request, connect
from review.second.tests.fleet import (
    CONTACT_SECONDS,
    build_route,
    build_service,
    run_case,
)
from review.second.tests.servers import RESET, Server, build_answer

IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
SERVERS, CALLERS, ROUNDS = 8, 6, 16
LIMIT_MS = 2500
WORK_SECONDS, CALLER_PAUSE = 0.1, 0.05
# The entry of a silent server goes after three pings; then it is back.
EXPIRY_SECONDS, DOWN_SECONDS = 4.5, 5
ROUND_SECONDS = 5
MAX_CRASHES, MAX_RETRIES = 3, 3
HARMFUL = '/tally/harmful'
FILLERS = 4


class SilentServer(Server):
    """A server whose machine does not respond after a crash."""

    def __init__(self, fleet, *arguments):
        """Store the parameters; it is up."""
        super().__init__(fleet.record, *arguments)
        self.fleet = fleet
        self.base = self.name
        self.starts = 0
        self.is_down = False
        self.fillers = []

    def crash(self):
        """Answer nothing any more, and set up no connection."""
        with self.lock:
            if self.is_down:
                return False
            self.is_down = True
        self.record.write('crash', self.name)
        self._listener.listen(0)
        self.fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in self.fillers:
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
        for seconds, step in (
            (EXPIRY_SECONDS, self._expire),
            (DOWN_SECONDS, self._come_back),
        ):
            timer = threading.Timer(seconds, step)
            timer.daemon = True
            timer.start()
        return True

    def _expire(self):
        self.fleet.store.remove(f'servers/{self.name}')
        self.record.write('entry', self.name, 'expired')

    def _come_back(self):
        for each in (*self.fillers, *self._open):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                each.close()
        self.stop()
        self.starts += 1
        self.name = f'{self.base}-{self.starts}'
        self.born = int(time.time() * 1000)
        self.start()
        self.is_down = False
        self.fleet.register(self)


class Play:
    """The servers, and the crashes of the harmful request."""

    def __init__(self, fleet):
        """Start and register the servers."""
        self.crashes = []
        self.has_ended = threading.Event()
        self.fleet = fleet
        self.servers = [
            SilentServer(
                fleet,
                f'i-{number}',
                fleet.get_server_ip(number),
                'tally',
                ('toowoomba-a', 'dalby-b')[number % 2],
                self.behave,
            )
            for number in range(SERVERS)
        ]
        for server in self.servers:
            server.start()
            fleet.register(server)

    def behave(self, server, _connection, request):
        """Answer, unless the request crashes the server or it is down."""
        if request.target == HARMFUL and IS_TROUBLED and server.crash():
            self.crashes.append(time.monotonic())
        starts = server.starts
        time.sleep(WORK_SECONDS)
        if server.is_down or server.starts != starts:
            self.has_ended.wait(2 * DOWN_SECONDS)
            return None
        return build_answer(request)

    def call(self, number, attempt, target):
        """Send one request to a node; return the status."""
        try:
            connection = connect(self.fleet.get_ip(number), LIMIT_MS / 1000)
        except OSError:
            return 0
        with connection:
            connection.sendall(build_request(attempt, target, LIMIT_MS))
            return AnswerReader(connection).read_answer()[0]

    def run_caller(self, number):
        """Send harmless requests until the end."""
        count = 0
        while not self.has_ended.wait(CALLER_PAUSE):
            count += 1
            name = f'c{number}-{count}'
            self.call(number % 2, name, f'/tally/{name}')

    def judge(self, sent):
        """Return whether the rule was broken.

        `sent` has the times of the attempts with the harmful request.
        """
        arrived = {
            each.fields['sesameroute-attempt-id']
            for server in self.servers
            for each in server.arrivals
        }
        crashes = sorted(self.crashes)
        retries = []
        if len(crashes) >= MAX_CRASHES:
            since = crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
            retries = [
                attempt
                for attempt, at in sent.items()
                if at > since and attempt in arrived
            ]
        self.fleet.record.write('crashes', len(crashes))
        self.fleet.record.write(
            'BUDGET', len(retries), 'allowed', MAX_RETRIES, *retries
        )
        print(f'crashes {len(crashes)}, late retries {len(retries)}')
        return len(retries) > MAX_RETRIES


def play(fleet):
    """Return the exit code."""
    played = Play(fleet)
    fleet.configure(
        [build_service('tally')],
        [build_route('tally', '/tally/', 'tally')],
    )
    if not fleet.start_all():
        return 2
    threads = [
        threading.Thread(target=played.run_caller, args=(each,))
        for each in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(3)
    sent = {}
    for number in range(ROUNDS):
        attempt = f'harmful-{number}'
        sent[attempt] = time.monotonic()
        status = played.call(number % 2, attempt, HARMFUL)
        fleet.record.write('client', attempt, 'status', status)
        time.sleep(max(sent[attempt] + ROUND_SECONDS - time.monotonic(), 0))
    played.has_ended.set()
    for ending in threads:
        ending.join()
    return int(played.judge(sent))


if __name__ == '__main__':
    run_case(play, ['toowoomba-a', 'dalby-b'])
