"""Interfaces between the decisions and the outside."""

from sesameroute.ports._clock import Clock, SystemClock
from sesameroute.ports._message import (
    decode_message,
    encode_message,
    register_message,
)
from sesameroute.ports._peer import (
    MessageHandler,
    PeerIdentity,
    PeerRole,
    Peers,
)
from sesameroute.ports._steering import (
    Choice,
    Outcome,
    OutcomeCode,
    Steering,
)
from sesameroute.ports._store import Store, StoredValue
from sesameroute.ports._upstream import Answer, Headers, Request, Upstreams
from sesameroute.ports._vmlist import ListedVm, VmList
from sesameroute.ports._wire import TcpWire, Wire

__all__ = [
    'Answer',
    'Choice',
    'Clock',
    'Headers',
    'ListedVm',
    'MessageHandler',
    'Outcome',
    'OutcomeCode',
    'PeerIdentity',
    'PeerRole',
    'Peers',
    'Request',
    'Steering',
    'Store',
    'StoredValue',
    'SystemClock',
    'TcpWire',
    'Upstreams',
    'VmList',
    'Wire',
    'decode_message',
    'encode_message',
    'register_message',
]
