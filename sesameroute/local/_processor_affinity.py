"""Limits the threads of a run to two processors."""

import os
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ['limit_processors']

# One runs the threads of the interpreter, the other the network code of the
# kernel. A run can also continue on one when other programs occupy the other.
_PROCESSOR_COUNT = 2


@contextmanager
def limit_processors() -> Iterator[None]:
    """Restrict threads started in the context to two allowed processors.

    The interpreter lock lets only one thread run at a time. With a thousand
    threads, each handover of the lock to another processor costs a wake-up,
    whose delay grows without bound on a machine that runs other programs. On
    few processors the handover is mostly a context switch.

    Examples
    --------
    >>> before = os.sched_getaffinity(0)
    >>> with limit_processors():
    ...     len(os.sched_getaffinity(0)) <= 2
    True
    >>> os.sched_getaffinity(0) == before
    True

    """
    allowed = os.sched_getaffinity(0)
    first_index = os.getpid() * _PROCESSOR_COUNT
    processor_ids = sorted(allowed)
    chosen = {
        processor_ids[(first_index + number) % len(processor_ids)]
        for number in range(_PROCESSOR_COUNT)
    }
    os.sched_setaffinity(0, chosen)
    try:
        yield
    finally:  # noqa: WPS501
        os.sched_setaffinity(0, allowed)
