"""What membership needs from outside."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameroute.membership._targets import FanOut
from sesameroute.ports import Clock, PeerIdentity, Peers, Store, VmList

__all__ = ['CONFIGURATION_KEY', 'Surroundings']

CONFIGURATION_KEY = 'sesameroute/configuration'


@dataclass(frozen=True, slots=True)
class Surroundings:
    """The ports and settings of one process.

    Attributes
    ----------
    identity : PeerIdentity
        Who this process is.
    domain : str
        Its failure domain.
    peers : Peers
        Streams to other processes.
    clock : Clock
        Source of time.
    store : Store or None
        None for processes that learn only from peers.
    store_key : str
        Key of the institution's configuration.
    vm_list : VmList or None
        The platform's list.
    seeds : mapping of str to tuple of (str, int)
        VMs with IP address and port to dial while no statement is known.
    fan_out : FanOut
        Bounds on streams.
    rng : random.Random
        Source of jitter.

    """

    identity: PeerIdentity
    domain: str
    peers: Peers
    clock: Clock
    store: Store | None = None
    vm_list: VmList | None = None
    store_key: str = CONFIGURATION_KEY
    seeds: Mapping[str, tuple[str, int]] = field(default_factory=dict)
    fan_out: FanOut = field(default_factory=FanOut)
    rng: random.Random = field(default_factory=random.Random)
