"""Runs all benchmarks and compares the results with bounds and last values.

python -m benchmarks              all benchmarks
python -m benchmarks --quick      a shorter version of each
python -m benchmarks --only bench_steering
python -m benchmarks --write      stores the results as the new last values
"""

import importlib
import json
import pathlib
import pkgutil
import sys
from collections.abc import Iterator

from absl import app, flags

import benchmarks
from benchmarks._measurement import Direction, Measurement

__all__ = ['describe_measurement', 'main', 'read_results', 'write_results']

_RESULTS_DIRECTORY = pathlib.Path(__file__).parent / 'results'
_MODULE_PREFIX = 'bench_'

_QUICK = flags.DEFINE_bool('quick', default=False, help='Run shorter versions.')
_WRITE = flags.DEFINE_bool('write', default=False, help='Store the results.')
_ONLY = flags.DEFINE_multi_string('only', [], 'Run only this benchmark.')
_COMMIT = flags.DEFINE_string(
    'commit', '', 'Commit that --write stores with the results.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'Random seed.')


def list_benchmarks() -> Iterator[str]:
    """Yield the module names of the benchmarks to run."""
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name.startswith(_MODULE_PREFIX):
            if not _ONLY.value or module.name in _ONLY.value:
                yield module.name


def read_results(name: str) -> dict[str, float]:
    """Return the stored values of a benchmark by measurement name."""
    path = _RESULTS_DIRECTORY / f'{name}.json'
    if not path.exists():
        return {}
    return json.loads(path.read_text(encoding='utf-8'))['figures']


def write_results(name: str, measurements: list[Measurement]) -> None:
    """Store values with the seed and the commit that were measured."""
    _RESULTS_DIRECTORY.mkdir(exist_ok=True)
    document = {
        'commit': _COMMIT.value,
        'seed': _SEED.value,
        'figures': {
            measurement.name: measurement.value for measurement in measurements
        },
    }
    text = json.dumps(document, indent=1)
    (_RESULTS_DIRECTORY / f'{name}.json').write_text(
        f'{text}\n', encoding='utf-8'
    )


def describe_measurement(
    measurement: Measurement, last_value: float | None
) -> str:
    """Return a measurement with its bound and its last value as a line.

    Examples
    --------
    >>> describe_measurement(
    ...     Measurement('p99', 12.0, 'ms', bound=20), 11.0
    ... ).split()
    ['p99', '12', 'ms', '<=', '20', 'was', '11']

    """
    bound = ''
    if measurement.bound is not None:
        operator = '<=' if measurement.direction is Direction.AT_MOST else '>='
        bound = f'{operator} {measurement.bound:g}'
    was = '' if last_value is None else f'was {last_value:.4g}'
    mark = '' if measurement.is_met else '  MISSED'
    value_text = f'{measurement.value:.4g} {measurement.unit}'
    return f'{measurement.name:52} {value_text:>20} {bound:>12} {was:>14}{mark}'


def run_benchmark(name: str) -> list[Measurement]:
    """Run one benchmark and print its measurements."""
    module = importlib.import_module(f'benchmarks.{name}')
    last_values = read_results(name)
    measurements = []
    for measurement in module.run(seed=_SEED.value, quick=_QUICK.value):
        measurements.append(measurement)
        print(
            describe_measurement(
                measurement, last_values.get(measurement.name)
            ),
            flush=True,
        )
    return measurements


def main(_arguments: list[str]) -> int:
    """Run the benchmarks; return 1 if a measurement is out of bounds."""
    missed_names = []
    for name in list_benchmarks():
        print(f'== {name}')
        measurements = run_benchmark(name)
        missed_names += [
            measurement.name
            for measurement in measurements
            if not measurement.is_met
        ]
        if _WRITE.value:
            write_results(name, measurements)
    for missed_name in missed_names:
        print(f'missed bound: {missed_name}')
    return 1 if missed_names else 0


if __name__ == '__main__':
    sys.modules['__main__'].__doc__ = __doc__
    app.run(main)
