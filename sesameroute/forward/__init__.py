"""Forwards callers' requests to backend servers and retries failed tries."""

from sesameroute.forward._allocator import SlotAllocator
from sesameroute.forward._forwarder import Forwarder
from sesameroute.forward._guards import Guards
from sesameroute.forward._message import (
    AnswerMetadata,
    CallerRequest,
    HeaderCodec,
    RelayedRequest,
    RequestMetadata,
    TryError,
)
from sesameroute.forward._relay import Relay, RelayPeer
from sesameroute.forward._relay_codec import (
    RelayCodec,
    decode_context,
    is_refusal,
    mark_answer,
    strip_relay_header,
)
from sesameroute.forward._request_log import RequestRecord
from sesameroute.forward._retries import FleetRetryBudget, RetryBudgets
from sesameroute.forward._sender import Sender

__all__ = [
    'CallerRequest',
    'Relay',
    'RelayCodec',
    'RelayPeer',
    'RelayedRequest',
    'decode_context',
    'is_refusal',
    'mark_answer',
    'strip_relay_header',
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
