"""Output formats of the event log."""

from enum import StrEnum, unique

__all__ = ['LogFormat']


@unique
class LogFormat(StrEnum):
    """Format of a log line."""

    KEYVALUE = 'keyvalue'
    JSON = 'json'
