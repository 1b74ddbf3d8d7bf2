"""Objects that change their server when servers come or go, by policy.

See docs/design/placement.md; every object is asked for equally often.
"""

from collections import Counter
from collections.abc import Iterator, Mapping

from benchmarks._hash_policies import POLICIES
from benchmarks._measurement import Measurement

__all__ = ['measure_moves', 'run']

Change = tuple[str, dict[str, int]]

_OBJECT_COUNT = 2000
_SERVER_COUNT = 20
_MAX_MOVED_RATIO = 1.1
_MAX_BUSIEST_RATIO = 1.15
_KEPT_POLICY = 'the same, kept within a bound'


def list_changes(
    sizes: Mapping[str, int],
) -> Iterator[Change]:
    """Yield changes of the servers: a name, and the sizes after it."""
    biggest = max(sizes.values())
    new = {f'new-{number}': biggest for number in range(_SERVER_COUNT)}
    added = _SERVER_COUNT * 3 // 10
    yield 'one added', {**sizes, 'new-0': biggest}
    yield 'one lost', dict(list(sizes.items())[:-1])
    yield '30% added', {**sizes, **dict(list(new.items())[:added])}


def measure_moves(
    policy: str, before: Mapping[str, int], after: Mapping[str, int]
) -> tuple[float, float]:
    """Return the moved share and the busiest server over the mean by size.

    The moved share is relative to the least possible.
    """
    assign = POLICIES[policy]
    keys = [f'k{number}' for number in range(_OBJECT_COUNT)]
    homes = assign(keys, before, {})
    new_homes = assign(keys, after, homes)
    moved = sum(homes[key] != new_homes[key] for key in keys)
    lost = sum(home not in after for home in homes.values())
    part = sum(after.values()) / _OBJECT_COUNT
    gained = sum(
        size for name, size in after.items() if name not in before
    ) / sum(after.values())
    counts = Counter(new_homes.values())
    busiest = max(counts[name] / size * part for name, size in after.items())
    return moved / max(lost, gained * _OBJECT_COUNT), busiest


def list_results() -> Iterator[tuple[str, str, float, float]]:
    """Yield policy, case, moved share and busiest server over the mean."""
    names = [f's-{number}' for number in range(_SERVER_COUNT)]
    equal = dict.fromkeys(names, 3)
    uneven = {name: 1 + place % 4 for place, name in enumerate(names)}
    for label, sizes in (('equal', equal), ('1 to 4', uneven)):
        for change, after in list_changes(sizes):
            for policy in POLICIES:
                moved, busiest = measure_moves(policy, sizes, after)
                yield policy, f'{label}, {change}', moved, busiest


def run(seed: int = 1, *, quick: bool = False) -> list[Measurement]:
    """Return the measurements, with bounds for the policy that is used."""
    measurements = []
    for policy, case, moved, busiest in list_results():
        is_used = policy == _KEPT_POLICY
        prefix = f'moves/{case}/{policy}'
        measurements.append(
            Measurement(
                f'{prefix}/moved',
                moved,
                'of the least possible',
                _MAX_MOVED_RATIO if is_used else None,
            )
        )
        measurements.append(
            Measurement(
                f'{prefix}/busiest',
                busiest,
                'of the mean',
                _MAX_BUSIEST_RATIO if is_used else None,
            )
        )
    return measurements


def print_table() -> None:
    """Print the results of all policies."""
    for policy, case, moved, busiest in list_results():
        print(f'{case:20} {policy:30} {moved:5.2f} {busiest:5.2f}')


if __name__ == '__main__':
    print_table()
