"""Speaks the platform's names, formats and calls; decides nothing."""

from sesameroute.platform._dialect import PlatformDialect
from sesameroute.platform._directory import (
    READY_PATH,
    RESOLVE_PATH,
    read_question,
    write_places,
)
from sesameroute.platform._feed import PlatformFeed
from sesameroute.platform._store import LeaseLostError, PlatformStore

__all__ = [
    'LeaseLostError',
    'PlatformDialect',
    'PlatformFeed',
    'PlatformStore',
    'READY_PATH',
    'RESOLVE_PATH',
    'read_question',
    'write_places',
]
