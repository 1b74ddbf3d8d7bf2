"""A request from admission to its verdict."""

from sesameroute.delivery._book import RecordLimits
from sesameroute.delivery._epoch import Members
from sesameroute.delivery._explain import KeyReport, explain_key
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._key import Identity, RequestKey, make_nonce
from sesameroute.delivery._parts import DeliveryPorts
from sesameroute.delivery._pipeline import Pipeline
from sesameroute.delivery._relay import RELAYED_HEADER, EntryRelay
from sesameroute.delivery._stop import StopReport
from sesameroute.delivery._witness import WitnessLimits

__all__ = [
    'RELAYED_HEADER',
    'DeliveryPorts',
    'EntryRelay',
    'Identity',
    'KeyReport',
    'Members',
    'PeerHandler',
    'Pipeline',
    'RecordLimits',
    'RequestKey',
    'StopReport',
    'WitnessLimits',
    'explain_key',
    'make_nonce',
]
