"""Odd entries are ignored with a short log line; the others hold."""

import json
import random

import pytest

from sesameroute.adapters._peer_frames import (
    Frame,
    FrameKind,
    pack_frame,
    unpack_frame,
)
from sesameroute.mirror import Mirror, MirrorItem, MirrorUpdate
from sesameroute.node._announcement_exchange import (
    AnnouncementReport,
    ToldAnnouncement,
)
from sesameroute.placement import Grant
from sesameroute.platform import IgnoredItems, StoreItemDispatcher
from sesameroute.platform._calls import Page, decode_answer
from sesameroute.platform._items import convert_items
from sesameroute.platform.tests.odd_entries import (
    BACKEND,
    CONFIGURATION,
    DEEP,
    MEMBER,
    NO_TEXT,
    list_configurations_with_odd_parts,
    list_lines,
    list_odd_backends,
    list_odd_configurations,
    list_odd_members,
    write_item,
    write_json,
)
from sesameroute.ports import decode_message, encode_message
from sesameroute.quarantine import EndReport, LossReport
from sesameroute.registry import Registry
from sesameroute.telemetry import Meter, Metric

ODD_ITEMS = [
    *(('servers/odd', content) for content in list_odd_backends()),
    *(('op/config', content) for content in list_odd_configurations()),
    *(('sesameroute/members/odd', each) for each in list_odd_members()),
    ('servers/', write_json(BACKEND)),
    ('servers/two words', write_json(BACKEND)),
    ('servers/line\r\nend', write_json(BACKEND)),
    ('servers/sérver', write_json(BACKEND)),
]


class RecordingReceiver:
    """Registers backend servers and records everything else.

    Attributes
    ----------
    fails_for : str
        Name of the backend server for which it raises an unexpected error.

    """

    def __init__(self):
        """Start without documents."""
        self.registry = Registry()
        self.configurations = []
        self.members = []
        self.evacuated = frozenset()
        self.fails_for = None

    def put_backend(self, backend):
        """Register a backend server."""
        if backend.name == self.fails_for:
            raise KeyError('unexpected')
        self.registry.put(backend, 0)

    def remove_backend(self, name):
        """Remove a backend server."""
        self.registry.remove(name, 0)

    def put_configuration(self, configuration):
        """Record a configuration."""
        self.configurations.append(configuration)

    def put_member(self, address, *_location):
        """Record a node."""
        self.members.append(address)

    def replace_evacuated(self, zones):
        """Record the evacuated zones."""
        self.evacuated = zones


def test_odd_items_are_ignored_with_one_short_line(log):
    """Each line has the key; a good entry afterwards is taken."""
    receiver = RecordingReceiver()
    ignored_items = IgnoredItems()
    kinds = []
    ignored_items.observer_ = kinds.append
    dispatcher = StoreItemDispatcher(receiver, ignored_items)
    for revision, (key, content) in enumerate(ODD_ITEMS, 1):
        dispatcher.dispatch(MirrorItem(key, revision, content))
        lines = list_lines(log)
        assert len(lines) == revision, (key, content[:200])
        assert ' event=item-not-valid ' in lines[-1]
        assert key.split()[0] in lines[-1]
    assert not len(receiver.registry)
    assert not receiver.configurations
    assert not receiver.members
    assert len(kinds) == len(ODD_ITEMS)
    assert set(kinds) == {'backend', 'configuration', 'node'}
    dispatcher.dispatch(MirrorItem('servers/good', 9, write_json(BACKEND)))
    assert len(receiver.registry) == 1


def test_odd_parts_are_left_out_with_one_short_line(log):
    """Each line has the path of the part; the rest is in force."""
    receiver = RecordingReceiver()
    ignored_items = IgnoredItems()
    kinds = []
    ignored_items.observer_ = kinds.append
    dispatcher = StoreItemDispatcher(receiver, ignored_items)
    documents = list(list_configurations_with_odd_parts())
    for number, content in enumerate(documents, 1):
        dispatcher.dispatch(MirrorItem('op/config', number, content))
        lines = list_lines(log)
        assert len(lines) == number, content[:200]
        assert ' event=configuration-part-not-understood ' in lines[-1]
        assert ' part=limits ' in lines[-1] or ' part=services[0] ' in lines[-1]
        assert len(receiver.configurations) == number
        assert len(receiver.configurations[-1].unreadable) == 1
    assert kinds == ['part'] * len(documents)


