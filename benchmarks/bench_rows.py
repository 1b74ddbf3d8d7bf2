"""Latency of rows of reads on one connection, beside that of single reads.

Another source tree is measured beside this one in the same run:
``python -m benchmarks.bench_rows PATH``.
"""

import itertools
import socket
import statistics
import sys
import tempfile
import threading
import time
from http.client import HTTPResponse

from benchmarks._callers import build_request, list_sources
from benchmarks._measurement import Measurement
from sesameroute.node.tests.pressed_node import (
    ADDRESS,
    REPOSITORY,
    running_node,
)

__all__ = ['measure_latency', 'run']

_PER_SECOND = 200
_ROW = 8
_CONNECTIONS = 16
_SECONDS = 6
_QUICK_SECONDS = 2
_WORK_SECONDS = 0.03
_MAX_RATIO = 1.2
_TIMEOUT_SECONDS = 5
_OK = 200
_DEADLINE_MILLISECONDS = 1000
_KEYS = 24


class _Caller:
    """Sends rows at a fixed rate on one connection."""

    def __init__(self, size: int, first_at: float, ends_at: float) -> None:
        self.size = size
        self.first_at = first_at
        self.ends_at = ends_at
        self.latencies: list[float] = []
        self.failed = 0
        self.thread = threading.Thread(target=self._run)

    def makefile(self, _mode: str) -> object:
        """Give all answers the same buffered reader."""
        return self.reader

    def _run(self) -> None:
        interval = self.size * _CONNECTIONS / _PER_SECOND
        with socket.create_connection(ADDRESS, _TIMEOUT_SECONDS) as sock:
            self.sock = sock
            self.reader = sock.makefile('rb')
            self.reader.close = bool
            for number in itertools.count():
                due = self.first_at + number * interval
                if due > self.ends_at:
                    return
                time.sleep(max(due - time.monotonic(), 0))
                self._send_row(number)

    def _send_row(self, number: int) -> None:
        names = [f'{id(self)}-{number}-{place}' for place in range(self.size)]
        row = b''.join(
            build_request(name, hash(name) % _KEYS, _DEADLINE_MILLISECONDS)
            for name in names
        )
        sent_at = time.monotonic()
        self.sock.sendall(row)
        for _ in names:
            answer = HTTPResponse(self)
            answer.begin()
            answer.read()
            self.failed += answer.status != _OK
            self.latencies.append(time.monotonic() - sent_at)


def measure_latency(
    source: object, size: int, seconds: float
) -> tuple[float, int]:
    """Return the median latency in seconds of rows, and failed requests."""
    with (
        tempfile.TemporaryDirectory() as folder,
        running_node(folder, source, work_seconds=_WORK_SECONDS),
    ):
        now = time.monotonic()
        step = size / _PER_SECOND
        callers = [
            _Caller(size, now + step * place, now + seconds)
            for place in range(_CONNECTIONS)
        ]
        for caller in callers:
            caller.thread.start()
        for caller in callers:
            caller.thread.join()
    latencies = [each.latencies for each in callers]
    failed = sum(each.failed for each in callers)
    return statistics.median(itertools.chain(*latencies)), failed


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements; the seed has no effect on a real node."""
    seconds = _QUICK_SECONDS if quick else _SECONDS
    single, _ = measure_latency(REPOSITORY, 1, seconds)
    row, failed = measure_latency(REPOSITORY, _ROW, seconds)
    name = f'rows/{seed}'
    return [
        Measurement(f'{name}/ratio', row / single, '', _MAX_RATIO),
        Measurement(f'{name}/failed', failed, ''),
    ]


def main(sources: list[str]) -> None:
    """Print medians and failures of each source tree."""
    for source in list_sources(sources):
        for size in (1, _ROW):
            median, failed = measure_latency(source, size, _SECONDS)
            print(source, size, f'{median:.4f} s', failed, flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
