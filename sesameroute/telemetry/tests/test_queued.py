"""Lines are bounded in number, and their reader holds nobody up."""

import io
import logging
import threading

import pytest

from sesameroute.telemetry import LineBudget, QueuedStream

LONGEST = 5  # seconds


class StalledStream(io.StringIO):
    """A stream whose reader does nothing until it is told to go on."""

    def __init__(self):
        """Stall."""
        super().__init__()
        self.is_writing = threading.Event()
        self.may_go_on = threading.Event()

    def write(self, text):
        """Wait, then keep the text."""
        self.is_writing.set()
        self.may_go_on.wait(LONGEST)
        return super().write(text)


class BrokenStream(io.StringIO):
    """A stream whose reader is gone."""

    def write(self, text):
        """Fail."""
        raise BrokenPipeError(text)


class StandingClock:
    """A clock that the test moves."""

    now = 100.0

    def read_monotonic(self):
        """Return the time."""
        return self.now


def describe(count):
    """Return the line on dropped ones."""
    return f'dropped={count}'


def test_lines_are_written_in_order():
    """What waits at the end is written."""
    stream = io.StringIO()
    queued = QueuedStream(stream, describe)
    for number in range(1000):
        queued.write(f'{number}\n')
    queued.close(LONGEST)
    assert stream.getvalue().split() == [str(one) for one in range(1000)]


def test_a_stalled_reader_holds_nobody_up():
    """Lines beyond the bound are dropped and counted."""
    stream = StalledStream()
    queued = QueuedStream(stream, describe, most=10)
    queued.write('first\n')
    assert stream.is_writing.wait(LONGEST)
    for number in range(50):
        queued.write(f'{number}\n')
    stream.may_go_on.set()
    queued.close(LONGEST)
    lines = stream.getvalue().split()
    assert lines[:3] == ['first', 'dropped=40', '0']
    assert lines[-1] == '9'


def test_a_broken_stream_ends_nothing():
    """Whoever logs goes on when the reader is gone."""
    queued = QueuedStream(BrokenStream(), describe)
    queued.write('one\n')
    queued.close(LONGEST)
    queued.write('two\n')
    assert queued.dropped_


@pytest.mark.parametrize(('events', 'written'), [('aaaaa', 3), ('aabb', 4)])
def test_each_event_has_a_budget(events, written):
    """A flood of one event leaves room for the others."""
    budget = LineBudget(StandingClock(), most=3)
    assert sum(budget.filter(build_record(one)) for one in events) == written


def test_what_was_left_out_is_told():
    """The next line of the event says how many are missing."""
    clock = StandingClock()
    budget = LineBudget(clock, most=1)
    for _ in range(5):
        budget.filter(build_record('a'))
    clock.now += 1
    record = build_record('a')
    assert budget.filter(record)
    assert record.left_out == 4


def build_record(event):
    """Return a record of an event."""
    return logging.LogRecord('part', logging.INFO, '', 0, event, (), None)
