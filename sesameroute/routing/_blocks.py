"""Client address blocks and the site to which each block is steered.

Blocks are kept sorted in arrays of machine integers, six bytes per block,
and split into chunks that each fit into one value of the store. A change
copies only the chunks that it affects and returns a new table, so readers
keep a consistent view of the old one.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from copy import deepcopy
from dataclasses import dataclass
from itertools import chain, groupby, islice

from sesameroute.exceptions import InputError

__all__ = ['Block', 'BlockTable']

CHUNK_BLOCKS = 65_536  # 393,216 bytes in the store at six bytes per block

_ADDRESS_BITS = 32
_MAX_SITE = 255
_START_CODE = 'I'
_BYTE_CODE = 'B'
_BLOCK_BYTES = 6
_START_BYTES = 4


@dataclass(frozen=True, slots=True, order=True)
class Block:
    """IPv4 addresses with a common prefix, and their site.

    Attributes
    ----------
    start : int
        First IPv4 address, as an integer.
    bits : int
        Prefix length.
    site : int or None
        Site number, 0 to 255; in a change, None removes the block.

    """

    start: int
    bits: int
    site: int | None

    @property
    def end(self) -> int:
        """First address after the block, as an integer."""
        return self.start + (1 << _ADDRESS_BITS - self.bits)

    def check(self) -> None:
        """Raise InputError when a field is invalid."""
        if not 0 <= self.bits <= _ADDRESS_BITS:
            raise InputError(f'bits={self.bits} is not in [0, {_ADDRESS_BITS}]')
        if self.start % (self.end - self.start):
            raise InputError(
                f'start={self.start} has bits set after prefix bit {self.bits}'
            )
        if not 0 <= (self.site or 0) <= _MAX_SITE:
            raise InputError(f'site={self.site} is not in [0, {_MAX_SITE}]')


@dataclass(frozen=True, slots=True)
class _Chunk:
    """Sorted, non-overlapping blocks as three parallel arrays."""

    starts: array
    bits: array
    sites: array

    def __len__(self) -> int:
        return len(self.starts)

    def __iter__(self) -> Iterator[Block]:
        return map(Block, self.starts, self.bits, self.sites)

    def find(self, address: int) -> int | None:
        index = bisect_right(self.starts, address) - 1
        if index < 0:
            return None
        shift = _ADDRESS_BITS - self.bits[index]
        is_match = address >> shift == self.starts[index] >> shift
        return self.sites[index] if is_match else None

    def apply_change(self, block: Block) -> None:
        """Replace, add or remove one block in this chunk."""
        index = bisect_left(self.starts, block.start)
        if self.starts[index : index + 1] == array(_START_CODE, [block.start]):
            for column in (self.starts, self.bits, self.sites):
                column.pop(index)
        if block.site is not None:
            self.starts.insert(index, block.start)
            self.bits.insert(index, block.bits)
            self.sites.insert(index, block.site)

    def pack(self) -> bytes:
        return b''.join(map(bytes, (self.starts, self.bits, self.sites)))


class BlockTable:
    """Finds the site of a client's address.

    Parameters
    ----------
    chunks : sequence of chunks
        As made by `build`, `apply` or `unpack`.

    Examples
    --------
    >>> table = BlockTable.build([Block(0x0A000000, 8, 3)])
    >>> table.find(0x0A010203)
    3
    >>> table.find(0x0B000000) is None
    True
    >>> moved = table.apply([Block(0x0A000000, 8, 4)])
    >>> table.find(0x0A010203), moved.find(0x0A010203)
    (3, 4)

    """

    def __init__(self, chunks: Sequence[_Chunk] = ()) -> None:
        """Store the chunks."""
        self.chunks = tuple(chunks)
        self._chunk_starts = [chunk.starts[0] for chunk in self.chunks]

    @classmethod
    def build(cls, blocks: Iterable[Block]) -> 'BlockTable':
        """Return a table of sorted, non-overlapping blocks.

        Raises
        ------
        InputError
            A block is invalid, or blocks are unsorted or overlap.

        """
        return cls(_split_into_chunks(_iterate_checked(blocks)))

    @classmethod
    def unpack(cls, packed: Iterable[bytes]) -> 'BlockTable':
        """Return the table whose `pack` gave these chunks.

        Raises
        ------
        InputError
            A chunk has an invalid size, or its blocks are invalid.

        """
        chunks = list(map(_unpack_chunk, packed))
        _check_blocks(chain.from_iterable(chunks))
        return cls(chunks)

    def __len__(self) -> int:
        """Return the number of blocks."""
        return sum(map(len, self.chunks))

    def find(self, address: int) -> int | None:
        """Return the site of an address; None if no block contains it."""
        index = bisect_right(self._chunk_starts, address) - 1
        return self.chunks[index].find(address) if index >= 0 else None

    def apply(self, changes: Iterable[Block]) -> 'BlockTable':
        """Return a table with blocks replaced, added or removed.

        Raises
        ------
        InputError
            A change is invalid or would make blocks overlap. This table
            is unchanged.

        """
        ordered = sorted(changes, key=_read_start)
        chunks = list(self.chunks) or [_build_chunk(())]
        grouped = groupby(ordered, lambda block: self._find_chunk(block.start))
        rebuilt = {
            index: _merge(chunks[index], group) for index, group in grouped
        }
        parts = [
            part
            for index, chunk in enumerate(chunks)
            for part in rebuilt.get(index, (chunk,))
            if len(part)
        ]
        _check_chunk_edges(parts)
        return BlockTable(parts)

    def pack(self) -> tuple[bytes, ...]:
        """Return the chunks serialized as values for the store."""
        return tuple(chunk.pack() for chunk in self.chunks)

    def _find_chunk(self, start: int) -> int:
        return max(bisect_right(self._chunk_starts, start) - 1, 0)


def _read_start(block: Block) -> int:
    return block.start


def _iterate_checked(blocks: Iterable[Block]) -> Iterator[Block]:
    """Yield blocks; raise InputError unless valid, sorted and disjoint."""
    end = 0
    for block in blocks:
        block.check()
        if block.start < end or block.site is None:
            raise InputError(
                f'block at {block.start} overlaps another or has no site'
            )
        end = block.end
        yield block


def _check_blocks(blocks: Iterable[Block]) -> None:
    """Raise InputError unless blocks are valid, sorted and disjoint."""
    deque(_iterate_checked(blocks), maxlen=0)


def _check_chunk_edges(chunks: Sequence[_Chunk]) -> None:
    """Raise InputError if a chunk's last block overlaps the next chunk."""
    edges = (
        edge
        for chunk in chunks
        for edge in (_read_block(chunk, 0), _read_block(chunk, -1))
    )
    end = 0
    for number, block in enumerate(edges):
        is_first = number % 2 == 0
        if is_first and block.start < end:
            raise InputError(f'block at {block.start} overlaps another')
        end = block.end


