"""Tests of the event log, the metrics and the spans."""

import io
import json
from importlib.util import find_spec
from threading import Thread

import pytest

from sesameroute.exceptions import InputError
from sesameroute.telemetry import EventLog, Meter, Metric, Tracer

_PARENT = f'00-{"a" * 32}-{"b" * 16}-01'


@pytest.mark.parametrize(
    ('field_value', 'expected'),
    [
        ('plain', 'field=plain'),
        (12, 'field=12'),
        ('', 'field=""'),
        ('two words', 'field="two words"'),
        ('line\nevent=forged', r'field="line\nevent=forged"'),
        ('a"b', r'field="a\"b"'),
        ('a=b', 'field="a=b"'),
        ('a\u2028b', r'field="a\u2028b"'),
        ('a\x85b', r'field="a\u0085b"'),
    ],
)
def test_special_characters_stay_on_one_line(field_value, expected):
    lines = io.StringIO()
    EventLog('vm', stream=lines).write('test', field=field_value)
    assert lines.getvalue().endswith(f'event=test {expected}\n')
    assert len(lines.getvalue().splitlines()) == 1


def test_json_format_has_the_same_fields():
    lines = io.StringIO()
    EventLog('vm', 'json', lines).warn('test', field='a b')
    event = json.loads(lines.getvalue())
    assert event['level'] == 'warning'
    assert event['node'] == 'vm'
    assert event['field'] == 'a b'


def test_events_below_the_level_are_not_written():
    lines = io.StringIO()
    EventLog('vm', stream=lines, level='warning').write('test')
    assert not lines.getvalue()


@pytest.mark.parametrize(
    ('name', 'expected'),
    [('a"b', r'a\"b'), ('a\nb', r'a\nb'), (r'a\b', r'a\\b'), ('a b', 'a b')],
)
def test_special_characters_in_labels_are_escaped(name, expected):
    """A quote or a line end in a name made the whole page unreadable."""
    meter = Meter()
    meter.add(Metric.LOOKUPS, service=name)
    page = meter.render().decode()
    assert f'sesame_lookups_total{{service="{expected}"}} 1\n' in page
    assert meter.read(Metric.LOOKUPS, service=name) == 1


def test_concurrent_updates_are_not_lost():
    meter = Meter()

    def count_many():
        for _ in range(500):
            meter.add(Metric.REQUESTS, kind='order')
            meter.observe(Metric.REQUEST_SECONDS, 0.2, kind='order')

    threads = [Thread(target=count_many) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert meter.read(Metric.REQUESTS, kind='order') == 2000
    assert b'sesame_request_seconds_count{kind="order"} 2000' in meter.render()


@pytest.mark.parametrize('ratio', [-0.1, 1.1])
def test_ratio_outside_of_range_is_rejected(ratio):
    with pytest.raises(InputError, match='from 0 to 1'):
        Tracer('vm', ratio=ratio)


@pytest.mark.parametrize(
    ('traceparent', 'ratio', 'spans', 'keeps_trace'),
    [
        (_PARENT, 0, 1, True),
        (f'{_PARENT[:-1]}0', 1, 0, True),
        ('', 0, 0, False),
        ('', 1, 1, False),
        ('garbage', 1, 1, False),
        (f'00-{"0" * 32}-{"b" * 16}-01', 1, 1, False),
    ],
)
def test_sampling_follows_the_parent_flag(
    traceparent, ratio, spans, keeps_trace
):
    lines = io.StringIO()
    tracer = Tracer('vm', 'lines', ratio, EventLog('vm', stream=lines))
    with tracer.open_span('entry', traceparent) as span:
        span.annotate(upstream='u1')
    assert len(lines.getvalue().splitlines()) == spans
    assert ('a' * 32 in span.traceparent) == keeps_trace
    assert len(span.traceparent) == len(_PARENT)


def test_nested_spans_are_linked():
    lines = io.StringIO()
    tracer = Tracer('vm', 'lines', 1, EventLog('vm', stream=lines))
    with (
        tracer.open_span('entry') as entry,
        tracer.open_span('try', entry.traceparent),
    ):
        """Leave both spans, the inner one first."""
    inner, outer = lines.getvalue().splitlines()
    assert f'parent={entry.traceparent.split("-")[2]}' in inner
    assert 'hop=entry' in outer
    assert 'parent=-' in outer


def test_span_records_the_error_code():
    lines = io.StringIO()
    tracer = Tracer('vm', 'lines', 1, EventLog('vm', stream=lines))
    with pytest.raises(InputError), tracer.open_span('entry'):
        raise InputError('no')
    assert 'error=bad-input' in lines.getvalue()


@pytest.mark.skipif(
    find_spec('opentelemetry.exporter') is not None,
    reason='the optional OTLP exporter is installed',
)
def test_missing_otlp_package_is_reported():
    with pytest.raises(InputError, match='opentelemetry-exporter-otlp'):
        Tracer('vm', 'otlp')
