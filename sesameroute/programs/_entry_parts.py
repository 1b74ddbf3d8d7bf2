"""The parts of an entry process, put together."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sesameroute.adapters import (
    EntryApplication,
    HttpRelay,
    HttpUpstreams,
    ObservedDelivery,
    ObservedRelay,
    ObservedUpstreams,
    PeerNetwork,
)
from sesameroute.delivery import (
    DeliveryPorts,
    Identity,
    Pipeline,
    RecordLimits,
)
from sesameroute.membership import Membership, VmReport
from sesameroute.ports import PeerRole
from sesameroute.programs._freshness import FreshDelivery
from sesameroute.programs._members_view import MembersView
from sesameroute.programs._observers import Observers
from sesameroute.programs._surroundings import (
    Outside,
    build_network,
    build_surroundings,
)
from sesameroute.routing import SlotSteering
from sesameroute.settings import Settings
from sesameroute.statement import read_statement

__all__ = ['EntryParts', 'build_entry_parts']


@dataclass(frozen=True, slots=True)
class EntryParts:
    """All parts of an entry process.

    Attributes
    ----------
    upstreams : HttpUpstreams
        Connections to backend servers.
    relay : HttpRelay
        Connections to other entry VMs.
    application : EntryApplication
        The hot path.

    """

    network: PeerNetwork
    membership: Membership
    members: MembersView
    steering: SlotSteering
    pipeline: Pipeline
    upstreams: HttpUpstreams
    relay: HttpRelay
    application: EntryApplication

    def handle(self, sender: str, message: Any) -> Any:
        """Give a peer's message to the part that knows it."""
        handlers = (
            self.membership.handle,
            self.pipeline.peer_handler.handle,
            self.steering.handle,
        )
        for handler in handlers:
            reply = handler(sender, message)
            if reply is not None:
                return reply
        return None


def build_entry_parts(
    settings: Settings,
    outside: Outside,
    observers: Observers,
    collect: Callable[[], VmReport],
) -> EntryParts:
    """Return the parts of an entry process; nothing runs yet.

    Parameters
    ----------
    collect : callable
        Returns what this VM says of itself in its heartbeats.

    """
    network = build_network(settings, outside, PeerRole.ENTRY)
    membership = Membership(
        build_surroundings(settings, outside, network),
        read_statement,
        collect,
    )
    members = MembersView(membership)
    steering = SlotSteering(
        lambda: membership.statement,
        settings.vm.name,
        members,
        network,
        outside.clock,
        outside.rng,
    )
    upstreams = HttpUpstreams(
        outside.wire,
        settings.vm.address,
        outside.clock,
    )
    relay = _build_relay(settings, outside, membership)
    ports = DeliveryPorts(
        outside.clock,
        steering,
        ObservedUpstreams(upstreams, observers.tracer, observers.meter),
        network,
        members,
        ObservedRelay(relay, observers.tracer, observers.meter),
        lambda: membership.statement,
        membership.announce,
    )
    pipeline = Pipeline(
        Identity(settings.vm.name, network.identity.incarnation),
        ports,
        _read_limits(settings),
    )
    return EntryParts(
        network,
        membership,
        members,
        steering,
        pipeline,
        upstreams,
        relay,
        _build_application(pipeline, membership, outside, observers),
    )


def _build_relay(
    settings: Settings,
    outside: Outside,
    membership: Membership,
) -> HttpRelay:
    def find_address(vm: str) -> tuple[str, int] | None:
        statement = membership.statement
        if statement is None or vm not in statement.vms:
            return None
        return statement.vms[vm].address, statement.entry_port

    return HttpRelay(
        outside.wire,
        settings.vm.address,
        outside.clock,
        find_address,
    )


def _build_application(
    pipeline: Pipeline,
    membership: Membership,
    outside: Outside,
    observers: Observers,
) -> EntryApplication:
    delivery = ObservedDelivery(
        FreshDelivery(pipeline.deliver, membership, outside.clock),
        observers.tracer,
        observers.meter,
        observers.log,
    )
    return EntryApplication(
        delivery,
        lambda: membership.statement,
        outside.clock,
    )


def _read_limits(settings: Settings) -> RecordLimits:
    return RecordLimits(
        entries=settings.limits.record_keys,
        body_bytes=settings.limits.record_bytes,
        retention=settings.limits.record_age_seconds,
    )
