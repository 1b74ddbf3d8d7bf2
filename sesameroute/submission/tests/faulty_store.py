"""A store with injected faults that records the accepted configurations."""

from collections import deque
from contextlib import suppress
from dataclasses import replace
from enum import Enum, auto

from sesameroute.exceptions import (
    ConflictError,
    StoreOutcomeUnknownError,
    StoreUnreachableError,
)
from sesameroute.membership import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from sesameroute.ports import StoredValue


class Fault(Enum):
    """Fault that is injected into the next call.

    Faults that are described for one kind of call don't affect the other.

    Attributes
    ----------
    NONE
        The call succeeds.
    DOWN
        The store can't be reached.
    STALE
        A read returns the revision before the newest.
    LOST_REQUEST
        A swap is lost on its way to the store.
    LOST_ANSWER
        A swap takes effect, but its answer is lost.
    LOST_ANSWER_AND_SUPERSEDED
        As LOST_ANSWER, and another submission follows.
    DELAYED
        A swap times out and arrives at the store later.
    CONCURRENT_SUBMISSION
        Another operator's submission is accepted just before the call.

    """

    NONE = auto()
    DOWN = auto()
    STALE = auto()
    LOST_REQUEST = auto()
    LOST_ANSWER = auto()
    LOST_ANSWER_AND_SUPERSEDED = auto()
    DELAYED = auto()
    CONCURRENT_SUBMISSION = auto()


class FaultyStore:
    """Implements the methods of `ports.Store` that submissions use."""

    def __init__(self):
        """Start without configurations and faults."""
        self.faults = deque()
        self.accepted = []
        self.delayed = []
        self.concurrent_submissions = 0

    def read(self, key):
        """Return the newest value or, with a STALE fault, an older one."""
        fault = self._next_fault()
        if fault is Fault.DOWN:
            raise StoreUnreachableError('down')
        if fault is Fault.CONCURRENT_SUBMISSION:
            self.add_concurrent_submission()
        newest = len(self.accepted)
        is_stale = fault is Fault.STALE and newest > 1
        return self.read_revision(newest - int(is_stale))

    def swap(self, key, content, revision, tag=''):
        """Compare and swap, subject to the next fault."""
        fault = self._next_fault()
        if fault is Fault.DOWN:
            raise StoreUnreachableError('down')
        if fault is Fault.CONCURRENT_SUBMISSION:
            self.add_concurrent_submission()
        if fault is Fault.DELAYED:
            self.delayed.append((content, revision, tag))
        if fault in {Fault.DELAYED, Fault.LOST_REQUEST}:
            raise StoreOutcomeUnknownError('lost')
        self._apply(content, revision, tag)
        if fault is Fault.LOST_ANSWER_AND_SUPERSEDED:
            self.add_concurrent_submission()
        if fault in {Fault.LOST_ANSWER, Fault.LOST_ANSWER_AND_SUPERSEDED}:
            raise StoreOutcomeUnknownError('lost')
        return StoredValue(content, revision + 1)

    def read_revision(self, revision):
        """Return the value of a revision; None if there was none."""
        if revision <= 0:
            return None
        content = encode_configuration(self.accepted[revision - 1])
        return StoredValue(content, revision, content.decode())

    def add_concurrent_submission(self):
        """Accept another operator's submission, based on the newest one."""
        if not self.accepted:
            return
        self.concurrent_submissions += 1
        newest = self.accepted[-1]
        concurrent = replace(
            newest,
            version=newest.version + 1,
            submission=f'concurrent-{self.concurrent_submissions}',
            recent=(newest.submission, *newest.recent)[:32],
        )
        self.accepted.append(concurrent)

    def deliver_delayed(self):
        """Apply the delayed swaps."""
        while self.delayed:
            with suppress(ConflictError):
                self._apply(*self.delayed.pop())

    def _next_fault(self):
        if len(self.delayed) > 1:
            self.deliver_delayed()
        return self.faults.popleft() if self.faults else Fault.NONE

    def _apply(self, content, revision, tag):
        current = self.read_revision(len(self.accepted))
        if revision != len(self.accepted) or (tag and tag != current.tag):
            raise ConflictError('other value')
        configuration = decode_configuration(content)
        assert isinstance(configuration, Configuration)
        self.accepted.append(configuration)


class FakeClock:
    """A clock that advances only when `sleep` is called."""

    def __init__(self):
        """Start at zero."""
        self.now = 0

    def read_monotonic(self):
        """Return the time slept in seconds."""
        return self.now

    def read_wall(self):
        """Return the time slept in seconds."""
        return self.now

    def sleep(self, seconds):
        """Advance the clock."""
        self.now += seconds
