"""Nodes that tell each other what a restored store lacks."""

from sesameroute.mirror import Mirror, MirrorItem, MirrorUpdate, Position
from sesameroute.mirror.tests.restored_store import TextOrder

_CONFIGURATION = 'op/config'
_ZONE_A, _ZONE_B = 'op/evacuate/a', 'op/evacuate/b'
_SERVER = 'servers/a'


def build_mirror(on_loss=bool):
    """Return a mirror that orders documents by their text."""
    return Mirror(bool, on_loss, TextOrder())


def read_copy(mirror, era, revision, *items):
    """Let a mirror read the whole store, with items (key, revision, text)."""
    mirror.apply(build_update(era, 0, revision, *items), 0)


def read_changes(mirror, era, base, revision, *items):
    """Let a mirror read the changes after a revision."""
    mirror.apply(build_update(era, base, revision, *items), 0)


def build_update(era, base, revision, *items):
    """Return an update of one era; a full copy if the base is 0."""
    return MirrorUpdate(
        Position(era, base).pack() if base else 0,
        Position(era, revision).pack(),
        tuple(
            MirrorItem(key, Position(era, written).pack(), content)
            for key, written, content in items
        ),
    )


def list_contents(mirror):
    """Return the contents in force by key."""
    return {item.key: item.content for item in mirror.list_items('')}


def test_node_behind_a_peer_ends_nothing_that_others_hold():
    """It learned up to where the peer knew changes, but not what it read."""
    holder, ahead, behind = (build_mirror() for _ in range(3))
    orders = (_ZONE_A, 8, b':'), (_ZONE_B, 9, b':')
    for mirror in (holder, ahead):
        read_copy(mirror, 0, 9, *orders)
        read_copy(mirror, 1, 5)
    read_copy(behind, 1, 5)
    read_changes(ahead, 1, 5, 6, (_ZONE_A, 6, b':'))
    behind.merge_held(ahead.list_held())
    holder.merge_held(behind.list_held())
    assert list_contents(holder) == {_ZONE_A: b':', _ZONE_B: b':'}


def test_later_version_is_held_whichever_era_it_is_from():
    """An operator had begun to write again, the oldest first."""
    knowing, started = build_mirror(), build_mirror()
    read_copy(knowing, 0, 9, (_CONFIGURATION, 9, b'7:x'))
    for mirror in (knowing, started):
        read_copy(mirror, 1, 5, (_CONFIGURATION, 4, b'4:x'))
        read_changes(mirror, 1, 5, 6, (_CONFIGURATION, 6, b'5:x'))
        read_copy(mirror, 2, 5, (_CONFIGURATION, 4, b'4:x'))
    for sender, receiver in ((started, knowing), (knowing, started)):
        later = receiver.merge_held(sender.list_held())
        if later:
            sender.merge_held(later)
    in_force = [list_contents(each) for each in (knowing, started)]
    assert in_force == [{_CONFIGURATION: b'7:x'}] * 2


def test_server_that_leaves_is_not_used_when_its_writes_are_repeated():
    """Its lost writes are written again in their order."""
    mirror = build_mirror()
    read_copy(mirror, 0, 9, (_SERVER, 9, b'1.6:leaving'))
    read_copy(mirror, 1, 5, (_SERVER, 4, b'1.4:ready'))
    read_changes(mirror, 1, 5, 6, (_SERVER, 6, b'1.5:ready'))
    assert list_contents(mirror) == {_SERVER: b'1.6:leaving'}


def test_lost_entry_is_awaited_after_each_restore():
    """Its server has two seconds after the last restore to write it again."""
    lost = []
    mirror = build_mirror(lost.append)
    read_copy(mirror, 0, 9, (_SERVER, 9, b'1.6:ready'))
    read_copy(mirror, 1, 5)
    read_copy(mirror, 2, 5)
    assert lost == [_SERVER] * 2


def test_evacuation_that_was_taken_back_twice_stays_taken_back():
    """The copy has the first of two evacuations of a zone."""
    mirror = build_mirror()
    read_copy(mirror, 0, 2, (_ZONE_A, 2, b':'))
    read_changes(mirror, 0, 2, 3, (_ZONE_A, 3, None))
    read_changes(mirror, 0, 3, 4, (_ZONE_A, 4, b':'))
    read_changes(mirror, 0, 4, 5, (_ZONE_A, 5, None))
    read_copy(mirror, 1, 2, (_ZONE_A, 2, b':'))
    assert list_contents(mirror) == {}


def test_item_that_the_store_no_longer_has_is_not_taken_from_a_peer():
    """The peer, which is behind, told that the item was written again."""
    cut_off, behind = build_mirror(), build_mirror()
    for mirror in (cut_off, behind):
        read_copy(mirror, 0, 9, (_ZONE_A, 9, b':'))
    read_copy(behind, 1, 5)
    read_changes(behind, 1, 5, 6, (_ZONE_A, 6, b':'))
    read_copy(cut_off, 1, 8)
    later = behind.merge_held(cut_off.list_held())
    cut_off.merge_held(later)
    read_changes(behind, 1, 6, 8, (_ZONE_A, 7, None))
    read_changes(cut_off, 1, 8, 8)
    for sender, receiver in ((behind, cut_off), (cut_off, behind)):
        receiver.merge_held(sender.list_held())
    assert [list_contents(each) for each in (cut_off, behind)] == [{}, {}]


def test_node_that_heard_of_a_write_ends_nothing_that_others_hold():
    """A peer told it what was written after the position that it has read."""
    holder, ahead, behind = (build_mirror() for _ in range(3))
    for mirror in (holder, ahead, behind):
        read_copy(mirror, 0, 9, (_CONFIGURATION, 9, b'9:x'))
        read_copy(mirror, 1, 5, (_CONFIGURATION, 4, b'4:x'))
    read_changes(ahead, 1, 5, 6, (_CONFIGURATION, 6, b'10:x'))
    behind.merge_held(ahead.merge_held(behind.list_held()))
    holder.merge_held(behind.list_held())
    assert list_contents(holder) == {_CONFIGURATION: b'9:x'}


def test_node_started_since_a_removal_brings_no_earlier_entry_back():
    """It knows that the server is gone, but not of the entry in the copy."""
    holder, started = build_mirror(), build_mirror()
    read_copy(holder, 0, 4, (_SERVER, 4, b'1.4:ready'))
    read_changes(holder, 0, 4, 6, (_SERVER, 6, None))
    read_changes(holder, 0, 6, 7, (_SERVER, 7, b'2.1:ready'))
    read_copy(started, 0, 9)
    for mirror in (holder, started):
        read_copy(mirror, 1, 5, (_SERVER, 4, b'1.4:ready'))
    holder.merge_held(started.list_held())
    assert list_contents(holder).get(_SERVER) != b'1.4:ready'
