"""A backend server that can crash and come back, for tests with nodes."""

import contextlib
import socket
import threading
import time
from collections import namedtuple

from sesameroute.forward.tests.servers import (
    build_answer,
    find_header,
    read_request,
)

CRASH_PATH = '/a/crash'

Arrival = namedtuple('Arrival', ('time', 'node', 'target'))
Crash = namedtuple('Crash', ('time', 'target'))


class BackendStandIn:
    """Answers requests; crashes while it runs a harmful one.

    It then refuses connections until it starts again.

    Parameters
    ----------
    work_seconds : float
        How long a request runs.
    down_seconds : float
        How long it is down after a crash.

    Attributes
    ----------
    arrivals : list of Arrival
        Monotonic time, node and path of each request.
    heads : list of str
        Head of each request.
    answer_times : list of float
        Monotonic time of each answer.
    crashes : list of Crash
        Monotonic time of each crash and the path that it ran.
    is_harmful : callable
        Whether a path crashes it; by default only `CRASH_PATH` does.
    is_silent : bool
        Whether a crash leaves the open connections without an answer instead
        of closing them.
    observe_restart : callable
        Called after it has started again.
    status : int
        Status of the answers.
    headers : str
        Lines that are added to the head of each answer.
    body : str
        Body of the answers.

    """

    def __init__(self, work_seconds=0.005, down_seconds=2):
        """Listen on a free port."""
        self.work_seconds = work_seconds
        self.down_seconds = down_seconds
        self.arrivals = []
        self.heads = []
        self.answer_times = []
        self.crashes = []
        self.is_harmful = CRASH_PATH.__eq__
        self.is_silent = False
        self.observe_restart = _ignore_restart
        self.status = 200
        self.headers = ''
        self.body = 'whole'
        self._lock = threading.Lock()
        self._open = set()
        self._is_stopped = False
        self._is_up = threading.Event()
        self._listen(('127.0.0.1', 0))

    def stop(self):
        """Stop listening and close all connections."""
        self._is_stopped = True
        self._close()
        self._is_up.set()

    def crash(self, target=''):
        """End as if by itself, or under the request for a path."""
        with self._lock:
            if self._is_stopped or self._server.fileno() < 0:
                return
            self.crashes.append(Crash(time.monotonic(), target))
            self._is_up.clear()
            self._close(keep_connections=self.is_silent)
        threading.Timer(self.down_seconds, self._restart).start()

    def count_arrivals(self, target, since=0):
        """Return how many requests for a path have come since a time."""
        with self._lock:
            return sum(
                each.target == target and each.time >= since
                for each in self.arrivals
            )

    def _listen(self, address):
        self._server = socket.create_server(address)
        self.target = self._server.getsockname()
        self._is_up.set()
        threading.Thread(
            target=self._accept, args=(self._server,), daemon=True
        ).start()

    def _accept(self, server):
        while True:
            try:
                connection, address = server.accept()
            except OSError:
                return
            self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection, address[0]), daemon=True
            ).start()

    def _serve(self, connection, node):
        try:
            while self._answer(connection, node):
                pass
        except OSError:
            return  # closed by the node, or by a crash
        finally:
            self._open.discard(connection)
            connection.close()

    def _answer(self, connection, node):
        head, _body = read_request(connection)
        if head is None:
            return False
        target = head.split(' ', 2)[1]
        with self._lock:
            self.heads.append(head)
            self.arrivals.append(Arrival(time.monotonic(), node, target))
        time.sleep(self.work_seconds)
        if self.is_harmful(target):
            self.crash(target)
        if not self._is_up.is_set():
            self._is_up.wait()
            return False
        answer = build_answer(self.status, self.body, self.headers)
        identifier = find_header(head, 'sesameroute-attempt-id')
        self.answer_times.append(time.monotonic())
        connection.sendall(answer.replace('{0}', identifier).encode())
        return True

    def _restart(self):
        if not self._is_stopped:
            self._listen(self.target)
            self.observe_restart()

    def _close(self, *, keep_connections=False):
        closed = () if keep_connections else tuple(self._open)
        for each in (self._server, *closed):
            with contextlib.suppress(OSError):  # it may be closed already
                each.shutdown(socket.SHUT_RDWR)
        self._server.close()


def count_since(server, since):
    """Return how many requests a server has got since a time."""
    return sum(arrival.time >= since for arrival in server.arrivals)


def _ignore_restart():
    """Do nothing; the default observer."""
