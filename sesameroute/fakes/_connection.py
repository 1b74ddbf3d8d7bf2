"""One client connection of a fake backend server, served by one thread."""

import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from io import BufferedReader
from threading import Thread
from typing import Self

from sesameroute.fakes._exchange import HttpRequest, Reply

__all__ = ['Connection']

# With SO_LINGER on and a time of 0, close() sends a reset.
_ZERO_LINGER = struct.pack('ii', 1, 0)
_READ_BYTES = 65_536
_MAX_LINE_BYTES = 16_384
_MAX_HEADERS = 100
_REQUEST_LINE_FIELDS = 3
_PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT


class Connection:
    """Reads HTTP requests, passes them to a handler and writes its replies.

    Parameters
    ----------
    accepted : socket
        Connected socket.
    answer : callable
        Handler that returns the reply to a request on this connection.
    on_close : callable
        Called once when the thread of the connection ends.

    Attributes
    ----------
    is_silent : bool
        When set, no reply is written any more; the connection stays open.

    """

    def __init__(
        self,
        accepted: socket.socket,
        answer: Callable[[HttpRequest, Self], Reply],
        on_close: Callable[[Self], None],
    ) -> None:
        """Store the parameters."""
        self.accepted = accepted
        self.answer = answer
        self.on_close = on_close
        self.is_silent = False

    def start(self, setup_seconds: float) -> None:
        """Serve in a new thread, which first sleeps for `setup_seconds`."""
        # With Nagle's algorithm, the second chunk of an answer would wait for
        # a delayed ACK.
        self.accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        Thread(target=self._serve, args=(setup_seconds,), daemon=True).start()

    def reset(self) -> None:
        """Reset the connection at once, without a reply."""
        with suppress(OSError):
            self.accepted.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _ZERO_LINGER,
            )
            # Wakes the thread that reads; close() alone would not.
            self.accepted.shutdown(socket.SHUT_RD)
        self.accepted.close()

    def is_closed_by_peer(self) -> bool:
        """Return whether the client has closed the connection."""
        try:
            return not self.accepted.recv(1, _PEEK_FLAGS)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _serve(self, setup_seconds: float) -> None:
        time.sleep(setup_seconds)
        try:
            self.accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.accepted.makefile('rb') as reader:
                self._serve_requests(reader)
        except (OSError, ValueError):
            """Closed by the client, malformed request, or simulated crash."""
        finally:
            self.accepted.close()
            self.on_close(self)

    def _serve_requests(self, reader: BufferedReader) -> None:
        for request in iter(partial(_read_request, reader), None):
            reply = self.answer(request, self)
            if self.is_silent:
                self._discard_input()
                return
            if reply.status is None:
                self.reset()
                return
            self._write(reply, request.headers.get('sesame-try', ''))

    def _write(self, reply: Reply, answered_try: str) -> None:
        status = reply.status
        headers = dict(reply.headers)
        if answered_try:
            headers['Sesame-Try'] = answered_try
        headers.setdefault('Content-Length', '0')
        lines = [f'HTTP/1.1 {status} {status.phrase}']
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        chunks = iter(reply.chunks)
        # Writing head and first chunk together saves a packet and a wake-up.
        self.accepted.sendall(head + next(chunks, b''))
        for chunk in chunks:
            self.accepted.sendall(chunk)

    def _discard_input(self) -> None:
        while self.accepted.recv(_READ_BYTES):
            """Ignore what the client sends."""


def _read_request(reader: BufferedReader) -> HttpRequest | None:
    fields = _read_line(reader).split(' ')
    if len(fields) != _REQUEST_LINE_FIELDS:
        return None
    headers: dict[str, str] = {}
    while line := _read_line(reader):
        name, _colon, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
        if len(headers) > _MAX_HEADERS:
            return None
    length = int(headers.get('content-length', '0'))
    body = reader.read(length) if length else b''
    if len(body) != length:
        return None
    return HttpRequest(fields[0], fields[1], headers, body)


def _read_line(reader: BufferedReader) -> str:
    line = reader.readline(_MAX_LINE_BYTES)
    if len(line) == _MAX_LINE_BYTES:
        raise ValueError(f'line reaches the limit of {_MAX_LINE_BYTES} bytes')
    return line.decode('latin-1').rstrip('\r\n')
