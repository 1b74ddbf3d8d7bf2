"""Keeps a thread alive when a step of its work fails unexpectedly."""

import logging
import traceback
from collections.abc import Iterator
from contextlib import contextmanager

from sesameroute.exceptions import describe_error

__all__ = ['survive']

_logger = logging.getLogger(__name__)


@contextmanager
def survive(activity: str) -> Iterator[None]:
    """Log an unexpected error in the block instead of raising it.

    For threads that a process can't do without. Errors that are expected are
    handled where they occur.

    Parameters
    ----------
    activity : str
        What the block does, for the log.

    Examples
    --------
    >>> with survive('division'):
    ...     1 / 0

    """
    try:
        yield
    except Exception as error:  # noqa: BLE001
        frame = traceback.extract_tb(error.__traceback__)[-1]
        _logger.error(
            'unexpected error',
            extra={
                'activity': activity,
                'why': describe_error(error, repr),
                'at': f'{frame.name}:{frame.lineno}',
            },
        )
