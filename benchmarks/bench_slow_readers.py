"""Memory of a node whose callers hardly read their long answers.

Another source tree is measured beside this one in the same run:
``python -m benchmarks.bench_slow_readers PATH``.
"""

import contextlib
import socket
import sys
import tempfile
import time
from collections import Counter
from http.client import HTTPException, HTTPResponse
from pathlib import Path

from benchmarks._callers import build_request, list_sources
from benchmarks._measurement import Direction, Measurement
from sesameroute.node.tests.press import ask
from sesameroute.node.tests.pressed_node import (
    ADDRESS,
    REPOSITORY,
    running_node,
)

__all__ = ['measure_memory', 'run']

_READERS = 500
_BODY_BYTES = 540_000
_BUFFER_BYTES = 4096  # of a caller, so that the kernel takes little
_STEP_SECONDS = 0.01
_SECONDS = 6
_PROBES = 20
_KIBIBYTES_PER_MEGABYTE = 1024
_MAX_MEGABYTES = 64
_MIN_ANSWERED = 0.9
_OK = 200
_DEADLINE_MILLISECONDS = 9000


def _read_peak(process: object) -> float:
    """Return the peak of a process's memory in MB."""
    text = Path(f'/proc/{process.pid}/status').read_text('utf-8')
    line = next(line for line in text.splitlines() if 'VmHWM' in line)
    return int(line.split()[1]) / _KIBIBYTES_PER_MEGABYTE


def _open_reader(number: int) -> socket.socket:
    reader = socket.socket()
    reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    reader.connect(ADDRESS)
    reader.sendall(build_request(number, number, _DEADLINE_MILLISECONDS))
    return reader


def _read_status(reader: socket.socket) -> int:
    """Return the status of an answer; 0 if it is cut."""
    reader.settimeout(_SECONDS)
    try:
        with HTTPResponse(reader) as answer:
            answer.begin()
            answer.read()
            return answer.status
    except (OSError, HTTPException):
        return 0


def measure_memory(source: object) -> tuple[float, float, Counter[int]]:
    """Return MB over idle, the part of others that are served, statuses."""
    with contextlib.ExitStack() as ending:
        folder = ending.enter_context(tempfile.TemporaryDirectory())
        process = ending.enter_context(
            running_node(folder, source, body='x' * _BODY_BYTES)
        )
        ask(ADDRESS)
        idle = _read_peak(process)
        readers = []
        for number in range(_READERS):
            readers.append(ending.enter_context(_open_reader(number)))
            time.sleep(_STEP_SECONDS)
        answered = [ask(ADDRESS) for _ in range(_PROBES)]
        time.sleep(_SECONDS)
        peak = _read_peak(process)
        statuses = Counter(map(_read_status, readers))
    return peak - idle, answered.count(_OK) / _PROBES, statuses


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements; neither argument has an effect."""
    megabytes, answered, _ = measure_memory(REPOSITORY)
    name = f'slow-readers/{seed}'
    return [
        Measurement(f'{name}/memory', megabytes, 'MB', _MAX_MEGABYTES),
        Measurement(
            f'{name}/others', answered, '', _MIN_ANSWERED, Direction.AT_LEAST
        ),
    ]


def main(sources: list[str]) -> None:
    """Print the figures of each source tree."""
    for source in list_sources(sources):
        megabytes, answered, statuses = measure_memory(source)
        print(source, f'{megabytes:.1f} MB', answered, dict(statuses))


if __name__ == '__main__':
    main(sys.argv[1:])
