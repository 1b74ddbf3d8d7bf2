"""Submission of statements to the platform's key-value store.

A submission replaces the stored configuration, which holds a statement with
its version, by a compare-and-swap.
"""

from sesameroute.submission._change import (
    add_drain,
    add_shift,
    remove_drain,
    remove_shift,
)
from sesameroute.submission._configuration_store import ConfigurationStore
from sesameroute.submission._difference import describe_difference
from sesameroute.submission._stored_configuration import StoredConfiguration
from sesameroute.submission._submitter import Submitter

__all__ = [
    'StoredConfiguration',
    'ConfigurationStore',
    'Submitter',
    'add_drain',
    'add_shift',
    'describe_difference',
    'remove_drain',
    'remove_shift',
]
