"""Tests of copies of and for builds that know neither eras nor held items."""

import pytest

from sesameroute.mirror import (
    HeldItem,
    Mirror,
    MirrorItem,
    MirrorUpdate,
    Position,
    find_later_documents,
    put_held,
)
from sesameroute.mirror.tests.restored_store import TextOrder

_ERA_START = Position(2, 0).pack()
_COPY = MirrorUpdate(
    0,
    Position(2, 90).pack(),
    (
        MirrorItem('op/config', Position(2, 50).pack(), b'1:old'),
        MirrorItem('servers/a', Position(2, 60).pack(), b'7.3:ready'),
    ),
)


@pytest.mark.parametrize(
    ('key', 'content', 'replaces', 'expected'),
    [
        ('op/config', b'2:new', 50, (50, b'2:new')),
        ('servers/a', b'7.4:draining', 60, (60, b'7.4:draining')),
        ('op/evacuate/z', b':z', 0, (0, b':z')),
        ('servers/a', None, 60, None),
    ],
)
def test_held_item_takes_the_place_of_what_it_replaces(
    key, content, replaces, expected
):
    """A node of an earlier build used a server whose leaving was lost."""
    known = MirrorItem(key, 160, content)
    replaced = Position(2, replaces).pack() if replaces else 0
    copy = put_held(_COPY, [HeldItem(known, replaced)])
    found = {
        item.key: (item.revision - _ERA_START, item.content)
        for item in copy.items
    }
    assert found.get(key) == expected
    assert (copy.base, copy.revision) == (_COPY.base, _COPY.revision)
    others = {item.key for item in _COPY.items} - {key}
    assert others <= found.keys()


@pytest.mark.parametrize(
    ('key', 'content', 'is_later'),
    [
        ('op/config', b'2:new', True),
        ('op/config', b'1:old', False),
        ('servers/a', b'7.4:draining', True),
        ('servers/a', b'7.2:draining', False),
        ('servers/a', b'8.1:ready', True),
        ('servers/unknown', b'9.1:ready', False),
        ('op/evacuate/z', b':z', False),
    ],
)
def test_documents_that_say_that_they_are_later_are_held(
    key, content, is_later
):
    """Revisions of an unknown era said nothing, so that nothing was used."""
    mirror = Mirror(bool, order=TextOrder())
    mirror.apply(_COPY, 0)
    told = MirrorUpdate(0, 160, (MirrorItem(key, 155, content),))
    held = find_later_documents(mirror, told)
    assert [each.item for each in held.held] == list(told.items) * is_later
    mirror.merge_held(held)
    in_force = {item.key: item.content for item in mirror.list_items('')}
    assert (in_force.get(key) == content) == (is_later or content == b'1:old')
