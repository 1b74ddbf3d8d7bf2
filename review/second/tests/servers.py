"""Backend servers of the users' platform, as the pages describe them."""

import contextlib
import socket
import threading
import time
from collections import namedtuple

Arrival = namedtuple('Arrival', ('time', 'node', 'name', 'fields'))
MAX_HEAD = 65536
PORT = 18080
RESET = b'\x01\0\0\0\0\0\0\0'  # SO_LINGER: on, for no time


class Request:
    """One request as a server has read it."""

    def __init__(self, head, body):
        """Parse the head."""
        first, *lines = head.decode('latin-1').split('\r\n')
        self.method, self.target = first.split(' ', 2)[:2]
        pairs = (line.partition(':') for line in lines if line)
        self.fields = {name.lower(): text.strip() for name, _, text in pairs}
        self.body = body

    @property
    def attempt(self):
        """Return the identifier of the client's attempt."""
        return self.fields.get('sesameroute-attempt-id', '')


class Server:
    """A server that runs requests one by one on each connection.

    `behave` is called with the server, its connection and the request; it
    returns the bytes of the answer, or None to close the connection.
    `may_connect` is called with the address of a node.
    """

    def __init__(self, record, name, address, service, zone, behave):
        """Store the parameters; it listens from `start` on."""
        self.record = record
        self.name = name
        self.address = (address, PORT)
        self.service = service
        self.zone = zone
        self.behave = behave
        self.slots = 4
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.may_connect = _permit
        self.lock = threading.Lock()
        self._listener = None
        self._open = {}

    def start(self):
        """Listen."""
        self._listener = socket.create_server(self.address, backlog=256)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def stop(self):
        """Stop listening and break off all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.cut_connections(lambda _node: True)

    def cut_connections(self, is_cut):
        """Break off the connections of some nodes."""
        for connection, node in tuple(self._open.items()):
            if is_cut(node):
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)

    def _accept(self, listener):
        while True:
            try:
                connection, address = listener.accept()
            except OSError:
                return
            if not self.may_connect(address[0]):
                connection.close()
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open[connection] = address[0]
            threading.Thread(
                target=self._serve, args=(connection, address[0]), daemon=True
            ).start()

    def _serve(self, connection, node):
        with contextlib.suppress(OSError, ValueError):
            reader = connection.makefile('rb')
            while self._answer(connection, reader, node):
                pass
        self._open.pop(connection, None)
        connection.close()

    def _answer(self, connection, reader, node):
        request = _read_request(reader)
        if request is None:
            return False
        arrival = Arrival(time.monotonic(), node, self.name, request.fields)
        with self.lock:
            self.arrivals.append(arrival)
        self.record.write(
            'arrival',
            self.name,
            'from',
            node,
            request.method,
            request.target,
            request.attempt,
            'deadline',
            request.fields.get('sesameroute-deadline-ms', '-'),
        )
        expected = request.fields.get('sesameroute-expect-instance')
        if expected not in {None, self.name}:
            connection.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        answer = self.behave(self, connection, request)
        if answer is None:
            return False
        connection.sendall(answer)
        return True


def build_answer(request, status=200, body=b'whole', fields=''):
    """Return an answer with length, seal and identifier."""
    head = (
        f'HTTP/1.1 {status} X\r\n{fields}'
        f'Sesameroute-Attempt-Id: {request.attempt}\r\n'
        f'Sesameroute-Server-Seal: seal.{request.attempt}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode('latin-1') + body


def build_rejection(request, fields=''):
    """Return an answer that says that the request was not run."""
    head = (
        f'HTTP/1.1 503 X\r\n{fields}'
        f'Sesameroute-Attempt-Id: {request.attempt}\r\n'
        'Sesameroute-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
    )
    return head.encode('latin-1')


def _read_request(reader):
    head = b''
    while not head.endswith(b'\r\n\r\n'):
        line = reader.readline(MAX_HEAD)
        if not line:
            return None
        head += line
    request = Request(head[:-4], b'')
    length = request.fields.get('content-length')
    if length is not None:
        request.body = reader.read(int(length))
        if len(request.body) < int(length):
            return None
    elif 'transfer-encoding' in request.fields:
        request.body = _read_chunks(reader)
    return request


def _read_chunks(reader):
    parts = []
    while True:
        size = int(reader.readline().split(b';')[0], 16)
        if not size:
            reader.readline()
            return b''.join(parts)
        parts.append(reader.read(size))
        reader.readline()


def _permit(_node):
    return True
