"""The ports and settings that membership depends on."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameroute.membership._targets import FanOut
from sesameroute.ports import Clock, PeerIdentity, Peers, Store, VmList

__all__ = ['CONFIGURATION_KEY', 'MembershipContext']

CONFIGURATION_KEY = 'sesameroute/configuration'


@dataclass(frozen=True, slots=True)
class MembershipContext:
    """The ports and settings of one process, as membership needs them.

    Attributes
    ----------
    identity : PeerIdentity
        Identity of this process among its peers.
    domain : str
        Its failure domain.
    peers : Peers
        Streams to other processes.
    clock : Clock
        Source of time.
    store : Store or None
        None for processes that get the configuration only from peers.
    store_key : str
        Key of the institution's configuration in the store.
    vm_list : VmList or None
        The platform's VM list; None for processes that never poll it.
    seeds : mapping of str to tuple of (str, int)
        Names of VMs with IP address and port, dialled while no statement is
        known.
    fan_out : FanOut
        Upper bounds on the number of peer streams.
    rng : random.Random
        Source of randomness for jitter and for the choice of peers.

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
