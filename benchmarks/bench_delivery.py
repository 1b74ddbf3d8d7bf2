"""Delivery: added latency, request rates, hedging, planned stop and memory.

Callers, entry VM, witness and upstream share one process and its global
interpreter lock, so that an entry VM adds more latency than on a machine of its
own. Ratios compare requests that alternate within one run.
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

from benchmarks._delivery_deployment import (
    DRAWING_BYTES,
    Client,
    DeliveryDeployment,
    build_statement,
)
from benchmarks._measurement import Direction, Measurement
from sesameroute.adapters import HttpUpstreams
from sesameroute.delivery import ProcessIdentity, RecordLimits, RequestKey
from sesameroute.delivery._record import Record
from sesameroute.delivery._record_entry import StoredAnswer
from sesameroute.delivery._witness import Witness
from sesameroute.ports import Answer, Request, SystemClock, TcpWire

__all__ = ['run']

_READ = ('GET', '/desk/check/1')
_ORDER = ('POST', '/desk/place/1')
_DRAWING = ('GET', '/desk/draw/1')
_MILLISECONDS = 1000
_COMPARISON_SECONDS = 3  # of each comparison
_QUICK_COMPARISON_SECONDS = 1
_MEGABYTE = 1_000_000
_CALLER_COUNT = 4
_KEY_COUNT = 20_000
# Time of a slow and of a usual answer, and the fraction of slow answers.
_SLOW_SECONDS = 0.1
_USUAL_SECONDS = 0.004
_SLOW_FRACTION = 0.03
_HEDGE_REQUEST_COUNT = 400
_STOP_ANSWER_COUNT = 1000


class PersistentUpstreams(HttpUpstreams):
    """Sends all requests on persistent connections, also orders."""

    def send(self, upstream, request, *, new_connection):
        """Send on a persistent connection, even if a new one is asked for."""
        return super().send(upstream, request, new_connection=False)


class VariableUpstreams:
    """Upstreams that answer some requests slowly."""

    def __init__(
        self, seed: int, usual_seconds: float = _USUAL_SECONDS
    ) -> None:
        """Store the parameters; no answer is slow if the usual time is 0."""
        self.rng = random.Random(seed)
        self.usual_seconds = usual_seconds
        self.sent_count = 0

    def send(self, upstream, request, *, new_connection):
        """Sleep for the time of the answer and return it."""
        self.sent_count += 1
        is_slow = self.usual_seconds and self.rng.random() < _SLOW_FRACTION
        time.sleep(_SLOW_SECONDS if is_slow else self.usual_seconds)
        return Answer(200, (), iter((b'ok',)), 2)

    def cancel(self, upstream, key):
        """Do nothing: a cancelled request sleeps to its end."""


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements of delivery.

    Parameters
    ----------
    seed : int
        Seed that decides which answers are slow.
    quick : bool
        Whether to run shorter comparisons.

    """
    seconds = _QUICK_COMPARISON_SECONDS if quick else _COMPARISON_SECONDS
    deployment = DeliveryDeployment()
    deployment.start()
    measurements: list[Measurement] = []
    with ExitStack() as stack:
        stack.callback(deployment.stop)
        measurements += _measure_paths(deployment, seconds)
        measurements += _measure_drawing(deployment)
        measurements += _measure_rate(deployment, seconds)
        measurements += _measure_hedging(deployment, seed)
        measurements += _measure_stop(deployment)
    return measurements + _measure_memory()


