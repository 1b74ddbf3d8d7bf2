"""Answers that prove whose they are and that they are whole."""

from collections.abc import Iterator
from dataclasses import dataclass

from xxhash import xxh3_64, xxh3_128_digest

__all__ = ['AnswerMark', 'build_body', 'read_mark']

_BLOCK_BYTES = 65_536
_MARK_WORDS = 4


@dataclass(frozen=True, slots=True)
class AnswerMark:
    """First line of an answer: order, run, length and digest of the rest."""

    order: str
    run: int
    length: int
    digest: str

    def encode(self) -> bytes:
        """Return the line."""
        return f'{self.order} {self.run} {self.length} {self.digest}\n'.encode()


def build_body(
    order: str,
    run: int,
    length: int,
) -> tuple[AnswerMark, Iterator[bytes]]:
    """Return the mark and the chunks of an answer, the mark's line first.

    Examples
    --------
    >>> mark, chunks = build_body('o1', 7, 100)
    >>> read_mark(b''.join(chunks)) == mark
    True

    """
    digest = xxh3_64()
    for block in _fill(order, length):
        digest.update(block)
    mark = AnswerMark(order, run, length, digest.hexdigest())
    return mark, _chain(mark, length)


def read_mark(body: bytes) -> AnswerMark | None:
    """Return the mark of a whole answer; None when it is cut or garbled."""
    head, _newline, rest = body.partition(b'\n')
    words = head.decode('ascii', 'replace').split(' ')
    if len(words) != _MARK_WORDS or not words[1].isdecimal():
        return None
    digest = xxh3_64(rest).hexdigest()
    if words[2:] != [str(len(rest)), digest]:
        return None
    return AnswerMark(words[0], int(words[1]), len(rest), digest)


def _chain(mark: AnswerMark, length: int) -> Iterator[bytes]:
    yield mark.encode()
    yield from _fill(mark.order, length)


def _fill(order: str, length: int) -> Iterator[bytes]:
    pattern = xxh3_128_digest(order.encode())
    block = pattern * (_BLOCK_BYTES // len(pattern))
    for start in range(0, length, _BLOCK_BYTES):
        yield block[: min(_BLOCK_BYTES, length - start)]
