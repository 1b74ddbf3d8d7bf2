"""Client library with which institutions send requests to entry VMs."""

from sesameroute.caller._caller import Caller, Outcome
from sesameroute.caller._directory import (
    Directory,
    EntryAddress,
    LookupAnswer,
)

__all__ = ['Caller', 'Directory', 'EntryAddress', 'LookupAnswer', 'Outcome']
