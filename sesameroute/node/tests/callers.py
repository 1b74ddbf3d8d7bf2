"""Callers that send requests to nodes, for tests."""

import contextlib
import threading
import time
from collections import Counter, namedtuple
from concurrent.futures import ThreadPoolExecutor

from sesameroute.node.tests.builds import try_resolve
from sesameroute.node.tests.cluster import send

DIRECTORY_SECONDS = 1.0  # how long callers keep an answer of the directory

_CALLERS = 8
_EAGER_CALLERS = 4  # for each node

CallerAnswer = namedtuple('CallerAnswer', ('time', 'status', 'seconds'))


class Callers:
    """Callers that send requests without a pause to some nodes.

    Attributes
    ----------
    answers : list of CallerAnswer
        Monotonic time, status and duration of each answer.

    """

    def __init__(self, numbers):
        """Start to send."""
        self.numbers = list(numbers)
        self.answers = []
        self._is_stopped = threading.Event()
        self._threads = ThreadPoolExecutor(_CALLERS)
        for caller in range(_CALLERS):
            self._threads.submit(self._run, caller)

    def stop(self):
        """Stop sending."""
        self._is_stopped.set()
        self._threads.shutdown()

    def _run(self, caller):
        count = caller
        while not self._is_stopped.is_set():
            count += _CALLERS
            numbers = self.numbers  # may be replaced meanwhile
            number = numbers[count % len(numbers)]
            started_at = time.monotonic()
            try:
                status = send(number, key=str(count % 24))[0]
            except OSError:
                status = 0  # the node is being restarted
            now = time.monotonic()
            self.answers.append(CallerAnswer(now, status, now - started_at))
            self._is_stopped.wait(0.01)


class EagerCallers:
    """Send requests to nodes without a pause, from before they listen.

    Attributes
    ----------
    statuses : Counter of int
        Number of answers by status.

    """

    def __init__(self, numbers, path):
        """Start to send."""
        self.path = path
        self.statuses = Counter()
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, caller))
            for number in numbers
            for caller in range(_EAGER_CALLERS)
        ]
        for each in self._threads:
            each.start()

    def stop(self):
        """Stop sending."""
        self._is_stopped.set()
        for each in self._threads:
            each.join()

    def _run(self, number, caller):
        count = caller
        while not self._is_stopped.wait(0.01):
            count += _EAGER_CALLERS
            try:
                status = send(number, self.path, key=str(count % 24))[0]
            except OSError:
                continue  # the node does not listen yet
            self.statuses[status] += 1


@contextlib.contextmanager
def following_directory(callers, region='north'):
    """Let callers use what the directory lists, as old as it may be."""
    is_done = threading.Event()

    def follow():
        while not is_done.wait(DIRECTORY_SECONDS):
            answers = (try_resolve(one, region) for one in callers.numbers)
            callers.numbers = [
                int(front.partition(':')[0].rpartition('.')[2])
                for front in next(filter(None, answers))
            ]

    following = threading.Thread(target=follow)
    following.start()
    try:
        yield
    finally:
        is_done.set()
        following.join()
