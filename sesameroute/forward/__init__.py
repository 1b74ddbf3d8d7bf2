"""Forwards callers' requests to backend servers and retries failed tries."""

from sesameroute.forward._forwarder import Forwarder, SlotAllocator
from sesameroute.forward._guards import Guards
from sesameroute.forward._message import (
    AnswerMetadata,
    CallerRequest,
    HeaderCodec,
    RequestMetadata,
    TryError,
)
from sesameroute.forward._request_log import RequestRecord
from sesameroute.forward._retries import FleetRetryBudget, RetryBudgets
from sesameroute.forward._sender import Sender

__all__ = [
    'CallerRequest',
    'RequestMetadata',
    'HeaderCodec',
    'FleetRetryBudget',
    'Forwarder',
    'Guards',
    'AnswerMetadata',
    'RequestRecord',
    'RetryBudgets',
    'Sender',
    'SlotAllocator',
    'TryError',
]