def _read_block(chunk: _Chunk, index: int) -> Block:
    return Block(chunk.starts[index], chunk.bits[index], chunk.sites[index])


def _merge(chunk: _Chunk, changes: Iterable[Block]) -> tuple[_Chunk, ...]:
    """Return the changed chunk, split if it exceeds CHUNK_BLOCKS."""
    merged = deepcopy(chunk)
    for change in changes:
        change.check()
        merged.apply_change(change)
    if len(merged) > CHUNK_BLOCKS:
        return tuple(_split_into_chunks(_iterate_checked(merged)))
    _check_blocks(merged)
    return (merged,)


def _split_into_chunks(blocks: Iterable[Block]) -> Iterator[_Chunk]:
    remaining = iter(blocks)
    while chunk := _build_chunk(islice(remaining, CHUNK_BLOCKS)):
        yield chunk


def _build_chunk(blocks: Iterable[Block]) -> _Chunk:
    chunk = _Chunk(array(_START_CODE), array(_BYTE_CODE), array(_BYTE_CODE))
    for block in blocks:
        chunk.starts.append(block.start)
        chunk.bits.append(block.bits)
        chunk.sites.append(block.site)
    return chunk


def _unpack_chunk(packed: bytes) -> _Chunk:
    count, remainder = divmod(len(packed), _BLOCK_BYTES)
    if remainder or not 0 < count <= CHUNK_BLOCKS:
        raise InputError(f'chunk size of {len(packed)} bytes is not valid')
    starts_end = count * _START_BYTES
    return _Chunk(
        array(_START_CODE, packed[:starts_end]),
        array(_BYTE_CODE, packed[starts_end : starts_end + count]),
        array(_BYTE_CODE, packed[starts_end + count :]),
    )
