"""Callers that press a node with new connections, in a process of their own.

``python -m sesameroute.node.tests.press HOST PORT PER_SECOND SECONDS`` runs
them by hand and prints how their attempts ended.
"""

import contextlib
import errno
import heapq
import itertools
import multiprocessing
import selectors
import socket
import sys
import threading
import time
from collections import Counter, namedtuple
from http.client import HTTPConnection, HTTPException

_PATIENCE_SECONDS = 1.0  # callers leave when they have waited this long
_PROBES = 7
_PROBE_PAUSE_SECONDS = 0.2
_PROBE_SECONDS = 2.0  # longest wait of a probe for its answer
_TURN_SECONDS = 0.002
_END_SECONDS = 30  # for the process of the press to start and end
_READ_BYTES = 65_536
_HEAD = (
    'GET /a/{0} HTTP/1.1\r\nHost: h\r\nSesameroute-Attempt-Id: {0}\r\n'
    'Sesameroute-Affinity-Key: {1}\r\nSesameroute-Deadline-Ms: 1000\r\n\r\n'
)
_KEYS = 24

Probe = namedtuple('Probe', ('time', 'status'))


class _Press:
    """Opens connections at a rate; each asks once."""

    def __init__(self, address, per_second):
        self.address = address
        self.per_second = per_second
        self.outcomes = Counter()
        self.selector = selectors.DefaultSelector()
        self._numbers = itertools.count()
        self._leaving = []  # heap of (time, number, socket)

    def run(self, seconds):
        """Press for some seconds; return how the attempts ended."""
        started = now = time.monotonic()
        opened = 0
        while now < started + seconds:
            now = time.monotonic()
            due = int((now - started) * self.per_second)
            for _ in range(opened, due):
                self._open(now)
            opened = due
            for key, _ in self.selector.select(_TURN_SECONDS):
                self._read(key.fileobj)
            self._leave(now)
        return self.outcomes

    def _open(self, now):
        number = next(self._numbers)
        caller = socket.socket()
        caller.setblocking(False)
        found = caller.connect_ex(self.address)
        if found not in {0, errno.EINPROGRESS}:
            self._end(caller, errno.errorcode[found])
            return
        self.selector.register(caller, selectors.EVENT_WRITE)
        heapq.heappush(self._leaving, (now + _PATIENCE_SECONDS, number, caller))

    def _read(self, caller):
        try:
            if self.selector.get_key(caller).events == selectors.EVENT_WRITE:
                number = next(self._numbers)
                head = _HEAD.format(number, number % _KEYS)
                caller.send(head.encode())
                self.selector.modify(caller, selectors.EVENT_READ)
                return
            answer = caller.recv(_READ_BYTES)
        except OSError as error:
            self._end(caller, errno.errorcode[error.errno])
            return
        self._end(caller, answer[9:12].decode() or 'closed')

    def _leave(self, now):
        while self._leaving and self._leaving[0][0] <= now:
            caller = heapq.heappop(self._leaving)[2]
            if caller.fileno() >= 0:
                self._end(caller, 'left')

    def _end(self, caller, outcome):
        self.outcomes[outcome] += 1
        with contextlib.suppress(KeyError):  # it was never registered
            self.selector.unregister(caller)
        caller.close()


def press(address, per_second, seconds, results=None):
    """Press a node; return, or put into a queue, how the attempts ended."""
    outcomes = _Press(address, per_second).run(seconds)
    if results is not None:
        results.put(outcomes)
    return outcomes


@contextlib.contextmanager
def pressing(address, per_second, seconds):
    """Press a node meanwhile; yield a function that waits for the outcomes."""
    context = multiprocessing.get_context('spawn')
    results = context.Queue()
    process = context.Process(
        target=press, args=(address, per_second, seconds, results)
    )
    process.start()
    try:
        yield lambda: results.get(timeout=seconds + _END_SECONDS)
    finally:
        process.kill()
        process.join()


class Probes:
    """Callers that open a connection each for one answer, now and then.

    Attributes
    ----------
    seen : list of Probe
        Monotonic time at which each probe ended, and the status of its
        answer; 0 without one.

    """

    def __init__(self, address):
        """Start to ask."""
        self.address = address
        self.seen = []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(_PROBES)
        ]
        for each in self._threads:
            each.start()

    def stop(self):
        """Stop asking; return the longest span in seconds without an answer."""
        self._is_stopped.set()
        for each in self._threads:
            each.join()
        return find_longest_span(self.seen)

    def _run(self):
        while not self._is_stopped.wait(_PROBE_PAUSE_SECONDS):
            status = ask(self.address)
            self.seen.append(Probe(time.monotonic(), status))


def ask(address):
    """Return the status of an answer on a new connection; 0 without one."""
    connection = HTTPConnection(*address, timeout=_PROBE_SECONDS)
    headers = {'Host': 'h', 'Sesameroute-Deadline-Ms': '1000'}
    with contextlib.closing(connection):
        try:
            connection.request('GET', '/a/probe', headers=headers)
            return connection.getresponse().status
        except (OSError, HTTPException):
            return 0


def find_longest_span(seen):
    """Return the longest time between two answers, in seconds."""
    seen = sorted(seen)
    answered = [probe.time for probe in seen if probe.status]
    if not answered:
        return float('inf')
    times = [seen[0].time, *answered, seen[-1].time]
    return max(later - earlier for earlier, later in itertools.pairwise(times))


if __name__ == '__main__':
    print(
        press(
            (sys.argv[1], int(sys.argv[2])),
            float(sys.argv[3]),
            float(sys.argv[4]),
        )
    )
