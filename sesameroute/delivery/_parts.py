"""The parts of delivery, put together."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from sesameroute.delivery._attempt import Attempt
from sesameroute.delivery._book import RecordLimits
from sesameroute.delivery._epoch import EpochKeeper, Members
from sesameroute.delivery._handler import PeerHandler
from sesameroute.delivery._hedge import Hedger
from sesameroute.delivery._home import Home
from sesameroute.delivery._key import Identity
from sesameroute.delivery._record import Record
from sesameroute.delivery._relay import EntryRelay, Relay
from sesameroute.delivery._retry import Retrier
from sesameroute.delivery._stop import Stopper
from sesameroute.delivery._witness import Witness
from sesameroute.ports import Clock, Peers, Steering, Upstreams
from sesameroute.quarantine import Quarantine
from sesameroute.statement import Statement

__all__ = ['DeliveryPorts', 'Parts', 'assemble_parts']


def _announce_nothing() -> None:
    """Stand for a fleet that needs no news."""


@dataclass(frozen=True, slots=True)
class DeliveryPorts:
    """All that delivery uses of the rest of the entry.

    Attributes
    ----------
    clock : Clock
        Source of time.
    steering : Steering
        Chooses backend servers.
    upstreams : Upstreams
        Way to the backend servers.
    peers : Peers
        Way to the other entry VMs, for messages.
    members : Members
        Names witnesses.
    entries : EntryRelay
        Way to the other entry VMs, for callers' requests.
    statement : callable
        Returns the statement in force, None before the first is known.
    announce : callable, optional
        Called when the prefix of request keys has changed, so that look-ups
        hear of it at once.

    """

    clock: Clock
    steering: Steering
    upstreams: Upstreams
    peers: Peers
    members: Members
    entries: EntryRelay
    statement: Callable[[], Statement | None]
    announce: Callable[[], None] = _announce_nothing


@dataclass(frozen=True, slots=True)
class Parts:
    """The parts that the pipeline leads a request through."""

    record: Record
    keeper: EpochKeeper
    quarantine: Quarantine
    relay: Relay
    retrier: Retrier
    hedger: Hedger
    home: Home
    stopper: Stopper
    peer_handler: PeerHandler


def assemble_parts(
    identity: Identity,
    ports: DeliveryPorts,
    limits: RecordLimits,
    make_event: Callable[[], threading.Event],
) -> Parts:
    """Return the parts of one entry process; nothing runs yet."""
    clock, peers = ports.clock, ports.peers
    record = Record(limits, make_event)
    keeper = EpochKeeper(identity, ports.members, record, clock, ports.announce)
    quarantine = Quarantine(identity.vm, clock, peers)
    witness = Witness(identity, clock)
    attempt = Attempt(clock, ports.steering, ports.upstreams, quarantine)
    retrier = Retrier(attempt, ports.statement)
    return Parts(
        record,
        keeper,
        quarantine,
        Relay(clock, peers, witness, ports.entries),
        retrier,
        Hedger(retrier, ports.statement),
        Home(clock, peers, keeper, record, retrier),
        Stopper(clock, peers, keeper, record),
        PeerHandler(witness, quarantine),
    )
