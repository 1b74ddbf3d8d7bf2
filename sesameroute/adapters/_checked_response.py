"""Responses that are complete, bounded in their framing and end in time."""

import contextlib
import socket
from collections.abc import Iterator
from http import HTTPStatus
from http.client import (
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)
from io import BufferedReader

from sesameroute.adapters._chunk_framing import (
    MAX_LINE_BYTES,
    MAX_TRAILER_LINES,
    parse_chunk_size,
)
from sesameroute.adapters._limited_reader import LimitedReader, ReadLimit
from sesameroute.adapters._response_head import (
    LINE_ENDS,
    HeadReader,
    parse_field,
)

__all__ = ['CheckedResponse']

_CHUNK_END = b'\r\n'


class CheckedResponse(HTTPResponse):
    """A response that detects incomplete framing and bytes after its end.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    limit : ReadLimit or None
        Ends the reading of the response.
    write_error : OSError or None
        Error of the writing of the request. Only its framing shows then that
        the response is complete.
    options : dict
        Further arguments of `http.client.HTTPResponse`.

    Attributes
    ----------
    has_trailing_bytes : bool
        Whether more bytes had already arrived when the end of the response
        was read. They belong to no request.

    """

    def __init__(
        self,
        sock: socket.socket,
        limit: ReadLimit | None,
        write_error: OSError | None = None,
        **options: object,
    ) -> None:
        """Read from the socket within the limit."""
        super().__init__(sock, **options)
        self._limited_reader = LimitedReader(
            self.fp.detach(), limit, write_error
        )
        self.fp = BufferedReader(self._limited_reader)
        self.has_trailing_bytes = False
        self._socket = sock

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        RemoteDisconnected
            The connection ended before the head was complete.
        HTTPException
            The head is not valid, more interim responses came than are read,
            or the length is above the limit.

        """
        with self._checked_head():
            super().begin()
        # `http.client` would wait for the chunks of a response without a body.
        self.chunked = self.chunked and self.length != 0
        limit = self._limited_reader.limit
        if limit is not None and (self.length or 0) > limit.remaining_bytes:
            raise HTTPException(f'answer of {self.length} bytes is too long')

    def _read_status(self) -> tuple[str, int, str]:
        """Return version, status and reason of a head.

        Of the interim responses, `http.client` skips those with status 100.
        """
        version, status, reason = super()._read_status()
        if status < HTTPStatus.OK:
            status = HTTPStatus.CONTINUE
        return version, status, reason

    @contextlib.contextmanager
    def _checked_head(self) -> Iterator[None]:
        reader = self.fp
        self.fp = HeadReader(reader)
        try:
            yield
        finally:
            if self.fp is not None:  # it is closed otherwise
                self.fp = reader

    def _get_chunk_left(self) -> int | None:
        """Return what is left of a chunk; check the line end behind it."""
        if self.chunk_left == 0:
            if self._safe_read(len(_CHUNK_END)) != _CHUNK_END:
                raise HTTPException('chunk is longer than its size')
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        """Return the next chunk size; `http.client` takes a part of one."""
        line = self._read_framing_line()
        try:
            return parse_chunk_size(line)
        except ValueError as error:
            raise HTTPException(str(error)) from error

    def _read_and_discard_trailer(self) -> None:
        """Discard the trailer section; `http.client` reads it without end."""
        for _ in range(MAX_TRAILER_LINES):
            line = self._read_framing_line()
            if line in LINE_ENDS:
                return
            parse_field(line)
        raise HTTPException('trailer section too long')

    def _read_framing_line(self) -> bytes:
        line = self.fp.readline(MAX_LINE_BYTES)
        if line.endswith(b'\n'):
            return line
        if len(line) == MAX_LINE_BYTES:
            raise HTTPException('chunk size or trailer field too long')
        raise IncompleteRead(line)

    def _close_conn(self) -> None:
        """Check for further bytes before the read buffer is discarded."""
        if isinstance(self.fp, BufferedReader) and not self.fp.closed:
            self._limited_reader.limit = None
            self.has_trailing_bytes = _has_unread_bytes(self.fp, self._socket)
        super()._close_conn()


def _has_unread_bytes(reader: BufferedReader, sock: socket.socket) -> bool:
    """Return whether bytes can be read now; never blocks.

    A broken connection counts as one with bytes, since neither may be reused.
    """
    timeout = sock.gettimeout()
    try:
        sock.settimeout(0)
        return bool(reader.peek(1))
    except (OSError, ValueError):
        return True
    finally:
        sock.settimeout(timeout)
