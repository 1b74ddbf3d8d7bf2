"""Tells whether failed tries are the fault of a server or of this node."""

from sesameroute.reachability._end_detector import EndDetector
from sesameroute.reachability._prober import Prober
from sesameroute.reachability._reachability import Reachability
from sesameroute.reachability._wire import ObservedWire

__all__ = ['EndDetector', 'ObservedWire', 'Prober', 'Reachability']
