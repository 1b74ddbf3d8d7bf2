"""Cost of an idle node by the number of its peers.

The figures of another source tree are measured by the same program:
``python -m benchmarks.bench_peers PATH``.
"""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from benchmarks._measurement import Measurement

__all__ = ['run']

_PROGRAM = Path(__file__).with_name('_idle_node.py')
_REPOSITORY = _PROGRAM.parents[1]
_PEER_COUNTS = (6, 30, 77, 139, 299)
_QUICK_PEER_COUNTS = (6, 30)
_SECONDS = 10
_MAX_THREADS = 40  # of an idle node with 139 peers
_UNITS = (
    ('threads', ''),
    ('core', 'cores'),
    ('bytes', 'B/s'),
    ('far-bytes', 'B/s'),
    ('memory', 'B'),
)


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements; the seed has no effect on real nodes."""
    return list(_measure(_QUICK_PEER_COUNTS if quick else _PEER_COUNTS))


def measure_node(source: str, count: int) -> dict[str, float]:
    """Return the cost of a node of a source tree with some peers."""
    with (
        _running(source, 'peers', str(count)) as peers,
        _running(source, 'node', str(count), str(_SECONDS)) as node,
    ):
        node.stdin.write(peers.stdout.readline())
        node.stdin.flush()
        # The node goes on until it is ended, so that no stream closes.
        return json.loads(_read_object(node))


def _read_object(process: subprocess.Popen[str]) -> str:
    text = ''
    while not text.endswith('}'):
        text += process.stdout.read(1)
    return text


@contextmanager
def _running(source: str, *arguments: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, str(_PROGRAM), *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
        env={
            **os.environ,
            'PYTHONPATH': source,
            'PYTHONDONTWRITEBYTECODE': '1',
        },
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def _measure(counts: tuple[int, ...]) -> Iterator[Measurement]:
    for count in counts:
        measured = measure_node(str(_REPOSITORY), count)
        for name, unit in _UNITS:
            bound = _MAX_THREADS if name == 'threads' else None
            yield Measurement(
                f'peers/{count}/{name}', measured[name], unit, bound
            )


def main(sources: list[str]) -> None:
    """Print the figures of each source tree."""
    for source in (*sources, str(_REPOSITORY)):
        for count in _PEER_COUNTS:
            print(source, count, measure_node(source, count), flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
