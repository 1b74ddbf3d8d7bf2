"""What delivery costs: time, memory, and what its choices are worth.

Callers, entry, witness and upstream share one process and its lock, so that
times added by the entry are above those of separate machines; ratios come
from alternating requests of one run.
"""

import logging
import random
import statistics
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace

from benchmarks._delivery_rig import (
    DRAWING_BYTES,
    Client,
    Rig,
    build_statement,
)
from benchmarks._figure import Direction, Figure
from sesameroute.adapters import HttpUpstreams
from sesameroute.delivery import Identity, RecordLimits, RequestKey
from sesameroute.delivery._entry import KeptAnswer
from sesameroute.delivery._record import Record
from sesameroute.delivery._witness import Witness
from sesameroute.ports import Answer, Request, SystemClock, TcpWire

__all__ = ['run']

_READ = ('GET', '/desk/check/1')
_ORDER = ('POST', '/desk/place/1')
_DRAWING = ('GET', '/desk/draw/1')
_MILLISECONDS = 1000
_SECONDS = 3  # for each comparison
_QUICK_SECONDS = 1
_MEGABYTE = 1_000_000
_CALLERS = 4
_KEYS = 20_000
_SLOW_SECONDS = 0.1
_USUAL_SECONDS = 0.004
_SLOW_PART = 0.03
_HEDGE_REQUESTS = 400
_STOP_ANSWERS = 1000


class KeptUpstreams(HttpUpstreams):
    """Sends orders on kept connections too."""

    def send(self, upstream, request, *, fresh):
        """Send without a fresh connection."""
        return super().send(upstream, request, fresh=False)


class UnevenUpstreams:
    """Answers after a usual time, some requests after a long one."""

    def __init__(self, seed: int, usual: float = _USUAL_SECONDS) -> None:
        """Store the parameters; without a usual time none is slow."""
        self.rng = random.Random(seed)
        self.usual = usual
        self.sent = 0

    def send(self, upstream, request, *, fresh):
        """Sleep and answer."""
        self.sent += 1
        slow = self.usual and self.rng.random() < _SLOW_PART
        time.sleep(_SLOW_SECONDS if slow else self.usual)
        return Answer(200, (), iter((b'ok',)), 2)

    def cancel(self, upstream, key):
        """Let the loser sleep on."""


def run(seed: int = 1, *, quick: bool = False) -> list[Figure]:
    """Return the figures of delivery.

    Parameters
    ----------
    seed : int
        Seed of slow answers.
    quick : bool
        Whether each comparison takes a shorter time.

    """
    seconds = _QUICK_SECONDS if quick else _SECONDS
    rig = Rig()
    rig.start()
    figures: list[Figure] = []
    with ExitStack() as stack:
        stack.callback(rig.stop)
        figures += _measure_paths(rig, seconds)
        figures += _measure_drawing(rig)
        figures += _measure_rate(rig, seconds)
        figures += _measure_hedging(rig, seed)
        figures += _measure_stop(rig)
    return figures + _measure_memory()


def _measure_paths(rig: Rig, seconds: float) -> list[Figure]:
    witnessed, witnessed_key = rig.open_entry(witness=True)
    alone, alone_key = rig.open_entry(witness=False)
    kept_out = KeptUpstreams(TcpWire(), '127.61.0.1', SystemClock())
    kept, kept_key = rig.open_entry(witness=True, upstreams=kept_out)
    straight_kept = Client(rig.upstream, fresh=False)
    straight_fresh = Client(rig.upstream, fresh=True)
    entry, entry_alone, entry_kept = (
        Client(address, fresh=False) for address in (witnessed, alone, kept)
    )
    reads = _time(
        seconds,
        lambda: straight_kept.fetch(*_READ),
        lambda: entry.fetch(*_READ),
    )
    orders = _time(
        seconds * 2,
        lambda: straight_fresh.fetch(*_ORDER, 'k'),
        lambda: entry.fetch(*_ORDER, witnessed_key()),
        lambda: entry_alone.fetch(*_ORDER, alone_key()),
        lambda: entry_kept.fetch(*_ORDER, kept_key()),
    )
    return [
        *_compare('read', reads[0], reads[1], 8),
        *_compare('order/witness', orders[0], orders[1], 8),
        *_compare('order/no-witness', orders[0], orders[2], 8),
        *_compare('order/witness/kept-connection', orders[0], orders[3]),
    ]


def _time(seconds: float, *calls: Callable[[], object]) -> list[list[float]]:
    """Return the times of calls that take turns."""
    times: list[list[float]] = [[] for _ in calls]
    for call in calls:
        call()
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        for taken, call in zip(times, calls, strict=True):
            started = time.perf_counter()
            call()
            taken.append(time.perf_counter() - started)
    return times


def _compare(
    name: str,
    straight: list[float],
    through: list[float],
    bound: float | None = None,
) -> list[Figure]:
    middle = statistics.median(straight)
    ours = statistics.median(through)
    added = (ours - middle) * _MILLISECONDS
    return [
        Figure(f'delivery/{name}/added-p50', added, 'ms'),
        Figure(f'delivery/{name}/ratio-p50', ours / middle, 'x', bound),
    ]