def _measure_paths(
    deployment: DeliveryDeployment, seconds: float
) -> list[Measurement]:
    witness_address, make_witness_key = deployment.open_entry(witness=True)
    no_witness_address, make_no_witness_key = deployment.open_entry(
        witness=False
    )
    persistent_upstreams = PersistentUpstreams(
        TcpWire(), '127.61.0.1', SystemClock()
    )
    persistent_address, make_persistent_key = deployment.open_entry(
        witness=True, upstreams=persistent_upstreams
    )
    direct_persistent = Client(deployment.upstream, new_connection=False)
    direct_fresh = Client(deployment.upstream, new_connection=True)
    entry, entry_no_witness, entry_persistent = (
        Client(address, new_connection=False)
        for address in (witness_address, no_witness_address, persistent_address)
    )
    reads = _time_alternately(
        seconds,
        lambda: direct_persistent.fetch(*_READ),
        lambda: entry.fetch(*_READ),
    )
    orders = _time_alternately(
        seconds * 2,
        lambda: direct_fresh.fetch(*_ORDER, 'k'),
        lambda: entry.fetch(*_ORDER, make_witness_key()),
        lambda: entry_no_witness.fetch(*_ORDER, make_no_witness_key()),
        lambda: entry_persistent.fetch(*_ORDER, make_persistent_key()),
    )
    return [
        *_compare('read', reads[0], reads[1], 8),
        *_compare('order/witness', orders[0], orders[1], 8),
        *_compare('order/no-witness', orders[0], orders[2], 8),
        *_compare('order/witness/kept-connection', orders[0], orders[3]),
    ]


def _time_alternately(
    seconds: float, *calls: Callable[[], object]
) -> list[list[float]]:
    """Return the durations in seconds of calls that alternate."""
    times: list[list[float]] = [[] for _ in calls]
    for call in calls:
        call()
    ends_at = time.perf_counter() + seconds
    while time.perf_counter() < ends_at:
        for durations, call in zip(times, calls, strict=True):
            started = time.perf_counter()
            call()
            durations.append(time.perf_counter() - started)
    return times


def _compare(
    name: str,
    direct_times: list[float],
    entry_times: list[float],
    bound: float | None = None,
) -> list[Measurement]:
    direct_median = statistics.median(direct_times)
    entry_median = statistics.median(entry_times)
    added_ms = (entry_median - direct_median) * _MILLISECONDS
    return [
        Measurement(f'delivery/{name}/added-p50', added_ms, 'ms'),
        Measurement(
            f'delivery/{name}/ratio-p50',
            entry_median / direct_median,
            'x',
            bound,
        ),
    ]


def _measure_drawing(deployment: DeliveryDeployment) -> list[Measurement]:
    address, _ = deployment.open_entry(witness=False)
    direct = Client(deployment.upstream, new_connection=False)
    entry = Client(address, new_connection=False)
    fetches = [
        lambda: direct.fetch(*_DRAWING),
        lambda: entry.fetch(*_DRAWING),
    ]
    times = _time_alternately(2, *fetches)
    peaks = [_measure_peak_bytes(fetch) for fetch in fetches]
    extra_megabytes = (peaks[1] - peaks[0]) / _MEGABYTE
    return [
        *_compare('drawing', *times, 4),
        Measurement('delivery/drawing/peak-memory', extra_megabytes, 'MB', 4),
    ]


def _measure_peak_bytes(fetch: Callable[[], int]) -> int:
    """Return the peak of the bytes that Python allocates during a fetch."""
    tracemalloc.start()
    size = fetch()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if size < DRAWING_BYTES:
        raise AssertionError(f'answer truncated: got {size} bytes')
    return peak


def _measure_rate(
    deployment: DeliveryDeployment, seconds: float
) -> list[Measurement]:
    address, make_key = deployment.open_entry(witness=True)
    return [
        Measurement(
            f'delivery/rate/{name}',
            _count_rate(seconds, address, request_line, make_request_key),
            '1/s',
            100,
            Direction.AT_LEAST,
        )
        for name, request_line, make_request_key in (
            ('reads', _READ, str),
            ('orders', _ORDER, make_key),
        )
    ]


