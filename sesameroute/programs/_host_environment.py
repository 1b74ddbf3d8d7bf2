"""Interfaces of one process to the machine, the peers and the platform."""

import random
from dataclasses import dataclass, replace

from sesameroute.adapters import HttpStore, HttpVmList, PeerNetwork
from sesameroute.membership import MembershipContext, make_incarnation
from sesameroute.ports import Clock, PeerIdentity, PeerRole, Wire
from sesameroute.settings import Settings

__all__ = ['HostEnvironment', 'build_network', 'build_membership_context']

_MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class HostEnvironment:
    """Interfaces to the machine; tests and `sesame-local` replace them.

    Attributes
    ----------
    wire : Wire
        Opens TCP connections.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.

    """

    wire: Wire
    clock: Clock
    rng: random.Random


def build_network(
    settings: Settings,
    host_environment: HostEnvironment,
    role: PeerRole,
) -> PeerNetwork:
    """Return the peer network of a process, not yet started."""
    incarnation = make_incarnation(host_environment.clock, host_environment.rng)
    port = settings.ports.peer if role is PeerRole.ENTRY else 0
    return PeerNetwork(
        PeerIdentity(settings.vm.name, incarnation, role),
        settings.peers.key.encode(),
        host_environment.wire,
        host_environment.clock,
        (settings.vm.address, port),
    )


def build_membership_context(
    settings: Settings,
    host_environment: HostEnvironment,
    network: PeerNetwork,
) -> MembershipContext:
    """Return what membership depends on.

    Only entry processes call the store and the VM list.
    """
    seeds = {
        name: (address, settings.ports.peer)
        for name, address in settings.peers.addresses
    }
    context = MembershipContext(
        identity=network.identity,
        domain=settings.vm.domain,
        peers=network,
        clock=host_environment.clock,
        seeds=seeds,
        rng=host_environment.rng,
    )
    if network.identity.role is not PeerRole.ENTRY:
        return context
    return _add_platform_clients(context, settings, host_environment)


def _add_platform_clients(
    context: MembershipContext,
    settings: Settings,
    host_environment: HostEnvironment,
) -> MembershipContext:
    source_address = settings.vm.address
    if settings.store is not None and settings.store.url:
        timeout_seconds = settings.store.timeout_ms / _MILLISECONDS
        store = HttpStore(
            settings.store.url,
            host_environment.wire,
            source_address,
            timeout_seconds,
        )
        context = replace(context, store=store, store_key=settings.store.key)
    if settings.vmlist_url:
        vm_list_client = HttpVmList(
            settings.vmlist_url, host_environment.wire, source_address
        )
        context = replace(context, vm_list=vm_list_client)
    return context
