"""Faults of entry VMs, failure domains, regions and caller connections."""

import socket
from contextlib import suppress

from sesameroute.fakes import DelayedStream
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._fault_context import FaultContext
from sesameroute.local._vm import LocalVm

__all__ = ['PLACE_FAULTS']

_SLOW_CONNECTIONS_PER_VM = 8
_CONNECT_TIMEOUT_SECONDS = 1.0
_INCOMPLETE_REQUEST = b'POST /slow/slow/slow HTTP/1.1\r\nHost: x\r\nContent-'


class VmFault(Fault):
    """Base class of the faults of one entry VM."""

    def choose_vm(self, context: FaultContext) -> LocalVm:
        """Choose the VM and exempt it from the configuration check."""
        self.vm = context.pick_vm()
        context.faulty_vms.add(self.vm.name)
        return self.vm

    def mark_recovered(self, context: FaultContext) -> None:
        """Include the VM in the configuration check again."""
        context.faulty_vms.discard(self.vm.name)


@register_fault('entry-crash')
class EntryCrash(VmFault):
    """An entry process crashes; the look-up on its VM keeps running."""

    def inject(self, context: FaultContext) -> None:
        """Crash the process."""
        self.choose_vm(context).entry.crash()

    def heal(self, context: FaultContext) -> None:
        """Start a new process."""
        self.vm.entry.start()
        self.mark_recovered(context)


@register_fault('lookup-crash')
class LookupCrash(VmFault):
    """A look-up process crashes; the entry on its VM keeps running."""

    def inject(self, context: FaultContext) -> None:
        """Crash the process."""
        self.choose_vm(context).lookup.crash()

    def heal(self, context: FaultContext) -> None:
        """Start a new process."""
        self.vm.lookup.start()
        self.mark_recovered(context)


@register_fault('vm-lost')
class VmLost(VmFault):
    """An entry VM disappears without closing its connections."""

    def inject(self, context: FaultContext) -> None:
        """Isolate the VM first, so that peers see no close, then end it."""
        vm = self.choose_vm(context)
        vm.wire.outages.pause(vm.address)
        vm.crash()

    def heal(self, context: FaultContext) -> None:
        """Reset the old connections and start a new VM on the same address."""
        vm = self.vm
        vm.wire.reset(
            lambda stream: vm.address in {stream.source, stream.target}
        )
        vm.wire.outages.resume(vm.address)
        vm.start()
        self.mark_recovered(context)


@register_fault('entry-freeze')
class EntryFreeze(VmFault):
    """An entry VM freezes, then continues with its old state."""

    def inject(self, context: FaultContext) -> None:
        """Pause the VM."""
        self.choose_vm(context).pause()

    def heal(self, context: FaultContext) -> None:
        """Resume the VM."""
        self.vm.resume()
        self.mark_recovered(context)


@register_fault('lease-lapse')
class LeaseLapse(EntryFreeze):
    """All leases expire while a VM is frozen and still trusts its own."""

    seconds = 6

    def inject(self, context: FaultContext) -> None:
        """Pause a VM, then expire all leases."""
        super().inject(context)
        context.deployment.store.memory.expire_leases()


@register_fault('entry-replace')
class EntryReplace(VmFault):
    """An entry VM is shut down gracefully and replaced by a new one."""

    seconds = 0.1

    def inject(self, context: FaultContext) -> None:
        """Start the replacement in the background."""
        self.choose_vm(context)
        context.run_in_background(lambda: self._replace(context))

    def _replace(self, context: FaultContext) -> None:
        drain_record = context.record_drain(self.vm.name)
        self.vm.entry.stop()
        drain_record.ended = context.read_time()
        drain_record.seconds = drain_record.ended - drain_record.started
        self.vm.lookup.stop()
        self.vm.start()
        self.mark_recovered(context)


