"""A server whose handler follows a script, and callers that send rows."""

import contextlib
import functools
import socket
import threading
import time
from http.client import HTTPException, HTTPResponse

from sesameroute.adapters import FrontServer
from sesameroute.adapters.tests.network import NETWORK
from sesameroute.exceptions import SesameError
from sesameroute.ports import Answer

ADDRESS = (f'{NETWORK}.9', 18_497)
TIMEOUT_SECONDS = 5
SHORT_BYTES = 40
LONG_BYTES = 200_000
PART_BYTES = 65_536
SAFE = 'safe'


def build_request(path, method='GET', fields='', body=''):
    """Return the bytes of a request."""
    head = f'{method} {path} HTTP/1.1\r\nHost: h\r\n{fields}\r\n'
    return f'{head}{body}'.encode()


def build_row(count, *words):
    """Return a row of reads, whose paths tell the handler what to do."""
    path = ''.join(f'/{word}' for word in (SAFE, *words))
    return [build_request(f'{path}/{number}') for number in range(count)]


@functools.cache
def build_body(path, size):
    """Return a body of which each part tells its request and its place."""
    places = range(size // len(path) + 1)
    return b''.join(f'{path}{place:08d}'.encode() for place in places)[:size]


class ScriptedHandler:
    """Answers by the words of the path: safe, slow, cut, none, long, chunked.

    Attributes
    ----------
    begun, ended : list of str
        Paths of the requests, in the order of events.
    came_at : list of float
        When each had come.

    """

    def __init__(self):
        """Hold back the slow answers until `may_go` is set."""
        self.begun, self.ended, self.came_at = [], [], []
        self.may_go = threading.Event()
        self.long_bytes = LONG_BYTES

    def __call__(self, request):
        """Return the answer to a cheroot request."""
        path = request.path.decode()
        words = path.split('/')
        self.begun.append(path)
        self.came_at.append(request.conn.came_at)
        if 'slow' in words:
            self.may_go.wait(TIMEOUT_SECONDS)
        if 'last' in words:
            request.close_connection = True
        if 'none' in words:
            return None
        size = self.long_bytes if 'long' in words else SHORT_BYTES
        length = None if 'chunked' in words else size
        headers = (('X-Path', path),)
        return Answer(200, headers, self.stream(path, words, size), length)

    def stream(self, path, words, size):
        """Yield a body that names its request, in two parts or more."""
        whole = build_body(path, size)
        yield whole[: SHORT_BYTES // 2]
        if 'pause' in words:
            self.may_go.wait(TIMEOUT_SECONDS)
        if 'cut' in words:
            raise SesameError('body ended early')
        for start in range(SHORT_BYTES // 2, size, PART_BYTES):
            yield whole[start : start + PART_BYTES]
        self.ended.append(path)


@contextlib.contextmanager
def serving(handler, is_leaving=bool):
    """Run a server whose paths with the word "safe" may run ahead."""
    server = FrontServer(ADDRESS, handler, is_leaving)
    server.allow_read_ahead(lambda _host, target: SAFE in target)
    server.start()
    try:
        yield server
    finally:
        handler.may_go.set()
        server.stop()


@contextlib.contextmanager
def calling():
    """Open a connection."""
    caller = socket.create_connection(ADDRESS, TIMEOUT_SECONDS)
    with caller:
        yield caller


class Answers:
    """Reads the answers of a connection one after the other."""

    def __init__(self, caller, methods=()):
        """Store the connection and the methods, by default all GET."""
        self.reader = _Source(caller)
        self.methods = list(methods)

    def read(self, count):
        """Return the paths of the answers, up to the first that is cut."""
        paths = []
        with contextlib.suppress(OSError, HTTPException):
            while len(paths) < count:
                paths.append(self.read_one())
        return paths

    def read_one(self):
        """Return the path that the next answer names in head and body."""
        method = self.methods.pop(0) if self.methods else 'GET'
        answer = HTTPResponse(self.reader, method=method)
        answer.begin()
        path = answer.getheader('X-Path', str(answer.status))
        content = answer.read()
        assert path.isdigit() or content == build_body(path, len(content))
        return path


class _Source:
    """Gives all answers of a connection the same buffered reader."""

    def __init__(self, caller):
        self.reader = caller.makefile('rb')
        self.reader.close = bool

    def makefile(self, _mode):
        return self.reader


def wait_for(predicate):
    """Return whether a condition becomes true in time."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not predicate() and time.monotonic() < deadline:
        time.sleep(0.005)
    return predicate()
