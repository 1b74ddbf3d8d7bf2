"""The server towards callers counts what it has not answered whole."""

import contextlib
import threading
import time
from http.client import HTTPConnection

import pytest

from sesameroute.adapters import FrontServer
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer

ADDRESS = ('127.0.0.1', 18_499)
CHUNK = b'part'
LONGEST = 5  # seconds


class Streams:
    """A handler whose answers stop halfway until they are told to go on."""

    def __init__(self, failure=None):
        """Store how an answer ends."""
        self.failure = failure
        self.may_end = threading.Event()

    def __call__(self, request):
        """Return an answer of two chunks."""
        return Answer(200, (), self.stream(), 2 * len(CHUNK))

    def stream(self):
        """Yield a chunk, wait, then yield another or fail."""
        yield CHUNK
        self.may_end.wait(LONGEST)
        if self.failure:
            raise self.failure
        yield CHUNK


def wait_for(predicate):
    """Return whether something becomes true in time."""
    ends = time.monotonic() + LONGEST
    while not predicate() and time.monotonic() < ends:
        time.sleep(0.01)
    return predicate()


@contextlib.contextmanager
def serve(handler):
    """Run a server."""
    server = FrontServer(ADDRESS, handler)
    server.start()
    try:
        yield server
    finally:
        handler.may_end.set()
        server.stop()


@pytest.mark.parametrize('failure', [None, SesameError('the source was cut')])
def test_an_answer_runs_until_its_last_byte(failure):
    """A stop that waits for what runs waits for streams, too."""
    handler = Streams(failure)
    with serve(handler) as server:
        caller = HTTPConnection(*ADDRESS, timeout=LONGEST)
        caller.request('GET', '/')
        answer = caller.getresponse()
        assert answer.read(len(CHUNK)) == CHUNK
        assert server.running_.count == 1
        handler.may_end.set()
        assert wait_for(lambda: not server.running_.count)
        caller.close()


def test_a_caller_that_leaves_is_not_counted():
    """What nobody reads any more does not hold up a stop."""
    handler = Streams()
    with serve(handler) as server:
        caller = HTTPConnection(*ADDRESS, timeout=LONGEST)
        caller.request('GET', '/')
        caller.getresponse().read(1)
        caller.close()
        handler.may_end.set()
        assert wait_for(lambda: not server.running_.count)
