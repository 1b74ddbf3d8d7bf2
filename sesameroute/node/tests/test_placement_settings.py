"""The placement's settings act only where a deployment asks for them."""

import pytest

from sesameroute.exceptions import InputError
from sesameroute.node._settings import parse_node_settings
from sesameroute.placement import PlacementTerms
from sesameroute.tenants import RevocationBounds

_TEXT = """
[node]
name = n
address = 127.0.0.1
zone = a
region = r
[listen]
front = 127.0.0.1:1
ready = 127.0.0.1:2
directory = 127.0.0.1:3
[peers]
ports = 4,5
key = k
[store]
address = 127.0.0.1:6
[zones]
a = r
"""


@pytest.mark.parametrize(
    ('section', 'terms'),
    [
        ('', PlacementTerms()),
        ('[placement]\nshares = usual', PlacementTerms()),
        ('[placement]\nshares = by-size', PlacementTerms(follows_sizes=True)),
        (
            '[placement]\nforecast = 2\n[bounds]\nmax_shift = 0.1',
            PlacementTerms(forecast_seconds=2, max_shift=0.1),
        ),
        ('[bounds]\nmax_shift =', PlacementTerms()),
    ],
)
def test_terms_of_settings(section, terms):
    """Nothing is on by default."""
    assert parse_node_settings(_TEXT + section).placement_terms == terms


@pytest.mark.parametrize(
    ('section', 'revocation'),
    [
        ('', RevocationBounds()),
        ('[bounds]\nstrict_revoke =\nrevoke_ms =', RevocationBounds()),
        (
            '[bounds]\nstrict_revoke = false\nrevoke_ms = 4000',
            RevocationBounds(is_strict=False, seconds=4),
        ),
        (
            '[bounds]\nstrict_revoke = True\nrevoke_ms = 3000',
            RevocationBounds(is_strict=True, seconds=3),
        ),
    ],
)
def test_revocation_of_settings(section, revocation):
    """A deployment that leaves them out takes keys when out of touch."""
    assert parse_node_settings(_TEXT + section).revocation == revocation


@pytest.mark.parametrize(
    'section',
    [
        '[bounds]\nstrict_revoke = perhaps',
        '[bounds]\nrevoke_ms = -1',
        '[placement]\nshares = all',
        '[placement]\nforecast = -1',
        '[bounds]\nmax_shift = 2',
    ],
)
def test_odd_values_are_refused(section):
    """The message names the value."""
    with pytest.raises(InputError):
        parse_node_settings(_TEXT + section)