def _measure_drawing(rig: Rig) -> list[Figure]:
    address, _ = rig.open_entry(witness=False)
    straight = Client(rig.upstream, fresh=False)
    entry = Client(address, fresh=False)
    fetches = [
        lambda: straight.fetch(*_DRAWING),
        lambda: entry.fetch(*_DRAWING),
    ]
    times = _time(2, *fetches)
    peaks = [_find_peak(fetch) for fetch in fetches]
    extra = (peaks[1] - peaks[0]) / _MEGABYTE
    return [
        *_compare('drawing', *times, 4),
        Figure('delivery/drawing/peak-memory', extra, 'MB', 4),
    ]


def _find_peak(fetch: Callable[[], int]) -> int:
    """Return the most bytes that Python held more during a fetch."""
    tracemalloc.start()
    size = fetch()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if size < DRAWING_BYTES:
        raise AssertionError(f'drawing has {size} bytes')
    return peak


def _measure_rate(rig: Rig, seconds: float) -> list[Figure]:
    address, make_key = rig.open_entry(witness=True)
    return [
        Figure(
            f'delivery/rate/{name}',
            _count_rate(seconds, address, words, key),
            '1/s',
            100,
            Direction.AT_LEAST,
        )
        for name, words, key in (
            ('reads', _READ, str),
            ('orders', _ORDER, make_key),
        )
    ]


def _count_rate(
    seconds: float,
    address: tuple[str, int],
    words: tuple[str, str],
    make_key: Callable[[], str],
) -> float:
    counts: list[int] = []

    def call() -> None:
        client = Client(address, fresh=False)
        number = 0
        while time.perf_counter() < until:
            client.fetch(*words, make_key())
            number += 1
        counts.append(number)

    until = time.perf_counter() + seconds
    callers = [threading.Thread(target=call) for _ in range(_CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return sum(counts) / seconds


def _measure_hedging(rig: Rig, seed: int) -> list[Figure]:
    figures = []
    for name, budget in (('off', 0), ('on', 0.05)):
        statement = build_statement(rig.port, hedge_budget=budget)
        upstreams = UnevenUpstreams(seed)
        rig.statement = statement
        pipeline = rig.build_pipeline('a1', rig.home_peers, (), upstreams)
        times = [
            _time_read(pipeline, statement) for _ in range(_HEDGE_REQUESTS)
        ]
        cuts = statistics.quantiles(times, n=100)
        sent = upstreams.sent / _HEDGE_REQUESTS
        figures += [
            Figure(
                f'delivery/hedge-{name}/p50', cuts[49] * _MILLISECONDS, 'ms'
            ),
            Figure(
                f'delivery/hedge-{name}/p98', cuts[97] * _MILLISECONDS, 'ms'
            ),
            Figure(f'delivery/hedge-{name}/sent', sent, 'x', 1.06),
        ]
    return figures


def _time_read(pipeline, statement) -> float:
    started = time.perf_counter()
    request = Request(
        statement.kinds['check'],
        *_READ,
        deadline=time.monotonic() + 5,
    )
    b''.join(pipeline.deliver(request).chunks)
    return time.perf_counter() - started


def _measure_stop(rig: Rig) -> list[Figure]:
    """Time a planned stop that hands a thousand answers over."""
    life = rig.witness_peers.identity.incarnation
    pipeline = rig.build_pipeline(
        'a1',
        rig.home_peers,
        (('a2', life),),
        UnevenUpstreams(0, usual=0),
    )
    kind = rig.statement.kinds['place']
    for number in range(_STOP_ANSWERS):
        request = Request(kind, *_ORDER, body=b'%d' % number)
        pipeline.deliver(replace(request, deadline=time.monotonic() + 5))
    report = pipeline.stop(time.monotonic() + 5)
    return [
        Figure('delivery/stop/seconds', report.seconds, 's', 2),
        Figure('delivery/stop/handed', report.handed, ''),
    ]


def _measure_memory() -> list[Figure]:
    own = Identity('a2', 'life2')
    words = [
        f'a1.life1.1.a2.life2.nonce{number:016}' for number in range(_KEYS)
    ]
    record = Record(RecordLimits())
    record.open_epoch(1, own)
    witness = Witness(own, SystemClock())
    body = 300

    def fill_record() -> None:
        for number, word in enumerate(words):
            key = RequestKey.parse(word)
            entry, _ = record.admit(key, f'{number:032}', 0)
            kept = KeptAnswer(200, (('Load', '1/4'),), bytes(body))
            record.keep(entry, kept)

    def fill_witness() -> None:
        for word in words:
            witness.acknowledge(RequestKey.parse(word))

    return [
        Figure('delivery/record/key', _weigh(fill_record) - body, 'B', 1500),
        Figure('delivery/witness/key', _weigh(fill_witness), 'B', 400),
    ]


def _weigh(fill: Callable[[], None]) -> float:
    """Return the bytes that one key of a filled table holds."""
    tracemalloc.start()
    fill()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / _KEYS


if __name__ == '__main__':
    logging.disable(logging.WARNING)
    for figure in run(*(float(word) for word in sys.argv[1:2])):
        print(f'{figure.name} {figure.value:.3f} {figure.unit}')
