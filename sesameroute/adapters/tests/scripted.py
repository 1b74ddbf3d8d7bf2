"""TCP server for tests whose connections follow a script."""

import contextlib
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ['ScriptedServer', 'build_http_answer']

_RECEIVE_BYTES = 65_536


def build_http_answer(body: bytes = b'ok', extra: str = '') -> bytes:
    """Return the bytes of a complete HTTP answer; `extra` are headers."""
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{extra}\r\n'
    return head.encode() + body


@dataclass
class ScriptedServer:
    """Calls `script(connection number, request number)` for each request.

    The script returns the bytes to send, None to close the connection, or
    empty bytes to send nothing. A connection is also closed after bytes that
    contain ``cut``.

    Attributes
    ----------
    requests : list of (int, int)
        Connection number and request number of each request, from 1.

    """

    script: Callable[[int, int], bytes | None]
    address: str = '127.0.0.1'
    requests: list[tuple[int, int]] = field(default_factory=list)

    def __enter__(self):
        """Listen on a free port."""
        self.listener = socket.create_server((self.address, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_error):
        """Stop listening."""
        # Without the shutdown, a thread blocked in accept() would keep the
        # closed socket listening.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _accept(self):
        connection_number = 0
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection_number += 1
            threading.Thread(
                target=self._serve,
                args=(connection, connection_number),
                daemon=True,
            ).start()

    def _serve(self, connection, connection_number):
        request_number = 0
        with connection, contextlib.suppress(OSError):
            while connection.recv(_RECEIVE_BYTES):
                request_number += 1
                self.requests.append((connection_number, request_number))
                sent = self.script(connection_number, request_number)
                if sent is None:
                    return
                connection.sendall(sent)
                if sent and b'cut' in sent:
                    return
