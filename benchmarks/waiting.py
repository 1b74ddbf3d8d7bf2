"""Prints what is on time at 0.5 to 5 times the room, by kind of request."""

import sys

from sesameroute.placement.tests import hard_load

LOADS = (0.5, 1, 1.5, 2, 3, 5)
MIXES = ('LESSONS', 'CATALOGUE', 'LOOKUPS')
SEED = 1


def main():
    """Print a table, in Markdown."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    print('| mix | kind |', ' | '.join(map(str, LOADS)), '|')
    print('|---|---|{0}'.format('---|' * len(LOADS)))
    for mix in MIXES:
        kinds = getattr(hard_load, mix)
        plays = [
            (load, hard_load.play(kinds, load, seed=seed)) for load in LOADS
        ]
        for kind in kinds:
            cells = (
                f'{played.compute_share(kind=kind.name):.2f}'
                f' {played.compute_share("late", kind=kind.name):.2f}'
                for _, played in plays
            )
            print(f'| {mix} | {kind.name} |', ' | '.join(cells), '|')
        for name, compute in list_rows():
            cells = (f'{compute(*each):.2f}' for each in plays)
            print(f'| {mix} | {name} |', ' | '.join(cells), '|')


def list_rows():
    """Yield the name of each row, and the function of load and play."""
    yield 'of the room', lambda load, played: load * played.compute_share()
    yield 'worth', lambda _load, played: played.compute_worth()
    yield 'held in vain', lambda _load, played: compute_held(played)
    yield 'wasted', lambda _load, played: played.wasted


def compute_held(played):
    """Return the fraction of the callers held for long that are refused."""
    in_vain = played.count_held(was_served=False)
    return in_vain / max(in_vain + played.count_held(was_served=True), 1)


if __name__ == '__main__':
    main()