def test_failed_handler_hides_no_later_item(log):
    """An unexpected error for one item hid the items after it."""
    receiver = RecordingReceiver()
    receiver.fails_for = 'b'
    mirror = Mirror(StoreItemDispatcher(receiver).dispatch)
    items = [
        MirrorItem(f'servers/{name}', 2, write_json(BACKEND)) for name in 'abc'
    ]
    assert mirror.apply(MirrorUpdate(0, 2, tuple(items)), 0)
    assert receiver.registry.find('a') and receiver.registry.find('c')
    lines = list_lines(log)
    assert len(lines) == 1
    assert 'servers/b' in lines[0]


def send_to_peer(message):
    """Return a message as a peer receives it."""
    packed = pack_frame(Frame(FrameKind.ONE_WAY, 0, encode_message(message)))
    return decode_message(unpack_frame(packed).content)


def build_odd_content(rng, good):
    """Return a document with random changes; it may still be valid."""
    if rng.random() < 0.3:
        return rng.choice([DEEP, NO_TEXT, b'', rng.randbytes(300)])
    odd_values = [
        10**400,
        '@digits',
        -(10**25),
        2**64,
        1e300,
        -1e300,
        None,
        True,
        'x' * 5000,
        '\ud800',
        '"\n²',
        [[]] * 50,
        {'a': {'b': []}},
        0,
        1,
        65536,
    ]
    changed = dict(good)
    for name in rng.sample(sorted(good), rng.randint(1, 3)):
        if rng.random() < 0.2:
            del changed[name]
        else:
            changed[name] = rng.choice(odd_values)
    content = bytearray(write_json(changed))
    if rng.random() < 0.3:
        content[rng.randrange(len(content))] = rng.randrange(256)
    return bytes(content)


def build_items(rng):
    """Return items of the store, good and odd ones in random order."""
    kinds = (
        ('servers/', BACKEND),
        ('op/config', CONFIGURATION),
        ('op/evacuate/', {}),
        ('sesameroute/members/', MEMBER),
        ('elsewhere/', BACKEND),
    )
    items = [
        write_item(f'servers/good-{number}', write_json(BACKEND))
        for number in range(10)
    ]
    for number in range(30):
        prefix, good = rng.choice(kinds)
        name = rng.choice(['', 'o"dd', 'two words', 'é', '\r\n', 'ok'])
        key = prefix if prefix == 'op/config' else f'{prefix}{name}{number}'
        content = build_odd_content(rng, good) if good else rng.randbytes(9)
        item = write_item(key, content)
        if rng.random() < 0.2:
            field = rng.choice(['key', 'revision', 'value'])
            item[field] = rng.choice([None, 10**400, -1, 'ä' * 9, [], 1e300])
        items.append(item)
    rng.shuffle(items)
    return items


def check_registered(registry):
    """Pass the fields of all backend servers through later parts."""
    meter = Meter()
    for entry in registry.list_ready():
        name, number = entry.backend.name, entry.backend.incarnation
        for message in (
            Grant(1, name, number),
            LossReport('f', name, number),
            EndReport(name, number),
            AnnouncementReport((ToldAnnouncement(name, number, 7.1, 0.5),)),
        ):
            assert send_to_peer(message) == message
        meter.set(Metric.BACKEND_GRANTS, 1, backend=name)
    page = meter.render().decode().splitlines()
    samples = [line for line in page if 'grants{' in line]
    assert len(samples) == len(registry.list_ready())


@pytest.mark.parametrize('seed', range(25))
def test_fuzzed_entries(log, seed):
    """Nothing raises, the good entries are taken and all lines are short."""
    rng = random.Random(seed)
    items = build_items(rng)
    answer = {'items': items, 'current_rev': 5, 'has_more': True}
    content = json.dumps(answer).encode()
    page = decode_answer(content, Page)
    update = MirrorUpdate(
        0, 5, tuple(convert_items(page.items, IgnoredItems()))
    )
    for received in (update, send_to_peer(update)):
        receiver = RecordingReceiver()
        mirror = Mirror(StoreItemDispatcher(receiver).dispatch)
        assert mirror.apply(received, 1)
        registered = receiver.registry
        assert all(registered.find(f'good-{each}') for each in range(10))
        check_registered(registered)
        copy = mirror.build_full_copy(2)
        assert send_to_peer(copy) == copy
    assert list_lines(log)
