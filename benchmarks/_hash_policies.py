"""Ways to assign objects to servers of different sizes, for comparison."""

from collections.abc import Mapping

from sesameroute.placement import hash_key, rank_by_weight

__all__ = ['POLICIES']

Sizes = Mapping[str, int]
Homes = dict[str, str]

_LOAD_BOUND = 1.15  # largest number of objects, relative to a server's part
_POINTS_PER_SLOT = 40  # on the ring
_TABLE_SIZE = 16381  # entries of Maglev's table; a prime
_HASH_RANGE = 1 << 64
_JUMP_FACTOR = 2862933555777941757
_JUMP_SHIFT = 33
_JUMP_RANGE = 1 << 31


def assign_by_hash(keys: list[str], sizes: Sizes, _before: Homes) -> Homes:
    """Rendezvous hashing without weights: the build before."""
    equal = dict.fromkeys(sizes, 1)
    return {key: rank_by_weight(key, equal)[0] for key in keys}


def assign_by_weight(keys: list[str], sizes: Sizes, _before: Homes) -> Homes:
    """Rendezvous hashing with weights."""
    return {key: rank_by_weight(key, sizes)[0] for key in keys}


def assign_within_bound(keys: list[str], sizes: Sizes, before: Homes) -> Homes:
    """Weighted rendezvous hashing; objects stay on servers within a bound."""
    limits = _compute_limits(keys, sizes)
    homes: Homes = {}
    counts = dict.fromkeys(sizes, 0)
    for key in keys:
        order = rank_by_weight(key, sizes)
        if _stays(key, order, before):
            order.insert(0, before[key])
        home = next(name for name in order if counts[name] + 1 <= limits[name])
        counts[home] += 1
        homes[key] = home
    return homes


def assign_by_ring(keys: list[str], sizes: Sizes, _before: Homes) -> Homes:
    """A ring with points by size and bounded loads."""
    limits = _compute_limits(keys, sizes)
    ring = sorted(
        (hash_key(f'{name}#{number}'), name)
        for name, size in sizes.items()
        for number in range(size * _POINTS_PER_SLOT)
    )
    homes: Homes = {}
    counts = dict.fromkeys(sizes, 0)
    for key in keys:
        position = hash_key(key)
        after = [point for point in ring if point[0] >= position]
        home = next(
            name for _, name in after + ring if counts[name] + 1 <= limits[name]
        )
        counts[home] += 1
        homes[key] = home
    return homes


def assign_by_maglev(keys: list[str], sizes: Sizes, _before: Homes) -> Homes:
    """Maglev's table, where a server has as many turns as slots."""
    table: list[str] = ['' for _entry in range(_TABLE_SIZE)]
    turns = [
        [name, hash_key(f'o{name}'), 1 + hash_key(f's{name}') % 16380]
        for name, size in sorted(sizes.items())
        for _ in range(size)
    ]
    steps = dict.fromkeys(sizes, 0)
    filled = 0
    while filled < _TABLE_SIZE:
        for name, offset, skip in turns[: _TABLE_SIZE - filled]:
            entry = (offset + steps[name] * skip) % _TABLE_SIZE
            while table[entry]:
                steps[name] += 1
                entry = (offset + steps[name] * skip) % _TABLE_SIZE
            table[entry] = name
            filled += 1
    return {key: table[hash_key(key) % _TABLE_SIZE] for key in keys}


def assign_by_jump(keys: list[str], sizes: Sizes, _before: Homes) -> Homes:
    """Jump hash over the slots, in the order of the servers' names."""
    slots = [name for name in sorted(sizes) for _ in range(sizes[name])]
    return {key: slots[_jump(hash_key(key), len(slots))] for key in keys}


def _stays(key: str, order: list[str], before: Homes) -> bool:
    """Whether an object keeps its server unless a new one comes first."""
    known = set(before.values())
    return before.get(key) in order and order[0] in known


def _compute_limits(keys: list[str], sizes: Sizes) -> dict[str, float]:
    total = sum(sizes.values())
    return {
        name: max(_LOAD_BOUND * len(keys) * size / total, 1)
        for name, size in sizes.items()
    }


def _jump(position: int, count: int) -> int:
    bucket, after = -1, 0
    while after < count:
        bucket = after
        position = (position * _JUMP_FACTOR + 1) % _HASH_RANGE
        after = int(
            (bucket + 1) * (_JUMP_RANGE / ((position >> _JUMP_SHIFT) + 1))
        )
    return bucket


POLICIES = {  # noqa: WPS407
    'rendezvous, no weights': assign_by_hash,
    'weighted rendezvous': assign_by_weight,
    'the same, kept within a bound': assign_within_bound,
    'ring with bounded loads': assign_by_ring,
    "Maglev's table": assign_by_maglev,
    'jump hash with names': assign_by_jump,
}
