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


class BackendStandIn:
    """Answers requests; crashes while it runs one for `CRASH_PATH`.

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
    crashes : list of float
        Monotonic time of each crash.
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
        self.crashes = []
        self.headers = ''
        self.body = 'whole'
        self._lock = threading.Lock()
        self._open = set()
        self._is_stopped = False
        self._listen(('127.0.0.1', 0))

    def stop(self):
        """Stop listening and close all connections."""
        self._is_stopped = True
        self._close()

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
            self.arrivals.append(Arrival(time.monotonic(), node, target))
        time.sleep(self.work_seconds)
        if target == CRASH_PATH:
            self._crash()
            return False
        answer = build_answer(200, self.body, self.headers)
        identifier = find_header(head, 'sesameroute-attempt-id')
        connection.sendall(answer.replace('{0}', identifier).encode())
        return True

    def _crash(self):
        with self._lock:
            if self._is_stopped or self._server.fileno() < 0:
                return
            self.crashes.append(time.monotonic())
            self._close()
        threading.Timer(self.down_seconds, self._restart).start()

    def _restart(self):
        if not self._is_stopped:
            self._listen(self.target)

    def _close(self):
        for each in (self._server, *self._open):
            with contextlib.suppress(OSError):  # it may be closed already
                each.shutdown(socket.SHUT_RDWR)
        self._server.close()
