"""Client blocks: which site each block of addresses is steered to.

Blocks lie sorted in arrays of machine integers, six bytes each, cut into
chunks that fit into one value of the store. A change copies only the chunks
that it touches, so that readers go on with the table they hold.
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

CHUNK_BLOCKS = 65_536  # of six bytes each: 393,216 bytes in the store

_ADDRESS_BITS = 32
_MAX_SITE = 255
_START_CODE = 'I'
_SMALL_CODE = 'B'
_BLOCK_BYTES = 6
_START_BYTES = 4


@dataclass(frozen=True, slots=True, order=True)
class Block:
    """Addresses that share their first bits, and the site they belong to.

    Attributes
    ----------
    start : int
        First IPv4 address as a number.
    bits : int
        Length of the shared prefix.
    site : int or None
        Number of the site, 0 to 255; None in a change removes the block.

    """

    start: int
    bits: int
    site: int | None

    @property
    def end(self) -> int:
        """First address after the block."""
        return self.start + (1 << _ADDRESS_BITS - self.bits)

    def check(self) -> None:
        """Raise InputError when the block can't be."""
        if not 0 <= self.bits <= _ADDRESS_BITS:
            raise InputError(f'bits={self.bits} is not in [0, {_ADDRESS_BITS}]')
        if self.start % (self.end - self.start):
            raise InputError(f'start={self.start} has bits beyond {self.bits}')
        if not 0 <= (self.site or 0) <= _MAX_SITE:
            raise InputError(f'site={self.site} is not in [0, {_MAX_SITE}]')


@dataclass(frozen=True, slots=True)
class _Chunk:
    """Sorted disjoint blocks in three arrays."""

    starts: array
    bits: array
    sites: array

    def __len__(self) -> int:
        return len(self.starts)

    def __iter__(self) -> Iterator[Block]:
        return map(Block, self.starts, self.bits, self.sites)

    def find(self, address: int) -> int | None:
        place = bisect_right(self.starts, address) - 1
        if place < 0:
            return None
        shift = _ADDRESS_BITS - self.bits[place]
        is_inside = address >> shift == self.starts[place] >> shift
        return self.sites[place] if is_inside else None

    def put(self, block: Block) -> None:
        """Replace, add or remove one block in place."""
        place = bisect_left(self.starts, block.start)
        if self.starts[place : place + 1] == array(_START_CODE, [block.start]):
            for column in (self.starts, self.bits, self.sites):
                column.pop(place)
        if block.site is not None:
            self.starts.insert(place, block.start)
            self.bits.insert(place, block.bits)
            self.sites.insert(place, block.site)

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
        self._firsts = [chunk.starts[0] for chunk in self.chunks]

    @classmethod
    def build(cls, blocks: Iterable[Block]) -> 'BlockTable':
        """Return a table of sorted disjoint blocks; raise InputError."""
        return cls(_cut(_check(blocks)))

    @classmethod
    def unpack(cls, packed: Iterable[bytes]) -> 'BlockTable':
        """Return the table from its chunks' bytes; raise InputError."""
        chunks = list(map(_unpack_chunk, packed))
        _check_all(chain.from_iterable(chunks))
        return cls(chunks)

    def __len__(self) -> int:
        """Return the number of blocks."""
        return sum(map(len, self.chunks))

    def find(self, address: int) -> int | None:
        """Return the site of an address; None when no block has it."""
        place = bisect_right(self._firsts, address) - 1
        return self.chunks[place].find(address) if place >= 0 else None

    def apply(self, changes: Iterable[Block]) -> 'BlockTable':
        """Return a table with blocks replaced, added or removed.

        Raises
        ------
        InputError
            A change is wrong or would make blocks overlap; this table
            stands as it was.

        """
        ordered = sorted(changes, key=_read_start)
        chunks = list(self.chunks) or [_collect(())]
        grouped = groupby(ordered, lambda block: self._place(block.start))
        rebuilt = {
            place: _merge(chunks[place], group) for place, group in grouped
        }
        cut = [
            part
            for place, chunk in enumerate(chunks)
            for part in rebuilt.get(place, (chunk,))
            if len(part)
        ]
        _check_borders(cut)
        return BlockTable(cut)

    def pack(self) -> tuple[bytes, ...]:
        """Return the bytes of each chunk, as values for the store."""
        return tuple(chunk.pack() for chunk in self.chunks)

    def _place(self, start: int) -> int:
        return max(bisect_right(self._firsts, start) - 1, 0)


def _read_start(block: Block) -> int:
    return block.start


def _check(blocks: Iterable[Block]) -> Iterator[Block]:
    """Pass blocks on; raise InputError unless sorted and disjoint."""
    end = 0
    for block in blocks:
        block.check()
        if block.start < end or block.site is None:
            raise InputError(f'block at {block.start} overlaps or has no site')
        end = block.end
        yield block


def _check_all(blocks: Iterable[Block]) -> None:
    """Raise InputError unless blocks are sorted and disjoint."""
    deque(_check(blocks), maxlen=0)


def _check_borders(chunks: Sequence[_Chunk]) -> None:
    """Raise InputError when the last block of a chunk reaches the next."""
    edges = (
        edge
        for chunk in chunks
        for edge in (_read_block(chunk, 0), _read_block(chunk, -1))
    )
    end = 0
    for number, block in enumerate(edges):
        is_first = number % 2 == 0
        if is_first and block.start < end:
            raise InputError(f'block at {block.start} overlaps')
        end = block.end


def _read_block(chunk: _Chunk, place: int) -> Block:
    return Block(chunk.starts[place], chunk.bits[place], chunk.sites[place])


def _merge(chunk: _Chunk, changes: Iterable[Block]) -> tuple[_Chunk, ...]:
    """Return the changed chunk, in several parts when it has grown."""
    merged = deepcopy(chunk)
    for change in changes:
        change.check()
        merged.put(change)
    if len(merged) > CHUNK_BLOCKS:
        return tuple(_cut(_check(merged)))
    _check_all(merged)
    return (merged,)


def _cut(blocks: Iterable[Block]) -> Iterator[_Chunk]:
    remaining = iter(blocks)
    while chunk := _collect(islice(remaining, CHUNK_BLOCKS)):
        yield chunk


def _collect(blocks: Iterable[Block]) -> _Chunk:
    chunk = _Chunk(array(_START_CODE), array(_SMALL_CODE), array(_SMALL_CODE))
    for block in blocks:
        chunk.starts.append(block.start)
        chunk.bits.append(block.bits)
        chunk.sites.append(block.site)
    return chunk


def _unpack_chunk(packed: bytes) -> _Chunk:
    count, rest = divmod(len(packed), _BLOCK_BYTES)
    if rest or not 0 < count <= CHUNK_BLOCKS:
        raise InputError(f'chunk of {len(packed)} bytes is not allowed')
    middle = count * _START_BYTES
    return _Chunk(
        array(_START_CODE, packed[:middle]),
        array(_SMALL_CODE, packed[middle : middle + count]),
        array(_SMALL_CODE, packed[middle + count :]),
    )
