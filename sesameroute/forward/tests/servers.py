"""Backend servers that give scripted answers, valid and broken ones."""

import socket
import threading
import time

SEAL_HEADER = 'Sesameroute-Server-Seal: s\r\n'
IDENTIFIER_HEADER = 'Sesameroute-Attempt-Id: {0}\r\n'


def build_answer(status, body, headers=''):
    """Return an answer with a length, the seal and the attempt identifier."""
    return (
        f'HTTP/1.1 {status} X\r\n{headers}{SEAL_HEADER}{IDENTIFIER_HEADER}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    )


LATE_LOSS_SECONDS = 0.35  # later than a dropped idle connection shows
LONG_BODY_BYTES = 400_000  # more than is buffered before an answer is sent
COMPLETE_ANSWER = build_answer(200, 'whole')
SCRIPTS = {
    'whole': (COMPLETE_ANSWER, 'keep'),
    'long': (build_answer(200, 'x' * LONG_BODY_BYTES), 'keep'),
    'failed': (build_answer(500, 'sorry'), 'keep'),
    'shed': (
        'HTTP/1.1 503 X\r\nSesameroute-Not-Run: 1\r\nContent-Length: 0\r\n\r\n',
        'keep',
    ),
    'unmarked 503': (
        'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n',
        'keep',
    ),
    'misdirected': ('HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n', 'keep'),
    'long cut': (build_answer(200, 'x' * LONG_BODY_BYTES)[:-2], 'close'),
    'cut': (COMPLETE_ANSWER[:-2], 'close'),
    'unframed': (
        f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}\r\nwhole',
        'close',
    ),
    'unframed reset': (
        f'HTTP/1.1 200 X\r\n{SEAL_HEADER}{IDENTIFIER_HEADER}\r\nwhole',
        'reset',
    ),
    'unsealed': (
        f'HTTP/1.1 200 X\r\n{IDENTIFIER_HEADER}Content-Length: 5\r\n\r\nwhole',
        'keep',
    ),
    'broken header': (
        f'HTTP/1.1 200 X\r\n{SEAL_HEADER}no colon here\r\n\r\n',
        'close',
    ),
    'other answer': (COMPLETE_ANSWER.replace('{0}', 'stranger'), 'keep'),
    'no answer': ('', 'close'),
    'late loss': ('', 'close late'),
    'junk': ('\x00\x01 nonsense\r\n\r\n', 'close'),
    'extra': (
        COMPLETE_ANSWER + COMPLETE_ANSWER.replace('{0}', 'stranger'),
        'keep',
    ),
    'silent': ('', 'hang'),
}


class ScriptedServer:
    """Answers requests with its scripts in order, then repeats the last one.

    A script is a name in `SCRIPTS`, or such a pair of text and end.

    Attributes
    ----------
    heads : list of str
        Request lines and headers of the requests.
    bodies : list of bytes
        Bodies of the requests.
    headers : str
        Lines that are added to the head of each answer.
    connections : int
        Number of connections that were accepted.
    closed : threading.Event
        Set when the client closes a connection before its answer is sent.

    """

    def __init__(self, *scripts):
        """Listen on a free port."""
        self.scripts = list(scripts)
        self.heads = []
        self.bodies = []
        self.headers = ''
        self.connections = 0
        self.closed = threading.Event()
        self._server = socket.create_server(('127.0.0.1', 0))
        self.target = self._server.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def follow(self, *scripts):
        """Begin anew with other scripts, at the same address."""
        self.scripts = list(scripts)
        self.heads.clear()
        self.bodies.clear()
        self.connections = 0

    def stop(self):
        """Stop listening."""
        self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self):
        while True:
            try:
                connection = self._server.accept()[0]
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve,
                args=(connection,),
                daemon=True,
            ).start()

    def _serve(self, connection):
        with connection:
            while self._answer(connection):
                pass

    def _answer(self, connection):
        head = self._read_head(connection)
        if head is None:
            return False
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.pop(0)
        text, end = SCRIPTS.get(script, script)
        identifier = find_header(head, 'sesameroute-attempt-id')
        text = text.replace('{0}', identifier)
        text = text.replace('\r\n', f'\r\n{self.headers}', 1)
        connection.sendall(text.encode('latin-1'))
        if end == 'hang':
            connection.settimeout(5)
            if not connection.recv(1):
                self.closed.set()
            return False
        if end == 'close late':
            time.sleep(LATE_LOSS_SECONDS)
        if end == 'reset':
            reset_at_close(connection)
        return end == 'keep'

    def _read_head(self, connection):
        head, body = read_request(connection)
        if head is not None:
            self.heads.append(head)
            self.bodies.append(body)
        return head


