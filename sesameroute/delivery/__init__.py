"""Delivery of requests from an entry VM to the backend servers.

A non-idempotent request runs at most once under its request key. The key names
the home of the request, the only entry process that may send the request to a
backend server. It also names a witness, a process on another VM that records
the key before the request is sent. If the home fails, the witness still knows
whether the request may have run. A request that ends without a response gets a
verdict on whether it may have run.
"""

from sesameroute.delivery._epoch import MembershipView
from sesameroute.delivery._epoch_table import RecordLimits
from sesameroute.delivery._explain import KeyReport, explain_key
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._key import ProcessIdentity, RequestKey, make_nonce
from sesameroute.delivery._parts import DeliveryPorts
from sesameroute.delivery._pipeline import Pipeline
from sesameroute.delivery._relay import RELAYED_HEADER, EntryRelay
from sesameroute.delivery._stop import StopReport
from sesameroute.delivery._witness import WitnessLimits

__all__ = [
    'RELAYED_HEADER',
    'DeliveryPorts',
    'EntryRelay',
    'ProcessIdentity',
    'KeyReport',
    'MembershipView',
    'PeerHandler',
    'Pipeline',
    'RecordLimits',
    'RequestKey',
    'StopReport',
    'WitnessLimits',
    'explain_key',
    'make_nonce',
]