@register_fault('cut-domain')
class CutDomain(Fault):
    """A network partition isolates a failure domain from all others."""

    one_way = False

    def inject(self, context: FaultContext) -> None:
        """Cut the network between the domain and all others."""
        isolated_domain = context.pick_domain()
        domains = context.deployment.statement.places.domains
        self.isolated_vms = context.list_vms((isolated_domain,))
        context.faulty_vms.update(self.isolated_vms)
        for domain in domains:
            if domain != isolated_domain:
                context.deployment.wire.outages.cut(
                    isolated_domain,
                    domain,
                    one_way=self.one_way,
                )

    def heal(self, context: FaultContext) -> None:
        """Restore the network."""
        context.deployment.wire.outages.heal()
        context.faulty_vms.difference_update(self.isolated_vms)


@register_fault('cut-one-way')
class CutOneWay(CutDomain):
    """A failure domain can receive from all others but not send to them."""

    one_way = True


@register_fault('cut-regions')
class CutRegions(Fault):
    """A network partition separates two regions."""

    def inject(self, context: FaultContext) -> None:
        """Cut the network between all pairs of their failure domains."""
        regions = context.deployment.statement.places.regions
        first, second = context.rng.sample(sorted(regions), 2)
        for source in regions[first]:
            for target in regions[second]:
                context.deployment.wire.outages.cut(source, target)

    def heal(self, context: FaultContext) -> None:
        """Restore the network."""
        context.deployment.wire.outages.heal()


@register_fault('region-lost')
class RegionLost(Fault):
    """A whole region fails: entry VMs and backend servers."""

    def inject(self, context: FaultContext) -> None:
        """Isolate all addresses, then end all processes in the region."""
        places = context.deployment.statement.places
        domains = places.regions[context.pick_region()]
        self.addresses = frozenset(context.deployment.list_addresses(domains))
        self.vms = context.list_vms(domains)
        self.fakes = [
            fake
            for fake in context.deployment.upstreams.values()
            if fake.upstream.domain in domains
        ]
        context.faulty_vms.update(self.vms)
        for address in self.addresses:
            context.deployment.wire.outages.pause(address)
        for vm in self.vms:
            context.deployment.vms[vm].crash()
        for fake in self.fakes:
            fake.crash()

    def heal(self, context: FaultContext) -> None:
        """Reset the old connections and start everything again."""
        wire = context.deployment.wire
        wire.reset(self._involves_region)
        for address in self.addresses:
            wire.outages.resume(address)
        for fake in self.fakes:
            fake.start()
        for vm in self.vms:
            context.deployment.vms[vm].start()
        context.faulty_vms.difference_update(self.vms)

    def _involves_region(self, stream: DelayedStream) -> bool:
        return bool({stream.source, stream.target} & self.addresses)


@register_fault('slow-callers')
class SlowCallers(Fault):
    """Callers open connections to every entry VM and send half a request."""

    def inject(self, context: FaultContext) -> None:
        """Open the connections and send incomplete request headers."""
        deployment = context.deployment
        source = deployment.callers[0].directory.source
        self.connections: list[socket.socket] = []
        for vm in deployment.statement.vms.values():
            target = (vm.address, deployment.statement.entry_port)
            for _ in range(_SLOW_CONNECTIONS_PER_VM):
                with suppress(OSError):
                    connection = deployment.wire.connect(
                        source,
                        target,
                        _CONNECT_TIMEOUT_SECONDS,
                    )
                    connection.sendall(_INCOMPLETE_REQUEST)
                    self.connections.append(connection)

    def heal(self, context: FaultContext) -> None:
        """Close the connections."""
        for connection in self.connections:
            connection.close()


PLACE_FAULTS = (
    EntryCrash,
    LookupCrash,
    VmLost,
    EntryFreeze,
    LeaseLapse,
    EntryReplace,
    CutDomain,
    CutOneWay,
    CutRegions,
    RegionLost,
    SlowCallers,
)
