"""From the identifier of a failed request to its cause."""

import io

import pytest

from sesameroute.programs.explain import explain
from sesameroute.telemetry import EventLog, parse_line


def write_line(event, node='n-1', **fields):
    """Return a line as a node writes it."""
    lines = io.StringIO()
    EventLog(node, stream=lines).write(event, **fields)
    return lines.getvalue()


@pytest.mark.parametrize(
    'content',
    ['plain', 'two words', 'a "quote"', 'a=b', r'back\slash', 'line\nbreak'],
)
def test_lines_are_read_as_they_were_written(content):
    """Any content survives."""
    assert parse_line(write_line('some-event', why=content))['why'] == content


def test_a_request_s_way_is_told_in_order():
    """Lines of several nodes, mixed with those of other requests."""
    lines = [
        write_line(
            'request-sent-again',
            request='a',
            why='lost',
            backend='i-1',
        ),
        write_line('request-turned-away', request='b', why='no-room'),
        write_line('request-failed', request='a', why='shed', backend='i-2'),
        'something else',
    ]
    told = list(explain('a', lines))
    assert len(told) == 2
    assert 'i-1' in told[0]
    assert 'may have run' in told[0]
    assert 'it has not run' in told[1]
