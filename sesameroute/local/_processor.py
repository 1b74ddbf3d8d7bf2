"""Keeps the threads of a run on one processor."""

import os
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ['keep_processor']


@contextmanager
def keep_processor() -> Iterator[None]:
    """Let threads started inside run on one of the allowed processors.

    Only one thread of an interpreter runs at a time. A thousand threads
    that hand the interpreter to each other across processors pay a wake-up
    each time, and on a machine with busy neighbours that grows without
    bound; on one processor it is a plain switch.

    Examples
    --------
    >>> before = os.sched_getaffinity(0)
    >>> with keep_processor():
    ...     len(os.sched_getaffinity(0))
    1
    >>> os.sched_getaffinity(0) == before
    True

    """
    allowed = os.sched_getaffinity(0)
    chosen = sorted(allowed)[os.getpid() % len(allowed)]
    os.sched_setaffinity(0, {chosen})
    try:
        yield
    finally:  # noqa: WPS501
        os.sched_setaffinity(0, allowed)
