"""Bodies of callers' requests, read in parts of bounded size."""

import time
from typing import Any, Protocol

from sesameroute.adapters._chunk_framing import (
    MAX_LINE_BYTES,
    MAX_TRAILER_LINES,
    parse_chunk_size,
)

__all__ = ['EXPECTED', 'RequestBody', 'build_body', 'discard_rest']

EXPECTED = b'100-continue'  # value of Expect, in lower case

_LINE_END = b'\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_DISCARD_BYTES = 65_536
_MIN_WAIT_SECONDS = 0.001


class RequestBody(Protocol):
    """The body of a request.

    Attributes
    ----------
    is_awaited : bool
        Whether the caller waits to be asked for it.

    """

    is_awaited: bool

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most `size`; none at the end.

        Raises
        ------
        OSError
            The connection failed.
        ValueError
            The body is truncated, malformed or too long.

        """


class _KnownLengthBody:
    """A body whose length the head of the request gives."""

    is_awaited = False

    def __init__(self, source: Any, length: int) -> None:
        """Store the connection's reader and the length in bytes."""
        self.source = source
        self.missing = length

    def read(self, size: int) -> bytes:
        """Return the next bytes, as `RequestBody`."""
        content = self.source.read(min(size, self.missing))
        self.missing -= len(content)
        if self.missing and not content:
            raise ValueError(f'{self.missing} bytes missing')
        return content


class _ChunkedBody:
    """A body in chunks; `http.client` and cheroot accept parts of sizes.

    Parameters
    ----------
    source : BufferedReader
        The connection's reader.
    max_bytes : int
        Largest length of the body; 0 if it is not limited.

    """

    is_awaited = False

    def __init__(self, source: Any, max_bytes: int) -> None:
        """Store the parameters; nothing has been read yet."""
        self.source = source
        self.max_bytes = max_bytes
        self._size = 0
        self._missing = 0  # of the current chunk
        self._has_ended = False

    def read(self, size: int) -> bytes:
        """Return the next bytes, as `RequestBody`."""
        if not (self._missing or self._has_ended):
            self._begin_chunk()
        if self._has_ended:
            return b''
        content = self.source.read(min(size, self._missing))
        if not content:
            raise ValueError(f'{self._missing} bytes of a chunk missing')
        self._missing -= len(content)
        if not self._missing and self._read_line() != _LINE_END:
            raise ValueError('chunk is longer than its size')
        return content

    def _begin_chunk(self) -> None:
        self._missing = parse_chunk_size(self._read_line())
        self._size += self._missing
        if self.max_bytes and self._size > self.max_bytes:
            raise ValueError(f'body longer than {self.max_bytes} bytes')
        if not self._missing:
            self._discard_trailer()
            self._has_ended = True

    def _discard_trailer(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            line = self._read_line()
            if line == _LINE_END:
                return
            if b':' not in line:
                raise ValueError('invalid trailer field')
        raise ValueError('trailer section too long')

    def _read_line(self) -> bytes:
        line = self.source.readline(MAX_LINE_BYTES)
        if not line.endswith(b'\n'):
            raise ValueError('incomplete chunk size or trailer field')
        return line


class _AwaitedBody:
    """A body that its caller sends once it is asked for, by its first read.

    Until then the request can be refused without it.
    """

    def __init__(self, body: RequestBody, writer: Any) -> None:
        """Store the body and the writer of answers."""
        self.body = body
        self.writer = writer
        self.is_awaited = True

    def read(self, size: int) -> bytes:
        """Return the next bytes, as `RequestBody`."""
        if self.is_awaited:
            self.is_awaited = False
            self.writer.write(_CONTINUE)
        return self.body.read(size)


def build_body(request: Any) -> RequestBody:
    """Return the body of a cheroot request, unread."""
    source = request.conn.rfile
    expected = request.inheaders.get(b'Expect', b'').lower()
    if request.chunked_read:
        body = _ChunkedBody(source, request.server.max_request_body_size)
    else:
        length = int(request.inheaders.get(b'Content-Length', 0))
        body = _KnownLengthBody(source, length)
        expected = expected if length else b''
    if expected == EXPECTED:
        return _AwaitedBody(body, request.conn.wfile)
    return body


def discard_rest(request: Any, seconds: float) -> bool:
    """Read what is left of a body; return whether its end was reached.

    Otherwise its bytes would be taken for the next request.

    Parameters
    ----------
    request : cheroot.server.HTTPRequest
        The request, which has been answered.
    seconds : float
        Longest time.

    """
    ends = time.monotonic() + seconds
    remaining = seconds
    is_unread = not request.rfile.is_awaited
    while is_unread and remaining > 0:
        request.conn.socket.settimeout(max(remaining, _MIN_WAIT_SECONDS))
        try:
            is_unread = bool(request.rfile.read(_DISCARD_BYTES))
        except (OSError, ValueError):
            return False
        remaining = ends - time.monotonic()
    return not (is_unread or request.rfile.is_awaited)
