"""Tells loops that take turns from those that have stalled or ended."""

import logging
import sys
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

__all__ = ['LoopWatch']

# A loop may take this long for one turn, beyond its own pauses.
_STALL_SECONDS = 1.0
# A loop that is found stalled in this many checks in a row has ended.
_ENDED_CHECKS = 10

_logger = logging.getLogger(__name__)


class LoopWatch:
    """Watches the loops that a process can't do without.

    Parameters
    ----------
    read_turns : mapping of str to callable
        By the name of the loop's thread: returns the monotonic time in
        seconds until which the last turn and the pause after it last.

    Attributes
    ----------
    stalled_ : Counter of str
        Checks in a row that have found a loop stalled.

    Examples
    --------
    >>> watch = LoopWatch({'tick': time.monotonic})
    >>> list(watch.find_ended())
    []

    """

    def __init__(self, read_turns: Mapping[str, Callable[[], float]]) -> None:
        """Store the parameter."""
        self.read_turns = read_turns
        self.stalled_: Counter[str] = Counter()

    def find_ended(self) -> Iterator[str]:
        """Check all loops; yield those without a turn for many checks.

        Checks count rather than seconds: a process that was suspended as a
        whole finds its loops stalled once.
        """
        now = time.monotonic()
        for name, read_turn in self.read_turns.items():
            seconds = now - read_turn()
            if seconds < _STALL_SECONDS:
                self._end_stall(name)
                continue
            self.stalled_[name] += 1
            if self.stalled_[name] == 1:
                _log('loop stalled', name, seconds)
            if self.stalled_[name] >= _ENDED_CHECKS:
                _log('loop ended', name, seconds)
                yield name

    def _end_stall(self, name: str) -> None:
        if self.stalled_.pop(name, 0):
            _logger.warning('loop goes on', extra={'loop': name})


def _log(event: str, name: str, seconds: float) -> None:
    frames = sys._current_frames()  # noqa: SLF001
    places = [
        traceback.extract_stack(frames[thread.ident])[-1]
        for thread in threading.enumerate()
        if thread.name == name and thread.ident in frames
    ]
    where = ' '.join(f'{place.name}:{place.lineno}' for place in places)
    _logger.error(
        event,
        extra={
            'loop': name,
            'seconds': round(seconds, 1),
            'at': where or 'no thread',
        },
    )
