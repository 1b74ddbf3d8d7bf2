"""`sesame-explain` finds and explains the events of one request."""

import io

import pytest

from sesameroute.programs.explain import explain
from sesameroute.telemetry import EventLog, parse_line


def write_line(event, node='n-1', **fields):
    """Return the log line that a node writes for an event."""
    lines = io.StringIO()
    EventLog(node, stream=lines).write(event, **fields)
    return lines.getvalue()


@pytest.mark.parametrize(
    'field_value',
    ['plain', 'two words', 'a "quote"', 'a=b', r'back\slash', 'line\nbreak'],
)
def test_field_values_survive_writing_and_parsing(field_value):
    """Quoting and parsing return the original value."""
    assert (
        parse_line(write_line('some-event', why=field_value))['why']
        == field_value
    )


def test_events_of_a_request_are_printed_in_order():
    """Lines of other requests and of other programs are skipped."""
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
    sentences = list(explain('a', lines))
    assert len(sentences) == 2
    assert 'i-1' in sentences[0]
    assert 'may have run' in sentences[0]
    assert 'it has not run' in sentences[1]


@pytest.mark.parametrize(
    ('event', 'fields', 'texts'),
    [
        (
            'request-refused',
            {
                'why': 'no-route',
                'status': '404',
                'version': '7',
                'era': '1',
                'age_ms': '180',
                'source': '-',
            },
            ('404', 'configuration 7 of era 1', '180 ms', 'no route'),
        ),
        (
            'request-turned-away',
            {'why': 'no-configuration', 'status': '503', 'version': '-'},
            ('turned away', 'just started'),
        ),
    ],
)
def test_refusals_name_the_configuration(event, fields, texts):
    """A 404 by an older configuration was told by nothing."""
    sentence = next(explain('a', [write_line(event, request='a', **fields)]))
    assert all(text in sentence for text in texts), sentence
    assert '?' not in sentence