def _count_rate(
    seconds: float,
    address: tuple[str, int],
    request_line: tuple[str, str],
    make_key: Callable[[], str],
) -> float:
    counts: list[int] = []

    def call() -> None:
        client = Client(address, new_connection=False)
        number = 0
        while time.perf_counter() < ends_at:
            client.fetch(*request_line, make_key())
            number += 1
        counts.append(number)

    ends_at = time.perf_counter() + seconds
    callers = [threading.Thread(target=call) for _ in range(_CALLER_COUNT)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return sum(counts) / seconds


def _measure_hedging(
    deployment: DeliveryDeployment, seed: int
) -> list[Measurement]:
    measurements = []
    for name, budget in (('off', 0), ('on', 0.05)):
        statement = build_statement(deployment.port, hedge_budget=budget)
        upstreams = VariableUpstreams(seed)
        deployment.statement = statement
        pipeline = deployment.build_pipeline(
            'a1', deployment.entry_peers, (), upstreams
        )
        times = [
            _time_read(pipeline, statement) for _ in range(_HEDGE_REQUEST_COUNT)
        ]
        percentiles = statistics.quantiles(times, n=100)
        sent_ratio = upstreams.sent_count / _HEDGE_REQUEST_COUNT
        measurements += [
            Measurement(
                f'delivery/hedge-{name}/p50',
                percentiles[49] * _MILLISECONDS,
                'ms',
            ),
            Measurement(
                f'delivery/hedge-{name}/p98',
                percentiles[97] * _MILLISECONDS,
                'ms',
            ),
            Measurement(f'delivery/hedge-{name}/sent', sent_ratio, 'x', 1.06),
        ]
    return measurements


def _time_read(pipeline, statement) -> float:
    started = time.perf_counter()
    request = Request(
        statement.kinds['check'],
        *_READ,
        deadline=time.monotonic() + 5,
    )
    b''.join(pipeline.deliver(request).chunks)
    return time.perf_counter() - started


def _measure_stop(deployment: DeliveryDeployment) -> list[Measurement]:
    """Measure a planned stop that hands over a thousand answers."""
    witness_incarnation = deployment.witness_peers.identity.incarnation
    pipeline = deployment.build_pipeline(
        'a1',
        deployment.entry_peers,
        (('a2', witness_incarnation),),
        VariableUpstreams(0, usual_seconds=0),
    )
    kind = deployment.statement.kinds['place']
    for number in range(_STOP_ANSWER_COUNT):
        request = Request(kind, *_ORDER, body=b'%d' % number)
        pipeline.deliver(replace(request, deadline=time.monotonic() + 5))
    report = pipeline.stop(time.monotonic() + 5)
    return [
        Measurement('delivery/stop/seconds', report.seconds, 's', 2),
        Measurement('delivery/stop/handed', report.handed_over, ''),
    ]


def _measure_memory() -> list[Measurement]:
    witness_identity = ProcessIdentity('a2', 'life2')
    key_texts = [
        f'a1.life1.1.a2.life2.nonce{number:016}' for number in range(_KEY_COUNT)
    ]
    record = Record(RecordLimits())
    record.open_epoch(1, witness_identity)
    witness = Witness(witness_identity, SystemClock())
    body_bytes = 300

    def fill_record() -> None:
        for number, key_text in enumerate(key_texts):
            key = RequestKey.parse(key_text)
            entry, _ = record.admit(key, f'{number:032}', 0)
            stored_answer = StoredAnswer(
                200, (('Load', '1/4'),), bytes(body_bytes)
            )
            record.store_answer(entry, stored_answer)

    def fill_witness() -> None:
        for key_text in key_texts:
            witness.acknowledge(RequestKey.parse(key_text))

    return [
        Measurement(
            'delivery/record/key',
            _measure_bytes_per_key(fill_record) - body_bytes,
            'B',
            1500,
        ),
        Measurement(
            'delivery/witness/key',
            _measure_bytes_per_key(fill_witness),
            'B',
            400,
        ),
    ]


def _measure_bytes_per_key(fill: Callable[[], None]) -> float:
    """Return the bytes allocated for each key of a filled table."""
    tracemalloc.start()
    fill()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / _KEY_COUNT


if __name__ == '__main__':
    logging.disable(logging.WARNING)
    for measurement in run(*(float(argument) for argument in sys.argv[1:2])):
        print(f'{measurement.name} {measurement.value:.3f} {measurement.unit}')
