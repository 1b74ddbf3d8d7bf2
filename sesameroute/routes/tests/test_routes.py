"""Routes: the longest prefix, shares by weight, never back."""

from collections import Counter

import pytest

from sesameroute.routes import (
    Configuration,
    ConfigurationKeeper,
    RequestKind,
    Route,
    RouteTable,
    SplitChooser,
    SplitPart,
)


def build_route(prefix='/', host='h.example', parts=(('one', 1),), name='r'):
    """Return a route with usual terms."""
    return Route(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        tuple(SplitPart(*part) for part in parts),
        1.2,
        0.4,
        2,
        2,
        is_sticky=True,
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
def test_the_longest_prefix_wins(host, path, name):
    """Prefixes end at a slash; hosts have no case and no port."""
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
def test_shares_follow_the_weights(weights):
    """Any hundred requests are within a request or two of the weights."""
    parts = tuple((str(place), part) for place, part in enumerate(weights))
    route = build_route(parts=parts)
    chooser = SplitChooser()
    drawn = [chooser.choose(route) for _ in range(500)]
    for start in range(0, 400, 50):
        counts = Counter(drawn[start : start + 100])
        for name, weight in parts:
            share = 100 * weight / sum(weights)
            assert abs(counts[name] - share) <= 2


def test_a_configuration_never_goes_back():
    """An older version, and the same again, change nothing."""
    keeper = ConfigurationKeeper()
    assert keeper.version == -1
    assert keeper.take(Configuration(5, (build_route(),)))
    assert not keeper.take(Configuration(4, ()))
    assert not keeper.take(Configuration(5, ()))
    assert keeper.version == 5
    assert keeper.table_.find('h.example', '/x') is not None
