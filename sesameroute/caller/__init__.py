"""Library for the institutions' callers."""

from sesameroute.caller._caller import Caller, Outcome
from sesameroute.caller._directory import (
    Directory,
    EntryAddress,
    LookupAnswer,
)

__all__ = ['Caller', 'Directory', 'EntryAddress', 'LookupAnswer', 'Outcome']
