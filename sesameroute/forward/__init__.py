"""Forwards callers' requests to backend servers."""

from sesameroute.forward._account import RequestRecord
from sesameroute.forward._forwarder import Forwarder, Guards, Placing
from sesameroute.forward._message import (
    CallerRequest,
    CallerTerms,
    Dialect,
    Marks,
    TryError,
)
from sesameroute.forward._retries import RetryBudgets, RetryTerms
from sesameroute.forward._sender import Sender

__all__ = [
    'CallerRequest',
    'CallerTerms',
    'Dialect',
    'Forwarder',
    'Guards',
    'Marks',
    'Placing',
    'RequestRecord',
    'RetryBudgets',
    'RetryTerms',
    'Sender',
    'TryError',
]
