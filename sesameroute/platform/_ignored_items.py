"""Log and count of the store's items that are not valid."""

import logging
from collections.abc import Callable

from sesameroute.exceptions import describe_error
from sesameroute.platform._field_types import MAX_KEY_CHARACTERS
from sesameroute.platform._names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MEMBER_PREFIX,
    REGISTRY_PREFIX,
)
from sesameroute.routes import UnreadablePart

__all__ = ['IgnoredItems']

_KINDS_BY_PREFIX = (
    (CONFIGURATION_KEY, 'configuration'),
    (EVACUATION_PREFIX, 'evacuation'),
    (REGISTRY_PREFIX, 'backend'),
    (MEMBER_PREFIX, 'node'),
)
_OTHER = 'other'
_PART = 'part'

_logger = logging.getLogger(__name__)


class IgnoredItems:
    """Logs and counts the items that are ignored.

    Attributes
    ----------
    observer_ : callable
        Called with the kind of each ignored item: ``configuration``,
        ``part`` of a configuration, ``evacuation``, ``backend``, ``node`` or
        ``other``.

    """

    def __init__(self) -> None:
        """Start without an observer."""
        self.observer_: Callable[[str], None] = _ignore_kind

    def record(self, key: str, error: Exception) -> None:
        """Log an item that is ignored, with the reason, and count it."""
        _logger.warning(
            'item not valid',
            extra={
                'key': key[:MAX_KEY_CHARACTERS],
                'why': describe_error(error),
            },
        )
        self.observer_(_name_kind(key))

    def record_part(self, part: UnreadablePart) -> None:
        """Log and count a part of a configuration that is not understood."""
        _logger.warning(
            'configuration part not understood',
            extra={
                'key': CONFIGURATION_KEY,
                'part': part.where,
                'why': part.why,
            },
        )
        self.observer_(_PART)


def _name_kind(key: str) -> str:
    for prefix, kind in _KINDS_BY_PREFIX:
        if key.startswith(prefix):
            return kind
    return _OTHER


def _ignore_kind(_kind: str) -> None:
    """Do nothing; the default observer."""
