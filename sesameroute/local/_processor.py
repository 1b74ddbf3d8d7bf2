"""Keeps the threads of a run on few processors."""

import os
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ['keep_processors']

# One runs the interpreter's threads, the other the kernel's part of sending;
# a run also has somewhere to go when other work takes one of them.
_PROCESSORS = 2


@contextmanager
def keep_processors() -> Iterator[None]:
    """Let threads started inside run on two of the allowed processors.

    Only one thread of an interpreter runs at a time. A thousand threads
    that hand the interpreter to each other across processors pay a wake-up
    each time, and on a machine with busy neighbours that grows without
    bound; on few processors it is mostly a plain switch.

    Examples
    --------
    >>> before = os.sched_getaffinity(0)
    >>> with keep_processors():
    ...     len(os.sched_getaffinity(0)) <= 2
    True
    >>> os.sched_getaffinity(0) == before
    True

    """
    allowed = os.sched_getaffinity(0)
    first = os.getpid() * _PROCESSORS
    ordered = sorted(allowed)
    chosen = {
        ordered[(first + number) % len(ordered)]
        for number in range(_PROCESSORS)
    }
    os.sched_setaffinity(0, chosen)
    try:
        yield
    finally:  # noqa: WPS501
        os.sched_setaffinity(0, allowed)
