"""Reads the heads of responses, strictly (RFC 9112, sections 4 to 6).

`http.client` reads what it can of a head: it takes any number for a status,
skips lines that are no fields, takes the end of the connection for the end of
the head, and a body whose length or coding it can't read for one that ends
with the connection.
"""

import re
from http.client import BadStatusLine, HTTPException, RemoteDisconnected
from io import BufferedReader
from typing import NamedTuple

__all__ = ['LINE_ENDS', 'HeadReader', 'parse_field']

LINE_ENDS = (b'\r\n', b'\n')

# Interim responses that may come before the final one.
_MAX_INTERIM_RESPONSES = 64
_BLANKS = b' \t'
_QUOTED_BYTES = 60  # of an invalid line
# Of the control characters, reasons and values may have tabs only.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n'
)
_FIELD = re.compile(
    rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)\r?\n"
)
_SWITCHING_PROTOCOLS = b'101'  # only after a request for it
_NO_CONTENT = b'204'
_CONTENT_LENGTH = b'content-length'
# Fields that say how a body ends.
_FRAMING_FIELDS = frozenset((_CONTENT_LENGTH, b'transfer-encoding'))
_LENGTH = re.compile(b'[0-9]{1,18}')
_ZERO = re.compile(b'0{1,18}')
# The only coding that may be sent to a client that has named none.
_CODING = b'chunked'
_FIRST_VERSION = b'0'  # the minor one; it has no codings


class _Status(NamedTuple):
    """Minor version and status of a status line, and how its lines end."""

    version: bytes
    code: bytes
    line_end: bytes

    @property
    def excludes_body(self) -> bool:
        """Whether nothing may be said of a body, since none may follow."""
        return self.code.startswith(b'1') or self.code == _NO_CONTENT


class HeadReader:
    """Reads the lines of the heads of a response, interim ones included.

    Parameters
    ----------
    reader : BufferedReader
        Reads the response.

    """

    def __init__(self, reader: BufferedReader) -> None:
        """Store the reader; no line has been read yet."""
        self.reader = reader
        self._status: _Status | None = None
        self._framing: list[tuple[bytes, bytes]] = []
        self._head_count = 0

    def readline(self, limit: int) -> bytes:
        """Return the next line; a field is returned without extra blanks.

        Raises
        ------
        RemoteDisconnected
            The connection ended within the head.
        HTTPException
            A line is not valid, the head does not tell where the body ends,
            or more interim responses came than are read.

        """
        line = self.reader.readline(limit)
        if not line.endswith(b'\n'):
            return self._check_cut(line, limit)
        if self._status is None:
            self._status = _parse_status_line(line)
            return line
        line_end = _find_line_end(line)
        if line_end != self._status.line_end:
            raise HTTPException('lines of a head end in different ways')
        if line == line_end:
            self._end_head()
            return line
        return self._read_field(line)

    def close(self) -> None:
        """Close the reader."""
        self.reader.close()

    def _check_cut(self, line: bytes, limit: int) -> bytes:
        """Return a line without its end if `http.client` rejects it."""
        has_begun = bool(line) or self._status is not None
        if has_begun and len(line) < limit:
            raise RemoteDisconnected('connection closed within the head')
        return line  # there is no response, or the line is too long

    def _read_field(self, line: bytes) -> bytes:
        name, text = parse_field(line)
        if name.lower() in _FRAMING_FIELDS:
            self._framing.append((name.lower(), text))
        return b'%b: %b\r\n' % (name, text)

    def _end_head(self) -> None:
        self._head_count += 1
        if self._head_count > _MAX_INTERIM_RESPONSES:
            raise BadStatusLine('too many interim responses')
        self._check_framing()
        self._status = None
        self._framing.clear()

    def _check_framing(self) -> None:
        """Raise an error unless one field at most says how the body ends."""
        if len(self._framing) > 1:
            raise HTTPException('several lengths or transfer codings')
        for name, text in self._framing:
            if not _is_framing_valid(name, text, self._status):
                raise HTTPException(f'{name.decode()} is not valid')


def parse_field(line: bytes) -> tuple[bytes, bytes]:
    r"""Return name and value of a field in a line, with its line end.

    Values may not be folded over several lines.

    Raises
    ------
    HTTPException
        The line is no field.

    Examples
    --------
    >>> parse_field(b'Retry-After: 1 \r\n')
    (b'Retry-After', b'1')

    """
    matched = _FIELD.fullmatch(line)
    if matched is None:
        raise HTTPException('line in a head or trailer is no field')
    return matched.group(1), matched.group(2).strip(_BLANKS)


def _parse_status_line(line: bytes) -> _Status:
    matched = _STATUS_LINE.fullmatch(line)
    if matched is None or matched.group(2) == _SWITCHING_PROTOCOLS:
        raise BadStatusLine(repr(line[:_QUOTED_BYTES]))
    return _Status(*matched.groups(), _find_line_end(line))


def _find_line_end(line: bytes) -> bytes:
    return next(each for each in LINE_ENDS if line.endswith(each))


def _is_framing_valid(name: bytes, text: bytes, status: _Status) -> bool:
    if name == _CONTENT_LENGTH:
        pattern = _ZERO if status.excludes_body else _LENGTH
        return pattern.fullmatch(text) is not None
    has_coding = text.lower() == _CODING and status.version != _FIRST_VERSION
    return has_coding and not status.excludes_body
