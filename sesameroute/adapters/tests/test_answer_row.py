"""Tests of the order of answers, without connections."""

import random

import pytest

from sesameroute.adapters._answer_row import AnswerRow, HeldBytes, Turn
from sesameroute.adapters._request_head import parse_bodiless_head

HEAD = b'GET /a HTTP/1.1\r\nHost: h\r\n'
LIMIT = 8000
ADDED = {
    'two hosts': b'Host: h\r\n',
    'length': b'Content-Length: 0\r\n',
    'chunks': b'transfer-encoding: chunked\r\n',
    'last': b'Connection: close\r\n',
    'upgrade': b'Connection: keep-alive, upgrade\r\n',
    'expects': b'Expect: 100-continue\r\n',
    'folded line': b'A: b\r\n Content-Length: 5\r\n',
    'space before the colon': b'Content-Length : 5\r\n',
    'bare line feed': b'A: b\nContent-Length: 5\r\n',
}
UNUSUAL = {
    'method': HEAD.replace(b'GET', b'POST'),
    'version': HEAD.replace(b'1.1', b'1.0'),
    'absolute target': HEAD.replace(b'/a', b'http://h/a'),
    'target with a space': HEAD.replace(b'/a', b'/a b'),
    'no host': HEAD.replace(b'Host', b'Other'),
    **{name: b''.join((HEAD, line)) for name, line in ADDED.items()},
}


@pytest.mark.parametrize('end', [b'', b'Connection: Keep-Alive\r\n'])
def test_plain_head_may_go_ahead(end):
    """Only its own bytes are taken."""
    content = b'%s%s\r\n' % (HEAD, end)
    head = parse_bodiless_head(b'%s%s' % (content, HEAD), LIMIT)
    assert (head.host, head.target, head.size) == ('h', '/a', len(content))
    assert parse_bodiless_head(content, len(content) - 1) is None


@pytest.mark.parametrize('name', list(UNUSUAL))
def test_unusual_head_is_left_to_the_parser(name):
    """Two readers that differ on where a request ends smuggle others."""
    assert parse_bodiless_head(b'%s\r\n' % UNUSUAL[name], LIMIT) is None


@pytest.mark.parametrize('seed', range(20))
def test_answers_are_sent_in_order_whoever_is_ready(seed):
    """Rows of which some are slow: each byte once, in its turn, or held."""
    rng = random.Random(seed)
    held = HeldBytes(LIMIT)
    row = AnswerRow(held)
    unsent = {row.add(): list(range(rng.randint(1, 4))) for _ in range(8)}
    order = list(unsent)
    sent = []

    def flush(place):
        while place is not None:
            number = order.index(place)
            while content := row.take_parts(place):
                sent.extend((number, part) for part in content)
            place = row.advance() if place.is_done else None

    while unsent:
        place = rng.choice(list(unsent))
        parts = unsent[place]
        if not parts:
            del unsent[place]
            if row.finish(place, ends_row=False):
                flush(row.advance())
            continue
        turn = row.offer(place, bytes([parts[0]]))
        assert (turn is Turn.SEND) == row.is_first(place)
        if turn is Turn.SEND:
            sent.append((order.index(place), parts[0]))
        parts.pop(0)
    assert sent == sorted(set(sent))
    assert {number for number, _ in sent} == set(range(8))
    assert not held.held_
    assert not row.places_


def test_connections_share_a_bound():
    """One takes an eighth; with the node's bound reached, none takes more."""
    held = HeldBytes(LIMIT)
    rows = [AnswerRow(held) for _ in range(9)]
    behind = [(row.add(), row.add())[1] for row in rows]
    share = bytes(LIMIT // 8)
    turns = [
        row.offer(place, share) for row, place in zip(rows, behind, strict=True)
    ]
    assert turns == [Turn.HELD] * 8 + [Turn.WAIT]
    assert rows[0].offer(behind[0], b'x') is Turn.WAIT
    rows[0].end()
    assert rows[0].offer(behind[0], b'x') is Turn.ENDED
    assert rows[8].offer(behind[8], share) is Turn.HELD
