"""Cost of statements and of the table of client blocks, by size."""

import random
import sys
import time
import zlib
from collections.abc import Callable, Iterator
from typing import Any

from benchmarks._measurement import Measurement
from sesameroute.membership import Configuration, encode_configuration
from sesameroute.routing import Block, BlockTable
from sesameroute.statement import (
    StatementBuilder,
    print_statement,
    read_statement,
)

__all__ = ['measure_blocks', 'measure_statements']

_MEGABYTE = 1_000_000
_MICROSECONDS = 1_000_000
_BLOCK_COUNTS = (10_000, 100_000, 1_000_000, 2_700_000)
_QUICK_BLOCK_COUNTS = (10_000, 100_000)
_UPSTREAM_COUNTS = (48, 480, 2400)
_QUICK_UPSTREAM_COUNTS = (48, 480)
_SITE_COUNT = 65
_PREFIX_BITS = 24
_LOOKUP_COUNT = 200_000
_CHANGE_COUNT = 100
_DOMAIN_COUNT = 9
_VM_COUNT = 540


def measure_statements(*, quick: bool) -> Iterator[Measurement]:
    """Measure statements of 540 entry VMs by their number of upstreams."""
    for count in _QUICK_UPSTREAM_COUNTS if quick else _UPSTREAM_COUNTS:
        title = f'control/upstreams/{count}'
        text = _make_text(count)
        packed = encode_configuration(Configuration(1, 'submission', text))
        yield Measurement(f'{title}/stored', len(packed) / _MEGABYTE, 'MB')
        sent = len(zlib.compress(packed)) / _MEGABYTE
        yield Measurement(f'{title}/sent', sent, 'MB')
        seconds, statement = _time_call(read_statement, text)
        yield Measurement(f'{title}/read', seconds, 's of a core')
        seconds, _reread = _time_call(read_statement, text)
        yield Measurement(f'{title}/read-again', seconds, 's of a core')
        if len(statement.upstreams) != count:
            raise ValueError(
                f'wrong number of upstreams: {len(statement.upstreams)}'
            )


def measure_blocks(seed: int, *, quick: bool) -> Iterator[Measurement]:
    """Measure the table of client blocks by its number of blocks."""
    for count in _QUICK_BLOCK_COUNTS if quick else _BLOCK_COUNTS:
        rng = random.Random(seed)
        title = f'control/blocks/{count}'
        seconds, table = _time_call(BlockTable.build, _generate_blocks(count))
        yield Measurement(f'{title}/memory', _sum_memory(table), 'MB')
        yield Measurement(f'{title}/build', seconds, 's of a core')
        packed = table.pack()
        yield Measurement(f'{title}/chunks', len(packed), 'values')
        largest = max(map(len, packed)) / _MEGABYTE
        yield Measurement(f'{title}/largest-chunk', largest, 'MB', 1)
        seconds, _loaded = _time_call(BlockTable.unpack, packed)
        yield Measurement(f'{title}/unpack', seconds, 's of a core')
        addresses = [rng.randrange(count << 8) for _ in range(_LOOKUP_COUNT)]
        seconds, _site_numbers = _time_call(list, map(table.find, addresses))
        each = seconds / _LOOKUP_COUNT * _MICROSECONDS
        yield Measurement(f'{title}/find', each, 'us of a core')
        changes = _make_changes(rng, count)
        seconds, _changed = _time_call(table.apply, changes)
        yield Measurement(f'{title}/apply-100', seconds, 's of a core')


def _generate_blocks(count: int) -> Iterator[Block]:
    for index in range(count):
        yield Block(index << 8, _PREFIX_BITS, index * 7 % _SITE_COUNT)


def _make_changes(rng: random.Random, count: int) -> list[Block]:
    """Return changes of adjacent blocks, as one operator makes them."""
    first = rng.randrange(count - _CHANGE_COUNT)
    return [
        Block(index << 8, _PREFIX_BITS, rng.randrange(_SITE_COUNT))
        for index in range(first, first + _CHANGE_COUNT)
    ]


def _make_text(upstreams: int) -> str:
    domains = [f'domain-{number}' for number in range(_DOMAIN_COUNT)]
    builder = StatementBuilder('fleet').set_places(
        'region-0',
        domain_delay_ms=1,
        region_delay_ms=12,
    )
    for region in range(4):
        builder.add_region(f'region-{region}', *domains[region::4])
    builder.set_policy(priority='headroom')
    for vm in range(_VM_COUNT):
        address = f'127.81.{vm // 250}.{vm % 250 + 1}'
        builder.add_vm(f'domain-vm-{vm}', domains[vm % _DOMAIN_COUNT], address)
    builder.add_service('order-desk')
    builder.add_kind('batch-order', 'order-desk', idempotent=False)
    builder.add_upstreams(
        'order-desk',
        count=upstreams,
        addresses={
            domain: f'127.82.{number * 8}.1'
            for number, domain in enumerate(domains)
        },
        slots=4,
        port=9000,
        connections=330,
    )
    return print_statement(builder.build())


def _time_call(
    function: Callable[[Any], Any], argument: Any
) -> tuple[float, Any]:
    started = time.process_time()
    returned = function(argument)
    return time.process_time() - started, returned


def _sum_memory(table: BlockTable) -> float:
    """Return the size of all arrays of a table in megabytes."""
    columns = (
        column
        for chunk in table.chunks
        for column in (chunk.starts, chunk.bits, chunk.sites)
    )
    return sum(map(sys.getsizeof, columns)) / _MEGABYTE
