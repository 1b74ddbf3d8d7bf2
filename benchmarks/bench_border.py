"""Answers by offered load of one node on half a core.

Callers open a new connection for each request and leave after a second. The
curve of another source tree is measured beside it in the same run:
``python -m benchmarks.bench_border PATH``.
"""

import sys
import tempfile
from collections.abc import Iterator

from benchmarks._measurement import Direction, Measurement
from sesameroute.node.tests.press import Probes, pressing
from sesameroute.node.tests.pressed_node import (
    ADDRESS,
    REPOSITORY,
    running_node,
    sharing_one_core,
)

__all__ = ['measure_curve', 'run']

_RATES = (50, 100, 200, 400, 800, 1500, 3000)  # connections a second
_QUICK_RATES = (100, 800)
_SECONDS = 8
# Part of the highest rate that is left at any higher load.
_MIN_FRACTION = 0.8
_CONTACT_SECONDS = 3.0
_ANSWERED = '200'
_REFUSED = '503'


def measure_curve(
    source: object, rates: tuple[int, ...]
) -> Iterator[tuple[int, float, float, float]]:
    """Yield offered, served and refused a second, and the longest silence."""
    for rate in rates:
        with (
            tempfile.TemporaryDirectory() as folder,
            running_node(folder, source) as process,
            sharing_one_core(process),
            pressing(ADDRESS, rate, _SECONDS) as wait_for_end,
        ):
            probes = Probes(ADDRESS)
            outcomes = wait_for_end()
            longest = probes.stop()
        yield (
            rate,
            outcomes[_ANSWERED] / _SECONDS,
            outcomes[_REFUSED] / _SECONDS,
            longest,
        )


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements; the seed has no effect on a real node."""
    return list(_measure(seed, _QUICK_RATES if quick else _RATES))


def _measure(seed: int, rates: tuple[int, ...]) -> Iterator[Measurement]:
    highest: float = 0
    for rate, served, refused, longest in measure_curve(REPOSITORY, rates):
        name = f'border/{seed}/{rate}'
        highest = max(highest, served)
        yield Measurement(
            f'{name}/served',
            served,
            'per s',
            _MIN_FRACTION * highest,
            Direction.AT_LEAST,
        )
        yield Measurement(f'{name}/refused', refused, 'per s')
        yield Measurement(f'{name}/silence', longest, 's', _CONTACT_SECONDS)


def main(sources: list[str]) -> None:
    """Print the curve of each source tree."""
    for source in (*sources, str(REPOSITORY)):
        print(source)
        for row in measure_curve(source, _RATES):
            print('{0:6d} {1:8.1f} {2:8.1f} {3:8.2f}'.format(*row), flush=True)


if __name__ == '__main__':
    main(sys.argv[1:])
