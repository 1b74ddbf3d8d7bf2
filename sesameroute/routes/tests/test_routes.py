"""Routes: longest prefix, traffic split and order of versions."""

from collections import Counter

import pytest

from sesameroute.routes import (
    ActiveConfiguration,
    Configuration,
    RequestKind,
    Route,
    RouteTable,
    SplitChooser,
    WeightedService,
)


def build_route(prefix='/', host='h.example', parts=(('one', 1),), name='r'):
    """Return a route with typical settings."""
    return Route(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        tuple(WeightedService(*part) for part in parts),
        1.2,
        0.4,
        2,
        2,
        has_object_affinity=True,
    )


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('h.example', '/a/b/c', 'ab'),
        ('h.example', '/a/b/', 'ab'),
        ('h.example', '/a/b', 'a'),
        ('h.example', '/a/bc/d', 'a'),
        ('H.Example:8080', '/a/x', 'a'),
        ('h.example', '/z', None),
        ('other', '/a/b/c', None),
        ('h.example', '', None),
    ],
)
def test_find_returns_the_longest_prefix(host, path, name):
    """Prefixes end at a slash; case and port of the host are ignored."""
    table = RouteTable(
        Configuration(
            1,
            (
                build_route('/a/', name='a'),
                build_route('/a/b/', name='ab'),
            ),
        ),
    )
    found = table.find(host, path)
    assert (found and found.name) == name


@pytest.mark.parametrize(
    'weights',
    [(90, 10), (1, 1, 1), (97, 2, 1), (0.5, 0.5)],
)
def test_split_follows_the_weights(weights):
    """Shares in any 100 requests are within two requests of the weights."""
    parts = tuple(
        (str(index), part_weight) for index, part_weight in enumerate(weights)
    )
    route = build_route(parts=parts)
    chooser = SplitChooser()
    chosen = [chooser.choose(route) for _ in range(500)]
    for start in range(0, 400, 50):
        counts = Counter(chosen[start : start + 100])
        for name, weight in parts:
            share = 100 * weight / sum(weights)
            assert abs(counts[name] - share) <= 2


def test_older_or_equal_version_is_ignored():
    """Only a newer version replaces the configuration in force."""
    active_configuration = ActiveConfiguration()
    assert active_configuration.version == -1
    assert active_configuration.apply_if_newer(
        Configuration(5, (build_route(),))
    )
    assert not active_configuration.apply_if_newer(Configuration(4, ()))
    assert not active_configuration.apply_if_newer(Configuration(5, ()))
    assert active_configuration.version == 5
    assert active_configuration.table_.find('h.example', '/x') is not None
