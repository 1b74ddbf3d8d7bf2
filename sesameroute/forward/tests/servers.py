"""Backend servers that answer by a script, on one address each."""

import socket
import threading

SEAL = 'Sesameroute-Server-Seal: s\r\n'
IDENTIFIER = 'Sesameroute-Attempt-Id: {0}\r\n'


def build_answer(status, body, headers=''):
    """Return an answer with a length and the marks of its server."""
    return (
        f'HTTP/1.1 {status} X\r\n{headers}{SEAL}{IDENTIFIER}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    )


LONG = 400_000  # bytes, more than is read before an answer goes out
WHOLE = build_answer(200, 'whole')
SCRIPTS = {
    'whole': (WHOLE, 'keep'),
    'long': (build_answer(200, 'x' * LONG), 'keep'),
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
    'cut': (WHOLE[:-2], 'close'),
    'unframed': (
        f'HTTP/1.1 200 X\r\n{SEAL}{IDENTIFIER}\r\nwhole',
        'close',
    ),
    'unframed reset': (
        f'HTTP/1.1 200 X\r\n{SEAL}{IDENTIFIER}\r\nwhole',
        'reset',
    ),
    'unsealed': (
        f'HTTP/1.1 200 X\r\n{IDENTIFIER}Content-Length: 5\r\n\r\nwhole',
        'keep',
    ),
    'broken header': (
        f'HTTP/1.1 200 X\r\n{SEAL}no colon here\r\n\r\n',
        'close',
    ),
    'other answer': (WHOLE.replace('{0}', 'stranger'), 'keep'),
    'no answer': ('', 'close'),
    'junk': ('\x00\x01 nonsense\r\n\r\n', 'close'),
    'extra': (WHOLE + WHOLE.replace('{0}', 'stranger'), 'keep'),
    'silent': ('', 'hang'),
}


class ScriptedServer:
    """Answers its requests by a list of scripts, the last one for ever.

    Attributes
    ----------
    heads : list of str
        Header blocks of the requests.
    closed : threading.Event
        Set when a caller closes a connection under a hanging request.

    """

    def __init__(self, *scripts):
        """Listen on a free port."""
        self.scripts = list(scripts)
        self.heads = []
        self.bodies = []
        self.connections = 0
        self.closed = threading.Event()
        self._server = socket.create_server(('127.0.0.1', 0))
        self.target = self._server.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

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
        text, end = SCRIPTS[script]
        identifier = _find_header(head, 'sesameroute-attempt-id')
        connection.sendall(text.replace('{0}', identifier).encode('latin-1'))
        if end == 'hang':
            connection.settimeout(5)
            if not connection.recv(1):
                self.closed.set()
            return False
        if end == 'reset':
            linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        return end == 'keep'

    def _read_head(self, connection):
        received = b''
        while b'\r\n\r\n' not in received:
            try:
                part = connection.recv(65536)
            except OSError:
                return None
            if not part:
                return None
            received += part
        head, _, body = received.partition(b'\r\n\r\n')
        text = head.decode('latin-1')
        length = int(_find_header(text, 'content-length') or 0)
        while len(body) < length:
            body += connection.recv(65536)
        self.heads.append(text)
        self.bodies.append(body)
        return text


def _find_header(head, name):
    for line in head.split('\r\n')[1:]:
        found, _, text = line.partition(':')
        if found.lower() == name:
            return text.strip()
    return ''
