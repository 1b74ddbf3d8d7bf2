"""Construction of the components of delivery."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.delivery._attempt import Attempt
from sesameroute.delivery._epoch import EpochManager, MembershipView
from sesameroute.delivery._epoch_table import RecordLimits
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._hedge import Hedger
from sesameroute.delivery._home import Home
from sesameroute.delivery._key import ProcessIdentity
from sesameroute.delivery._record import Record
from sesameroute.delivery._relay import EntryRelay, Relay
from sesameroute.delivery._retry import Retrier
from sesameroute.delivery._stop import Stopper
from sesameroute.delivery._witness import Witness
from sesameroute.ports import Clock, Peers, Steering, Upstreams
from sesameroute.quarantine import Quarantine
from sesameroute.statement import Statement

__all__ = ['DeliveryPorts', 'Components', 'build_components']


def _ignore_new_prefix() -> None:
    """Ignore that the prefix of request keys has changed."""


@dataclass(frozen=True, slots=True)
class DeliveryPorts:
    """What delivery uses of the rest of the entry process.

    Attributes
    ----------
    clock : Clock
        Source of the current time.
    steering : Steering
        Chooses backend servers.
    upstreams : Upstreams
        Sends requests to the backend servers.
    peers : Peers
        Sends messages to the other entry VMs.
    membership : MembershipView
        Lists the VMs that can serve as witnesses.
    entry_relay : EntryRelay
        Relays callers' requests to the other entry VMs.
    statement : callable
        Returns the statement in force, None before the first is known.
    on_new_prefix : callable, optional
        Called when the prefix of request keys has changed, so that look-ups
        learn of it at once.

    """

    clock: Clock
    steering: Steering
    upstreams: Upstreams
    peers: Peers
    membership: MembershipView
    entry_relay: EntryRelay
    statement: Callable[[], Statement | None]
    on_new_prefix: Callable[[], None] = _ignore_new_prefix


@dataclass(frozen=True, slots=True)
class Components:
    """The components that handle requests in the pipeline."""

    record: Record
    epoch_manager: EpochManager
    quarantine: Quarantine
    relay: Relay
    retrier: Retrier
    hedger: Hedger
    home: Home
    stopper: Stopper
    peer_handler: PeerHandler


def build_components(
    identity: ProcessIdentity,
    ports: DeliveryPorts,
    limits: RecordLimits,
    make_event: Callable[[], threading.Event],
) -> Components:
    """Return the components of one entry process, not yet running."""
    clock, peers = ports.clock, ports.peers
    record = Record(limits, make_event)
    epoch_manager = EpochManager(
        identity, ports.membership, record, clock, ports.on_new_prefix
    )
    quarantine = Quarantine(identity.vm, clock, peers)
    witness = Witness(identity, clock)
    attempt = Attempt(clock, ports.steering, ports.upstreams, quarantine)
    retrier = Retrier(attempt, ports.statement)
    return Components(
        record,
        epoch_manager,
        quarantine,
        Relay(clock, peers, witness, ports.entry_relay),
        retrier,
        Hedger(retrier, ports.statement),
        Home(clock, peers, epoch_manager, record, retrier),
        Stopper(clock, peers, epoch_manager, record),
        PeerHandler(witness, quarantine),
    )
