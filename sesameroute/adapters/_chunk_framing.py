"""Lines between the chunks of a body in chunked coding (RFC 9112, 7.1)."""

import re

__all__ = ['MAX_LINE_BYTES', 'MAX_TRAILER_LINES', 'parse_chunk_size']

MAX_LINE_BYTES = 8192  # of a chunk size or a trailer field
MAX_TRAILER_LINES = 100

_HEXADECIMAL = 16
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n')


def parse_chunk_size(line: bytes) -> int:
    r"""Return the size in a line, with its line end.

    Raises
    ------
    ValueError
        The line is no chunk size.

    Examples
    --------
    >>> parse_chunk_size(b'001f;name=text\r\n')
    31

    """
    matched = _CHUNK_SIZE.fullmatch(line)
    if matched is None:
        raise ValueError('invalid chunk size')
    return int(matched.group(1), _HEXADECIMAL)
