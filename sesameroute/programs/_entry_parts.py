"""Components of an entry process and their wiring."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sesameroute.adapters import (
    EntryApplication,
    HttpRelay,
    HttpUpstreams,
    InstrumentedDelivery,
    InstrumentedRelay,
    InstrumentedUpstreams,
    PeerNetwork,
)
from sesameroute.delivery import (
    DeliveryPorts,
    Pipeline,
    ProcessIdentity,
    RecordLimits,
)
from sesameroute.membership import Membership, VmReport
from sesameroute.ports import PeerRole
from sesameroute.programs._catch_up import CatchUpDelivery
from sesameroute.programs._host_environment import (
    HostEnvironment,
    build_membership_context,
    build_network,
)
from sesameroute.programs._members_view import MembersView
from sesameroute.programs._telemetry import Telemetry
from sesameroute.routing import SlotSteering
from sesameroute.settings import Settings
from sesameroute.statement import read_statement

__all__ = ['EntryParts', 'build_entry_parts']


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Components of an entry process.

    Attributes
    ----------
    upstreams : HttpUpstreams
        Connections to backend servers.
    relay : HttpRelay
        Connections to other entry VMs.
    application : EntryApplication
        WSGI application that serves callers' requests; the hot path.

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
        """Dispatch a peer's message and return the handler's reply, if any."""
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
    host_environment: HostEnvironment,
    telemetry: Telemetry,
    build_vm_report: Callable[[], VmReport],
) -> EntryParts:
    """Return the components of an entry process, not yet started.

    Parameters
    ----------
    build_vm_report : callable
        Returns the state that this VM reports in its heartbeats.

    """
    network = build_network(settings, host_environment, PeerRole.ENTRY)
    membership = Membership(
        build_membership_context(settings, host_environment, network),
        read_statement,
        build_vm_report,
    )
    members = MembersView(membership)
    steering = SlotSteering(
        lambda: membership.statement,
        settings.vm.name,
        members,
        network,
        host_environment.clock,
        host_environment.rng,
    )
    upstreams = HttpUpstreams(
        host_environment.wire,
        settings.vm.address,
        host_environment.clock,
    )
    relay = _build_relay(settings, host_environment, membership)
    ports = DeliveryPorts(
        host_environment.clock,
        steering,
        InstrumentedUpstreams(upstreams, telemetry.tracer, telemetry.meter),
        network,
        members,
        InstrumentedRelay(relay, telemetry.tracer, telemetry.meter),
        lambda: membership.statement,
        membership.send_heartbeats_now,
    )
    pipeline = Pipeline(
        ProcessIdentity(settings.vm.name, network.identity.incarnation),
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
        _build_application(pipeline, membership, host_environment, telemetry),
    )


def _build_relay(
    settings: Settings,
    host_environment: HostEnvironment,
    membership: Membership,
) -> HttpRelay:
    def find_address(vm: str) -> tuple[str, int] | None:
        statement = membership.statement
        if statement is None or vm not in statement.vms:
            return None
        return statement.vms[vm].address, statement.entry_port

    return HttpRelay(
        host_environment.wire,
        settings.vm.address,
        host_environment.clock,
        find_address,
    )


def _build_application(
    pipeline: Pipeline,
    membership: Membership,
    host_environment: HostEnvironment,
    telemetry: Telemetry,
) -> EntryApplication:
    delivery = InstrumentedDelivery(
        CatchUpDelivery(pipeline.deliver, membership, host_environment.clock),
        telemetry.tracer,
        telemetry.meter,
        telemetry.log,
    )
    return EntryApplication(
        delivery,
        lambda: membership.statement,
        host_environment.clock,
    )


def _read_limits(settings: Settings) -> RecordLimits:
    return RecordLimits(
        entries=settings.limits.record_keys,
        body_bytes=settings.limits.record_bytes,
        retention=settings.limits.record_age_seconds,
    )
