"""Clients that send several requests on one connection."""

import socket
import time

from review.second.tests.fleet import FRONT, HOST

RECEIVE_BUFFER = 65536


def build_request(attempt, target, limit_ms, method='GET', fields='', body=b''):
    """Return the bytes of a request."""
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Sesameroute-Attempt-Id: {attempt}\r\n'
        f'Sesameroute-Affinity-Key: {len(attempt)}\r\n'
        f'Sesameroute-Deadline-Ms: {limit_ms}\r\n{fields}\r\n'
    )
    return head.encode('latin-1') + body


def connect(ip, seconds):
    """Return a connection to a node."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.settimeout(seconds)
    connection.connect((ip, FRONT))
    return connection


class AnswerReader:
    """Reads the answers of one connection; counts what has come of each.

    `size` bytes are taken at a time, with `pause` seconds between.
    """

    def __init__(self, connection, size=65536, pause=0):
        """Store the parameters."""
        self.connection = connection
        self.size = size
        self.pause = pause
        self.ended_at = None
        self._bytes = b''

    def read_answer(self):
        """Return status, fields, body and whether the answer is complete.

        The status is 0 if nothing of an answer has come.
        """
        while b'\r\n\r\n' not in self._bytes:
            if not self._receive():
                return 0, {}, self._bytes, False
        head, _, self._bytes = self._bytes.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        pairs = (line.partition(':') for line in lines)
        fields = {name.lower(): text.strip() for name, _, text in pairs}
        if 'chunked' in fields.get('transfer-encoding', ''):
            raise ValueError('these servers send a length')
        length = int(fields.get('content-length', 0))
        is_whole = self._read_to(length)
        body = self._bytes[:length]
        self._bytes = self._bytes[length:]
        return int(first.split()[1]), fields, body, is_whole

    def _read_to(self, length):
        while len(self._bytes) < length:
            if not self._receive():
                return False
        return True

    def _receive(self):
        """Take some bytes; return whether there were any."""
        if self.ended_at is not None:
            return False
        if self.pause:
            time.sleep(self.pause)
        try:
            content = self.connection.recv(self.size)
        except OSError:
            content = b''
        if not content:
            self.ended_at = time.monotonic()
            return False
        self._bytes += content
        return True
