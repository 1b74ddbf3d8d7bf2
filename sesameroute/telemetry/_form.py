"""Forms of log lines."""

from enum import StrEnum, unique

__all__ = ['LogFormat']


@unique
class LogFormat(StrEnum):
    """Form of a log line."""

    KEYVALUE = 'keyvalue'
    JSON = 'json'
