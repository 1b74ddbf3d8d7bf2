"""Submissions of statements to the platform's store."""

from sesameroute.submission._base import Base
from sesameroute.submission._change import (
    add_drain,
    add_shift,
    remove_drain,
    remove_shift,
)
from sesameroute.submission._configuration_store import ConfigurationStore
from sesameroute.submission._difference import describe_difference
from sesameroute.submission._submitter import Submitter

__all__ = [
    'Base',
    'ConfigurationStore',
    'Submitter',
    'add_drain',
    'add_shift',
    'describe_difference',
    'remove_drain',
    'remove_shift',
]
