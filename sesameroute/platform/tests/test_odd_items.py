"""Odd items of the store's answers are ignored; the others are taken."""

import json

import pytest

from sesameroute.exceptions import StoreOutcomeUnknownError
from sesameroute.platform import IgnoredItems
from sesameroute.platform._calls import Page, WatchAnswer, decode_answer
from sesameroute.platform._items import convert_items
from sesameroute.platform.tests.odd_entries import (
    DEEP,
    list_lines,
    write_item,
)


@pytest.mark.parametrize(
    'odd_item',
    [
        {},
        None,
        7,
        [],
        {'key': 'odd'},
        {'key': 'odd', 'revision': 'x' * 5000, 'value': ''},
        {'key': 'odd', 'revision': 10**400, 'value': ''},
        {'key': 'odd', 'revision': -1, 'value': ''},
        {'key': 'odd', 'revision': 3, 'value': None},
        {'key': 'odd', 'revision': 3, 'value': 'x' * 5001},
        {'key': 'odd', 'revision': 3, 'value': '²'},
        {'key': 'odd', 'revision': 3, 'value': 'eHh4' * 30_000},
        {'key': 'odd', 'revision': 3, 'deleted': 'yes'},
        {'key': 'odd' * 5000, 'revision': 3, 'value': ''},
        {'key': '', 'revision': 3, 'value': ''},
    ],
)
def test_odd_item_hides_no_other_of_its_answer(log, odd_item):
    """One item of another form failed the whole page or watch."""
    listed = [write_item('a', b'1'), odd_item, write_item('c', b'2')]
    for body, name in ((Page, 'items'), (WatchAnswer, 'events')):
        answer = {name: listed, 'current_rev': 5, 'has_more': True}
        decoded = decode_answer(json.dumps(answer).encode(), body)
        items = list(convert_items(getattr(decoded, name), IgnoredItems()))
        assert [item.key for item in items] == ['a', 'c']
    assert decode_answer(json.dumps(answer).encode(), WatchAnswer)
    assert len(list_lines(log)) == 2


def test_next_page_begins_after_the_last_valid_item():
    """A page whose last item has no key was read again and again."""
    answer = {
        'items': [write_item('a', b''), write_item('b', b''), {}],
        'current_rev': 5,
        'has_more': True,
    }
    page = decode_answer(json.dumps(answer).encode(), Page)
    assert page.items[-1].key == 'b'
    answer['items'] = [{}]
    with pytest.raises(StoreOutcomeUnknownError):
        decode_answer(json.dumps(answer).encode(), Page)


@pytest.mark.parametrize(
    'content',
    [b'', b'[]', DEEP, b'{"items":%b' % DEEP, b'{"current_rev":99'],
)
def test_unreadable_answer_is_a_store_error(content):
    """Only `SesameError` lets the watcher try again."""
    for body in (Page, WatchAnswer):
        with pytest.raises(StoreOutcomeUnknownError) as caught:
            decode_answer(content, body)
        assert len(caught.value.message) < 300
