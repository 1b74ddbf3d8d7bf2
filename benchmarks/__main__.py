"""Runs every benchmark and compares its figures with bound and last value.

python -m benchmarks              all, compared
python -m benchmarks --quick      a shorter version of each
python -m benchmarks --only bench_steering
python -m benchmarks --write      keeps the figures for the next commit
"""

import importlib
import json
import pathlib
import pkgutil
import sys
from collections.abc import Iterator

from absl import app, flags

import benchmarks
from benchmarks._figure import Direction, Figure

__all__ = ['describe_figure', 'main', 'read_results', 'write_results']

_RESULTS = pathlib.Path(__file__).parent / 'results'
_PREFIX = 'bench_'

_QUICK = flags.DEFINE_bool('quick', default=False, help='Shorter runs.')
_WRITE = flags.DEFINE_bool('write', default=False, help='Keep the figures.')
_ONLY = flags.DEFINE_multi_string('only', [], 'Only this benchmark.')
_COMMIT = flags.DEFINE_string('commit', '', 'Commit that --write names.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of every benchmark.')


def list_benchmarks() -> Iterator[str]:
    """Yield the names of the benchmarks to run."""
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name.startswith(_PREFIX):
            if not _ONLY.value or module.name in _ONLY.value:
                yield module.name


def read_results(name: str) -> dict[str, float]:
    """Return the last committed values by name of figure."""
    path = _RESULTS / f'{name}.json'
    if not path.exists():
        return {}
    return json.loads(path.read_text(encoding='utf-8'))['figures']


def write_results(name: str, figures: list[Figure]) -> None:
    """Keep values together with the commit they were measured on."""
    _RESULTS.mkdir(exist_ok=True)
    kept = {
        'commit': _COMMIT.value,
        'seed': _SEED.value,
        'figures': {figure.name: figure.value for figure in figures},
    }
    text = json.dumps(kept, indent=1)
    (_RESULTS / f'{name}.json').write_text(f'{text}\n', encoding='utf-8')


def describe_figure(figure: Figure, last: float | None) -> str:
    """Return a figure beside its bound and its last value.

    Examples
    --------
    >>> describe_figure(Figure('p99', 12.0, 'ms', bound=20), 11.0).split()
    ['p99', '12', 'ms', '<=', '20', 'was', '11']

    """
    bound = ''
    if figure.bound is not None:
        sign = '<=' if figure.direction is Direction.AT_MOST else '>='
        bound = f'{sign} {figure.bound:g}'
    before = '' if last is None else f'was {last:.4g}'
    missed = '' if figure.is_met else '  MISSED'
    value = f'{figure.value:.4g} {figure.unit}'
    return f'{figure.name:52} {value:>20} {bound:>12} {before:>14}{missed}'


def run_benchmark(name: str) -> list[Figure]:
    """Run one benchmark and print its figures."""
    module = importlib.import_module(f'benchmarks.{name}')
    last = read_results(name)
    figures = []
    for figure in module.run(seed=_SEED.value, quick=_QUICK.value):
        figures.append(figure)
        print(describe_figure(figure, last.get(figure.name)), flush=True)
    return figures


def main(_arguments: list[str]) -> int:
    """Run all benchmarks; return 1 when a bound was missed."""
    missed = []
    for name in list_benchmarks():
        print(f'== {name}')
        figures = run_benchmark(name)
        missed += [figure.name for figure in figures if not figure.is_met]
        if _WRITE.value:
            write_results(name, figures)
    for missing in missed:
        print(f'missed bound: {missing}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.modules['__main__'].__doc__ = __doc__
    app.run(main)