class RefusingServer:
    """Refuses connections at a port that nobody else can take meanwhile."""

    def __init__(self):
        """Take a free port and don't listen on it."""
        self._socket = socket.socket()
        self._socket.bind(('127.0.0.1', 0))
        self.target = self._socket.getsockname()


class TruncatingServer(ScriptedServer):
    """Sends the first bytes of a whole answer and closes the connection.

    The last part of a request's path gives the number of bytes.
    """

    def __init__(self, answer=COMPLETE_ANSWER):
        """Listen on a free port."""
        self.answer = answer
        super().__init__()

    def _answer(self, connection):
        head = self._read_head(connection)
        if head is None:
            return False
        size = int(head.split(' ', 2)[1].rpartition('/')[2])
        identifier = find_header(head, 'sesameroute-attempt-id')
        answer = self.answer.replace('{0}', identifier).encode('latin-1')
        connection.sendall(answer[:size])
        return False


class PausingServer(ScriptedServer):
    """Sends the start of an answer, then nothing, until the client closes.

    Parameters
    ----------
    start : str
        The start of the answer.

    """

    def __init__(self, start):
        """Listen on a free port."""
        self.start = start
        super().__init__()

    def _answer(self, connection):
        head = self._read_head(connection)
        if head is None:
            return False
        identifier = find_header(head, 'sesameroute-attempt-id')
        start = self.start.replace('{0}', identifier)
        try:
            connection.sendall(start.encode('latin-1'))
            self._go_on(connection)
        except ConnectionError:
            self.closed.set()
        return False

    def _go_on(self, connection):
        connection.settimeout(5)
        if not connection.recv(1):
            self.closed.set()


class EndlessServer(PausingServer):
    """Sends the start of an answer, then a part of it again and again.

    Parameters
    ----------
    start, part : str
        The start of the answer and the part that is repeated.
    pause_seconds : float
        Time between two parts; 0 sends many at a time, at full speed.

    """

    def __init__(self, start, part, pause_seconds):
        """Listen on a free port."""
        self.part = part.encode('latin-1')
        self.pause_seconds = pause_seconds
        super().__init__(start)

    def _go_on(self, connection):
        repeats = 1 if self.pause_seconds else 65_536 // len(self.part)
        while not self.closed.is_set():
            connection.sendall(self.part * repeats)
            time.sleep(self.pause_seconds)


class ResettingServer(ScriptedServer):
    """Answers within the body of a request, then resets the connection.

    Attributes
    ----------
    has_reset : threading.Event
        Set once the connection has been reset.

    """

    def __init__(self, answer, read_bytes=0, pause_seconds=0):
        """Store the answer, the bytes to read before it, and the pause."""
        self.answer = answer
        self.read_bytes = read_bytes
        self.pause_seconds = pause_seconds
        self.has_reset = threading.Event()
        super().__init__()

    def _serve(self, connection):
        head, received = read_head(connection)
        self.heads.append(head)
        while len(received) < self.read_bytes:
            received += connection.recv(self.read_bytes - len(received))
        identifier = find_header(head, 'sesameroute-attempt-id')
        answer = self.answer.replace('{0}', identifier)
        connection.sendall(answer.encode('latin-1'))
        time.sleep(self.pause_seconds)
        reset_at_close(connection)
        connection.close()
        self.has_reset.set()


def reset_at_close(connection):
    """Let a connection end with a reset in place of an orderly close."""
    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def read_head(connection):
    """Return the head of a request and what came behind it.

    The head is None if the connection ends before it.
    """
    received = b''
    while b'\r\n\r\n' not in received:
        try:
            part = connection.recv(65536)
        except OSError:
            return None, b''
        if not part:
            return None, b''
        received += part
    head, _, body = received.partition(b'\r\n\r\n')
    return head.decode('latin-1'), body


def read_request(connection):
    """Return head and body of a request, None and b'' at the end."""
    text, body = read_head(connection)
    if text is None:
        return None, b''
    length = int(find_header(text, 'content-length') or 0)
    while len(body) < length:
        body += connection.recv(65536)
    return text, body


def find_header(head, name):
    """Return the value of a header, an empty string if there is none."""
    for line in head.split('\r\n')[1:]:
        found, _, text = line.partition(':')
        if found.lower() == name:
            return text.strip()
    return ''
