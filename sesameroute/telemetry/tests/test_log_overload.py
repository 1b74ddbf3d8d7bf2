"""Log lines are limited in rate, and a slow reader blocks no writer."""

import io
import logging
import threading

import pytest

from sesameroute.telemetry import EventRateFilter, QueuedStream

TIMEOUT_SECONDS = 5


class StalledStream(io.StringIO):
    """A stream that blocks in `write` until the test lets it continue."""

    def __init__(self):
        """Create the events that the test waits for and sets."""
        super().__init__()
        self.is_blocked = threading.Event()
        self.may_continue = threading.Event()

    def write(self, text):
        """Wait for the test, then store the text."""
        self.is_blocked.set()
        self.may_continue.wait(TIMEOUT_SECONDS)
        return super().write(text)


class BrokenStream(io.StringIO):
    """A stream whose reader has closed the pipe."""

    def write(self, text):
        """Raise BrokenPipeError."""
        raise BrokenPipeError(text)


class ManualClock:
    """A clock that the test advances."""

    now = 100.0

    def read_monotonic(self):
        """Return the time in seconds."""
        return self.now


def format_drop_notice(count):
    """Return the notice about dropped lines."""
    return f'dropped={count}'


def test_queued_lines_are_written_in_order():
    """`close` writes the lines that are still queued."""
    stream = io.StringIO()
    queued = QueuedStream(stream, format_drop_notice)
    for number in range(1000):
        queued.write(f'{number}\n')
    queued.close(TIMEOUT_SECONDS)
    assert stream.getvalue().split() == [str(each) for each in range(1000)]


def test_stalled_reader_does_not_block_writers():
    """Lines beyond the queue's capacity are dropped and counted."""
    stream = StalledStream()
    queued = QueuedStream(stream, format_drop_notice, max_lines=10)
    queued.write('first\n')
    assert stream.is_blocked.wait(TIMEOUT_SECONDS)
    for number in range(50):
        queued.write(f'{number}\n')
    stream.may_continue.set()
    queued.close(TIMEOUT_SECONDS)
    lines = stream.getvalue().split()
    assert lines[:3] == ['first', 'dropped=40', '0']
    assert lines[-1] == '9'


def test_broken_stream_does_not_stop_writers():
    """Writers get no error when the reader has closed the pipe."""
    queued = QueuedStream(BrokenStream(), format_drop_notice)
    queued.write('one\n')
    queued.close(TIMEOUT_SECONDS)
    queued.write('two\n')
    assert queued.dropped_


@pytest.mark.parametrize(
    ('event_names', 'written'), [('aaaaa', 3), ('aabb', 4)]
)
def test_each_event_has_its_own_limit(event_names, written):
    """Many lines of one event don't use up the limit of another."""
    rate_filter = EventRateFilter(ManualClock(), lines_per_second=3)
    assert (
        sum(rate_filter.filter(build_record(each)) for each in event_names)
        == written
    )


def test_number_of_suppressed_lines_is_reported():
    """The event's next line has the number of suppressed ones."""
    clock = ManualClock()
    rate_filter = EventRateFilter(clock, lines_per_second=1)
    for _ in range(5):
        rate_filter.filter(build_record('a'))
    clock.now += 1
    record = build_record('a')
    assert rate_filter.filter(record)
    assert record.left_out == 4


def build_record(event):
    """Return a log record of an event."""
    return logging.LogRecord('part', logging.INFO, '', 0, event, (), None)
