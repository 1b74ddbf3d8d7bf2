"""Ports of one process, built from its settings."""

import random
from dataclasses import dataclass, replace

from sesameroute.adapters import HttpStore, HttpVmList, PeerNetwork
from sesameroute.membership import Surroundings, make_incarnation
from sesameroute.ports import Clock, PeerIdentity, PeerRole, Wire
from sesameroute.settings import Settings

__all__ = ['Outside', 'build_network', 'build_surroundings']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class Outside:
    """What a node takes from the machine; tests bring their own.

    Attributes
    ----------
    wire : Wire
        Opens TCP connections.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random choices.

    """

    wire: Wire
    clock: Clock
    rng: random.Random


def build_network(
    settings: Settings,
    outside: Outside,
    role: PeerRole,
) -> PeerNetwork:
    """Return the peer network of a process, not yet started."""
    incarnation = make_incarnation(outside.clock, outside.rng)
    port = settings.ports.peer if role is PeerRole.ENTRY else 0
    return PeerNetwork(
        PeerIdentity(settings.vm.name, incarnation, role),
        settings.peers.key.encode(),
        outside.wire,
        outside.clock,
        (settings.vm.address, port),
    )


def build_surroundings(
    settings: Settings,
    outside: Outside,
    network: PeerNetwork,
) -> Surroundings:
    """Return what membership needs; only entry VMs call the store."""
    seeds = {
        name: (address, settings.ports.peer)
        for name, address in settings.peers.addresses
    }
    around = Surroundings(
        identity=network.identity,
        domain=settings.vm.domain,
        peers=network,
        clock=outside.clock,
        seeds=seeds,
        rng=outside.rng,
    )
    if network.identity.role is not PeerRole.ENTRY:
        return around
    return _add_platform(around, settings, outside)


def _add_platform(
    around: Surroundings,
    settings: Settings,
    outside: Outside,
) -> Surroundings:
    source = settings.vm.address
    if settings.store is not None and settings.store.url:
        seconds = settings.store.timeout_ms / _MILLISECONDS
        store = HttpStore(settings.store.url, outside.wire, source, seconds)
        around = replace(around, store=store, store_key=settings.store.key)
    if settings.vmlist_url:
        listed = HttpVmList(settings.vmlist_url, outside.wire, source)
        around = replace(around, vm_list=listed)
    return around
