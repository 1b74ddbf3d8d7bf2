"""Tests of long bodies, which are passed on while they come."""

import socket
import threading

import pytest

from sesameroute.forward.tests.harness import ForwarderHarness
from sesameroute.forward.tests.servers import SEAL_HEADER, ScriptedServer
from sesameroute.routes import RequestKind

PART = b'0123456789abcdef' * 1024
PARTS = 6
WHOLE_BYTES = PARTS * len(PART)
ANSWER = f'HTTP/1.1 {{0}} X\r\n{SEAL_HEADER}Content-Length: 2\r\n\r\nok'
NOT_RUN = 'Sesameroute-Not-Run: 1\r\n'
SECONDS = 5


class UploadServer:
    """Reads some bytes of each body before it answers, then the rest.

    Attributes
    ----------
    bodies : list of bytes
        What came behind each head.

    """

    def __init__(self, *scripts):
        """Store bytes to read, the answer, and whether to close then."""
        self.scripts = list(scripts)
        self.bodies = []
        self.has_begun = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.target = self.listener.getsockname()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def join(self):
        """Return what came in each body once all scripts have ended."""
        self.thread.join(SECONDS)
        return self.bodies

    def run(self):
        """Serve one connection after the other."""
        for size, answer, closes in self.scripts:
            connection = self.listener.accept()[0]
            with connection:
                connection.settimeout(SECONDS)
                self.serve(connection, size, answer, closes)

    def serve(self, connection, size, answer, closes):
        """Serve one request."""
        head = b''
        while b'\r\n\r\n' not in head:
            head += connection.recv(1)
        self.bodies.append(b'')
        self.read(connection, size)
        connection.sendall(answer.encode())
        if not closes:
            self.read(connection, WHOLE_BYTES)

    def read(self, connection, size):
        """Read until so many bytes of the body have come."""
        while len(self.bodies[-1]) < size:
            part = connection.recv(size - len(self.bodies[-1]))
            if not part:
                return
            self.bodies[-1] += part
            self.has_begun.set()


def build_reader(server):
    """Return a caller that sends on once the server has got something."""
    unread = [PART] * PARTS

    def read(_size):
        if len(unread) == PARTS - 2:
            assert server.has_begun.wait(SECONDS)
        return unread.pop(0) if unread else b''

    return read


@pytest.mark.parametrize('kind', list(RequestKind))
def test_long_body_is_passed_on_while_it_comes(kind):
    """Its beginning reached no server before 128 KiB of it had come."""
    server = UploadServer((WHOLE_BYTES, ANSWER.format(200), False))
    harness = ForwarderHarness(server, kind=kind)
    status, _, content = harness.forward(
        body=PART, read=build_reader(server), length=WHOLE_BYTES
    )
    assert (status, content) == (200, b'ok')
    assert server.join() == [PART * PARTS]
    assert harness.allocator.asks[0].body_bytes == WHOLE_BYTES


@pytest.mark.parametrize('size', [1, len(PART), WHOLE_BYTES - 1])
@pytest.mark.parametrize('status', [200, 413])
def test_server_that_answers_early_gets_the_rest_of_the_body(size, status):
    """It gets nothing else, and its answer reaches the caller."""
    server = UploadServer((size, ANSWER.format(status), False))
    harness = ForwarderHarness(server, kind=RequestKind.UPLOAD)
    answered = harness.forward(
        body=PART, read=build_reader(server), length=WHOLE_BYTES
    )
    assert answered[0] == status
    assert server.join() == [PART * PARTS]


@pytest.mark.parametrize('kind', [RequestKind.UNSAFE, RequestKind.UPLOAD])
def test_body_that_was_refused_unrun_is_sent_again(kind):
    """What has been sent of it is kept as far as it is short."""
    refusal = ANSWER.format(503).replace(SEAL_HEADER, NOT_RUN)
    first = UploadServer((WHOLE_BYTES, refusal, True))
    second = UploadServer((WHOLE_BYTES, ANSWER.format(200), False))
    harness = ForwarderHarness(first, second, kind=kind)
    status, _, content = harness.forward(
        body=PART, read=build_reader(first), length=WHOLE_BYTES
    )
    assert (status, content) == (200, b'ok')
    assert first.join() + second.join() == [PART * PARTS] * 2


@pytest.mark.parametrize('kind', [RequestKind.UNSAFE, RequestKind.UPLOAD])
def test_refusal_does_not_wait_for_the_body(kind):
    """Without a slot only the first part is read."""
    harness = ForwarderHarness(kind=kind)
    unread = [PART] * PARTS
    answered = harness.forward(
        body=PART, read=lambda _size: unread.pop(), length=WHOLE_BYTES
    )
    assert answered[0] == 503
    assert len(unread) == PARTS - 1


_CHUNKS = f'HTTP/1.1 200 X\r\n{SEAL_HEADER}Transfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize('length', [3, WHOLE_BYTES, None])
@pytest.mark.parametrize(
    ('answer', 'answered'),
    [
        (ANSWER.format(200), 2),
        (f'{_CHUNKS}5\r\nwhole\r\n0\r\n\r\n', 5),
        (f'{_CHUNKS}30000\r\n{"x" * 0x30000}\r\n0\r\n\r\n', 0x30000),
    ],
)
def test_release_tells_the_bytes_of_both_bodies(length, answer, answered):
    """Also of those whose length nobody has said before."""
    body = b'abc' if length == 3 else PART * PARTS
    server = ScriptedServer((answer, 'keep'))
    harness = ForwarderHarness(server, kind=RequestKind.UNSAFE, attempts=1)
    assert harness.forward(body=body, length=length)[0] == 200
    byte_counts = [each.byte_count for each in harness.allocator.observed]
    assert byte_counts == [len(body) + answered]
