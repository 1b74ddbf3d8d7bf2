"""The order of documents after the store was restored from a copy."""

import pytest

from sesameroute.mirror import Mirror, MirrorItem
from sesameroute.mirror.tests.restored_store import SimulatedStore
from sesameroute.platform import PlatformDocumentOrder
from sesameroute.platform.tests.odd_entries import (
    BACKEND,
    CONFIGURATION,
    list_configurations_with_odd_parts,
    list_odd_backends,
    list_odd_configurations,
    write_json,
)


def omit(document, name, **changes):
    """Return the JSON of a document without one field."""
    kept = {key: document[key] for key in document if key != name}
    return write_json(kept | changes)


@pytest.mark.parametrize(
    ('key', 'good', 'odd'),
    [
        (
            'op/config',
            CONFIGURATION,
            omit(CONFIGURATION, 'limits', version='ffffffff'),
        ),
        (
            'op/config',
            CONFIGURATION,
            write_json(CONFIGURATION | {'version': 'f' * 9000}),
        ),
        ('servers/a', BACKEND, omit(BACKEND, 'zone', born=2**52)),
        ('servers/a', BACKEND, write_json(BACKEND | {'born': 10**400})),
    ],
)
def test_odd_document_is_not_held_after_a_restore(key, good, odd):
    """One with a large version was held against all that came later."""
    store = SimulatedStore()
    mirror = Mirror(bool, order=PlatformDocumentOrder())
    before = write_json(good)
    store.write(key, before)
    state = store.copy_state()
    store.write(key, odd)
    mirror.apply(store.read(0), 0)
    store.restore(state)
    mirror.apply(store.read(mirror.revision_), 0)
    assert [item.content for item in mirror.list_items(key)] == [before]
    after = write_json(good | {'version': '0000000d', 'sequence': 5})
    store.write(key, after)
    mirror.apply(store.read(mirror.revision_), 0)
    assert [item.content for item in mirror.list_items(key)] == [after]


def test_odd_documents_have_no_stamp():
    """They are ignored, so nothing can be older than they are."""
    order = PlatformDocumentOrder()
    odd_documents = [
        *(('op/config', content) for content in list_odd_configurations()),
        *(('servers/a', content) for content in list_odd_backends()),
    ]
    stamps = {
        order.read_stamp(MirrorItem(key, 1, content))
        for key, content in odd_documents
    }
    assert stamps == {None}


def test_odd_parts_leave_the_stamp():
    """The rest of such a configuration is in force by its version."""
    order = PlatformDocumentOrder()
    stamps = {
        order.read_stamp(MirrorItem('op/config', 1, content))
        for content in list_configurations_with_odd_parts()
    }
    assert stamps == {(12,)}


@pytest.mark.parametrize(
    ('key', 'document', 'expected'),
    [
        ('op/config', CONFIGURATION, (12,)),
        ('servers/a', BACKEND, (1772216211000, 4)),
        ('op/evacuate/a', {}, None),
    ],
)
def test_stamps_rise_with_each_write(key, document, expected):
    """Versions, starts and numbers of writes never fall."""
    item = MirrorItem(key, 1, write_json(document))
    assert PlatformDocumentOrder().read_stamp(item) == expected
