"""One connection of a stand-in backend server, read by one thread."""

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

_RESET = struct.pack('ii', 1, 0)  # linger for no time: close with a reset
_READ_BYTES = 65_536
_MOST_LINE_BYTES = 16_384
_MOST_HEADERS = 100
_REQUEST_WORDS = 3
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class Connection:
    """Reads requests, has them answered and writes the replies.

    Parameters
    ----------
    accepted : socket
        The open socket.
    answer : callable
        Returns the reply to a request on this connection.
    forget : callable
        Called once when the connection is closed.

    Attributes
    ----------
    is_silent : bool
        When set, nothing is ever written again.

    """

    def __init__(
        self,
        accepted: socket.socket,
        answer: Callable[[HttpRequest, Self], Reply],
        forget: Callable[[Self], None],
    ) -> None:
        """Store the parameters."""
        self.accepted = accepted
        self.answer = answer
        self.forget = forget
        self.is_silent = False

    def start(self, seconds: float) -> None:
        """Serve in a thread after the time that a new connection costs."""
        # Else the second piece of an answer waits for a delayed ACK.
        self.accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        Thread(target=self._serve, args=(seconds,), daemon=True).start()

    def reset(self) -> None:
        """Close at once without an answer."""
        with suppress(OSError):
            self.accepted.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET,
            )
            # Wakes the thread that reads; close alone would not.
            self.accepted.shutdown(socket.SHUT_RD)
        self.accepted.close()

    def is_gone(self) -> bool:
        """Return whether the other end has closed."""
        try:
            return not self.accepted.recv(1, _PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _serve(self, seconds: float) -> None:
        time.sleep(seconds)
        self.accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with self.accepted.makefile('rb') as lines:
                self._answer_all(lines)
        except (OSError, ValueError):
            """The peer went away, sent garbage, or the server crashed."""
        finally:
            self.accepted.close()
            self.forget(self)

    def _answer_all(self, lines: BufferedReader) -> None:
        for request in iter(partial(_read_request, lines), None):
            reply = self.answer(request, self)
            if self.is_silent:
                self._hear_out()
                return
            if reply.status is None:
                self.reset()
                return
            self._write(reply)

    def _write(self, reply: Reply) -> None:
        status = reply.status
        headers = dict(reply.headers)
        headers.setdefault('Content-Length', '0')
        lines = [f'HTTP/1.1 {status} {status.phrase}']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        chunks = iter(reply.chunks)
        # One write for head and first chunk saves a packet and a wake-up.
        self.accepted.sendall(head + next(chunks, b''))
        for chunk in chunks:
            self.accepted.sendall(chunk)

    def _hear_out(self) -> None:
        while self.accepted.recv(_READ_BYTES):
            """Whatever comes is lost."""


def _read_request(lines: BufferedReader) -> HttpRequest | None:
    words = _read_line(lines).split(' ')
    if len(words) != _REQUEST_WORDS:
        return None
    headers: dict[str, str] = {}
    while line := _read_line(lines):
        name, _colon, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
        if len(headers) > _MOST_HEADERS:
            return None
    length = int(headers.get('content-length', '0'))
    body = lines.read(length) if length else b''
    if len(body) != length:
        return None
    return HttpRequest(words[0], words[1], headers, body)


def _read_line(lines: BufferedReader) -> str:
    line = lines.readline(_MOST_LINE_BYTES)
    if len(line) == _MOST_LINE_BYTES:
        raise ValueError('line is too long')
    return line.decode('latin-1').rstrip('\r\n')
