"""Callers that repeat requests, and servers that end under some, for tests."""

import itertools
import socket
import threading
import time
from collections import namedtuple
from contextlib import closing

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.cluster import FRONT_PORT, NETWORK_PREFIX, send

_WORK_SECONDS = 0.08
_DOWN_SECONDS = 1.0

Reply = namedtuple('Reply', ('time', 'path', 'status', 'body'))


class RestartingServers:
    """Backend servers that end under some paths and come back as others.

    Attributes
    ----------
    harmful : set of str
        Paths that end each server that runs them.
    running : list of BackendStandIn
        The servers.

    """

    def __init__(self, cluster, count):
        """Start and register the servers."""
        self.cluster = cluster
        self.harmful = set()
        self.running = [
            BackendStandIn(_WORK_SECONDS, _DOWN_SECONDS) for _ in range(count)
        ]
        for number, each in enumerate(self.running):
            each.is_harmful = self.harmful.__contains__
            self._register_again(f'server-{number}', each)

    def stop(self):
        """Stop the servers."""
        for each in self.running:
            each.stop()

    def list_crashes(self, path):
        """Return the times at which servers ended under a path, in order."""
        return sorted(
            crash.time
            for each in self.running
            for crash in each.crashes
            if crash.target == path
        )

    def count_arrivals(self, path, since):
        """Return how often a path has reached servers since a time."""
        return sum(each.count_arrivals(path, since) for each in self.running)

    def _register_again(self, name, server):
        incarnations = itertools.count(7)

        def register():
            self.cluster.register(name, server, incarnation=next(incarnations))

        server.observe_restart = register
        register()


class Repeaters:
    """Callers that send the same paths to some nodes at a fixed interval.

    Attributes
    ----------
    replies : list of Reply
        What callers got that did not leave.

    """

    def __init__(self, numbers, paths, interval, *, copies=1, leave=None):
        """Start to send; callers leave after `leave` seconds, if given."""
        self.interval = interval
        self.leave = leave
        self.replies = []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, path))
            for number, path in itertools.product(numbers, paths)
            for _ in range(copies)
        ]
        for each in self._threads:
            each.start()

    def stop(self):
        """Stop sending and wait for the last replies."""
        self._is_stopped.set()
        for each in self._threads:
            each.join()

    def count_replies(self, body):
        """Return how many replies had a body."""
        return sum(each.body.strip() == body for each in self.replies)

    def _run(self, number, path):
        is_stopped = False
        while not is_stopped:
            started_at = time.monotonic()
            if self.leave is None:
                reply = Reply(started_at, path, *send(number, path, path))
                self.replies.append(reply)
            else:
                _send_and_leave(number, path, self.leave)
            left = started_at + self.interval - time.monotonic()
            is_stopped = self._is_stopped.wait(max(left, 0))


def _send_and_leave(number, path, seconds):
    """Send a request and close the connection before the answer."""
    address = f'{NETWORK_PREFIX}.{number}', FRONT_PORT
    head = (
        f'GET {path} HTTP/1.1\r\nHost: h\r\nSesameroute-Attempt-Id: mine\r\n'
        f'Sesameroute-Affinity-Key: {path}\r\n'
        'Sesameroute-Deadline-Ms: 2000\r\n\r\n'
    )
    with closing(socket.create_connection(address)) as connection:
        connection.sendall(head.encode())
        time.sleep(seconds)
