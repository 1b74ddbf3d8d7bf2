"""The block table compared with a plain list of blocks."""

from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameroute.exceptions import InputError
from sesameroute.routing import Block, BlockTable, _blocks

_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
)
# /8 and /9 blocks within 0.0.0.0/4 only, so that changes often hit existing
# blocks.
_BLOCKS = st.builds(
    lambda position, bits, site: Block(
        position << 23 if bits == 9 else position // 2 << 24,
        bits,
        site,
    ),
    st.integers(0, 31),
    st.sampled_from([8, 9]),
    st.none() | st.integers(0, 65),
)


def _apply_to_list(blocks, changes):
    by_start = {block.start: block for block in blocks}
    by_start.update({change.start: change for change in changes})
    remaining = sorted(
        block for block in by_start.values() if block.site is not None
    )
    for earlier, later in zip(remaining, remaining[1:], strict=False):
        if earlier.end > later.start:
            return None
    return remaining


def _find_in_list(blocks, address):
    for block in blocks:
        if block.start <= address < block.end:
            return block.site
    return None


@_SETTINGS
@given(st.lists(st.lists(_BLOCKS, max_size=6), max_size=12))
def test_changes_match_a_plain_list(steps):
    """A table and a plain list agree after changes, or both refuse them."""
    table, expected = BlockTable(), []
    with patch.object(_blocks, 'CHUNK_BLOCKS', 4):
        for changes in steps:
            changed = _apply_to_list(expected, changes)
            if changed is None:
                with pytest.raises(InputError):
                    table.apply(changes)
                continue
            table, expected = table.apply(changes), changed
            assert len(table) == len(expected)
            for position in range(0, 33):
                address = (position << 23) + 5
                assert table.find(address) == _find_in_list(expected, address)
        assert BlockTable.unpack(table.pack()).pack() == table.pack()


@pytest.mark.parametrize(
    'blocks',
    [
        [Block(0, 33, 1)],
        [Block(1, 8, 1)],
        [Block(0, 8, 256)],
        [Block(0, 8, -1)],
        [Block(0, 8, None)],
        [Block(1 << 24, 8, 1), Block(0, 8, 1)],
        [Block(0, 7, 1), Block(1 << 24, 8, 1)],
    ],
)
def test_build_refuses_invalid_blocks(blocks):
    """Invalid, unsorted or overlapping blocks are refused."""
    with pytest.raises(InputError):
        BlockTable.build(blocks)


@pytest.mark.parametrize(
    'packed', [b'', b'12345', bytes(12), bytes(6) * 70_000]
)
def test_unpack_refuses_invalid_chunk(packed):
    """A chunk of an invalid size or with duplicate blocks is refused."""
    with pytest.raises(InputError):
        BlockTable.unpack([packed])
