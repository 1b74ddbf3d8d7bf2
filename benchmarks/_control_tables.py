"""Cost of statements by size and of the table of client blocks."""

import random
import sys
import time
import zlib
from collections.abc import Callable, Iterator
from typing import Any

from benchmarks._figure import Figure
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
_SITES = 65
_BITS = 24
_LOOKUPS = 200_000
_CHANGES = 100
_DOMAINS = 9
_VMS = 540


def measure_statements(*, quick: bool) -> Iterator[Figure]:
    """Measure statements of 540 entry VMs by their number of upstreams."""
    for count in _QUICK_UPSTREAM_COUNTS if quick else _UPSTREAM_COUNTS:
        title = f'control/upstreams/{count}'
        text = _make_text(count)
        packed = encode_configuration(Configuration(1, 'submission', text))
        yield Figure(f'{title}/stored', len(packed) / _MEGABYTE, 'MB')
        sent = len(zlib.compress(packed)) / _MEGABYTE
        yield Figure(f'{title}/sent', sent, 'MB')
        seconds, statement = _time(read_statement, text)
        yield Figure(f'{title}/read', seconds, 's of a core')
        seconds, _again = _time(read_statement, text)
        yield Figure(f'{title}/read-again', seconds, 's of a core')
        if len(statement.upstreams) != count:
            raise ValueError(f'{len(statement.upstreams)} upstreams were read')


def measure_blocks(seed: int, *, quick: bool) -> Iterator[Figure]:
    """Measure the table of client blocks by its number of blocks."""
    for count in _QUICK_BLOCK_COUNTS if quick else _BLOCK_COUNTS:
        rng = random.Random(seed)
        title = f'control/blocks/{count}'
        seconds, table = _time(BlockTable.build, _make(count))
        yield Figure(f'{title}/memory', _sum_memory(table), 'MB')
        yield Figure(f'{title}/build', seconds, 's of a core')
        packed = table.pack()
        yield Figure(f'{title}/chunks', len(packed), 'values')
        largest = max(map(len, packed)) / _MEGABYTE
        yield Figure(f'{title}/largest-chunk', largest, 'MB', 1)
        seconds, _loaded = _time(BlockTable.unpack, packed)
        yield Figure(f'{title}/unpack', seconds, 's of a core')
        addresses = [rng.randrange(count << 8) for _ in range(_LOOKUPS)]
        seconds, _found = _time(list, map(table.find, addresses))
        each = seconds / _LOOKUPS * _MICROSECONDS
        yield Figure(f'{title}/find', each, 'us of a core')
        changes = _make_changes(rng, count)
        seconds, _changed = _time(table.apply, changes)
        yield Figure(f'{title}/apply-100', seconds, 's of a core')


def _make(count: int) -> Iterator[Block]:
    for place in range(count):
        yield Block(place << 8, _BITS, place * 7 % _SITES)


def _make_changes(rng: random.Random, count: int) -> list[Block]:
    """Return changes that lie near to each other, as one operator's do."""
    first = rng.randrange(count - _CHANGES)
    return [
        Block(place << 8, _BITS, rng.randrange(_SITES))
        for place in range(first, first + _CHANGES)
    ]


def _make_text(upstreams: int) -> str:
    domains = [f'domain-{number}' for number in range(_DOMAINS)]
    builder = StatementBuilder('fleet').set_places(
        'region-0',
        domain_delay_ms=1,
        region_delay_ms=12,
    )
    for region in range(4):
        builder.add_region(f'region-{region}', *domains[region::4])
    builder.set_policy(priority='headroom')
    for vm in range(_VMS):
        address = f'127.81.{vm // 250}.{vm % 250 + 1}'
        builder.add_vm(f'domain-vm-{vm}', domains[vm % _DOMAINS], address)
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


def _time(work: Callable[[Any], Any], given: Any) -> tuple[float, Any]:
    started = time.process_time()
    done = work(given)
    return time.process_time() - started, done


def _sum_memory(table: BlockTable) -> float:
    """Return the allocated megabytes of all arrays."""
    columns = (
        column
        for chunk in table.chunks
        for column in (chunk.starts, chunk.bits, chunk.sites)
    )
    return sum(map(sys.getsizeof, columns)) / _MEGABYTE
