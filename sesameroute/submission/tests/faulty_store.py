"""A store that fails as told and keeps what it accepted."""

from collections import deque
from contextlib import suppress
from dataclasses import replace
from enum import Enum, auto

from sesameroute.exceptions import (
    ConflictError,
    StoreDownError,
    StoreUnknownError,
)
from sesameroute.membership import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from sesameroute.ports import StoredValue


class Fault(Enum):
    """What befalls the next call."""

    NONE = auto()
    DOWN = auto()
    STALE = auto()
    LOST_BEFORE = auto()
    LOST_AFTER = auto()
    LOST_AND_BUILT_UPON = auto()
    DELAYED = auto()
    RIVAL = auto()


class FaultyStore:
    """Implements what a submission needs of `ports.Store`."""

    def __init__(self):
        """Start empty and without faults."""
        self.faults = deque()
        self.accepted = []
        self.delayed = []
        self.rivals = 0

    def read(self, key):
        """Return the newest value or a stale one."""
        fault = self._next_fault()
        if fault is Fault.DOWN:
            raise StoreDownError('down')
        if fault is Fault.RIVAL:
            self.add_rival()
        newest = len(self.accepted)
        is_stale = fault is Fault.STALE and newest > 1
        return self.load(newest - int(is_stale))

    def swap(self, key, content, revision):
        """Swap, with the next fault before, after or instead of it."""
        fault = self._next_fault()
        if fault is Fault.DOWN:
            raise StoreDownError('down')
        if fault is Fault.RIVAL:
            self.add_rival()
        if fault is Fault.DELAYED:
            self.delayed.append((content, revision))
        if fault in {Fault.DELAYED, Fault.LOST_BEFORE}:
            raise StoreUnknownError('lost')
        self._apply(content, revision)
        if fault is Fault.LOST_AND_BUILT_UPON:
            self.add_rival()
        if fault in {Fault.LOST_AFTER, Fault.LOST_AND_BUILT_UPON}:
            raise StoreUnknownError('lost')
        return StoredValue(content, revision + 1)

    def load(self, revision):
        """Return the value of a revision, None if there was none."""
        if revision <= 0:
            return None
        content = encode_configuration(self.accepted[revision - 1])
        return StoredValue(content, revision)

    def add_rival(self):
        """Let another operator submit on top of what is stored."""
        if not self.accepted:
            return
        self.rivals += 1
        newest = self.accepted[-1]
        rival = replace(
            newest,
            version=newest.version + 1,
            submission=f'rival-{self.rivals}',
            recent=(newest.submission, *newest.recent)[:32],
        )
        self.accepted.append(rival)

    def deliver(self):
        """Let delayed writes arrive."""
        while self.delayed:
            with suppress(ConflictError):
                self._apply(*self.delayed.pop())

    def _next_fault(self):
        if len(self.delayed) > 1:
            self.deliver()
        return self.faults.popleft() if self.faults else Fault.NONE

    def _apply(self, content, revision):
        if revision != len(self.accepted):
            raise ConflictError('other revision')
        configuration = decode_configuration(content)
        assert isinstance(configuration, Configuration)
        self.accepted.append(configuration)


class StepClock:
    """A clock that only sleeping moves."""

    def __init__(self):
        """Start at zero."""
        self.now = 0

    def read_monotonic(self):
        """Return the seconds slept."""
        return self.now

    def read_wall(self):
        """Return the seconds slept."""
        return self.now

    def sleep(self, seconds):
        """Move on."""
        self.now += seconds
