"""Response bodies with a checksum line that identifies their request."""

from collections.abc import Iterator
from dataclasses import dataclass

from xxhash import xxh3_64, xxh3_128_digest

__all__ = ['ChecksumLine', 'build_body', 'read_checksum_line']

_BLOCK_BYTES = 65_536
_MARK_FIELDS = 4


@dataclass(frozen=True, slots=True)
class ChecksumLine:
    """First line of a response body, by which a reader verifies the rest.

    Attributes
    ----------
    order : str
        The caller's identifier of the operation, from the request path.
    run : int
        Number of the run that made the answer.
    length : int
        Bytes that follow the line.
    digest : str
        XXH3 hash, 64 bits in hexadecimal, of the bytes that follow the line.

    """

    order: str
    run: int
    length: int
    digest: str

    def encode(self) -> bytes:
        """Return the line with its line break."""
        return f'{self.order} {self.run} {self.length} {self.digest}\n'.encode()


def build_body(
    order: str,
    run: int,
    length: int,
) -> tuple[ChecksumLine, Iterator[bytes]]:
    """Return the checksum line and the chunks of a body that starts with it.

    Examples
    --------
    >>> checksum_line, chunks = build_body('o1', 7, 100)
    >>> read_checksum_line(b''.join(chunks)) == checksum_line
    True

    """
    digest = xxh3_64()
    for block in _build_filler(order, length):
        digest.update(block)
    checksum_line = ChecksumLine(order, run, length, digest.hexdigest())
    return checksum_line, _build_chunks(checksum_line, length)


def read_checksum_line(body: bytes) -> ChecksumLine | None:
    """Return the checksum line of a body; None if truncated or corrupted."""
    first_line, _newline, filler = body.partition(b'\n')
    fields = first_line.decode('ascii', 'replace').split(' ')
    if len(fields) != _MARK_FIELDS or not fields[1].isdecimal():
        return None
    digest = xxh3_64(filler).hexdigest()
    if fields[2:] != [str(len(filler)), digest]:
        return None
    return ChecksumLine(fields[0], int(fields[1]), len(filler), digest)


def _build_chunks(checksum_line: ChecksumLine, length: int) -> Iterator[bytes]:
    yield checksum_line.encode()
    yield from _build_filler(checksum_line.order, length)


def _build_filler(order: str, length: int) -> Iterator[bytes]:
    pattern = xxh3_128_digest(order.encode())
    block = pattern * (_BLOCK_BYTES // len(pattern))
    for start in range(0, length, _BLOCK_BYTES):
        yield block[: min(_BLOCK_BYTES, length - start)]
