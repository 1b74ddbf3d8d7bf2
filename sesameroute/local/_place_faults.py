"""Faults of entry VMs, failure domains and regions."""

import socket
from contextlib import suppress

from sesameroute.fakes import Lane
from sesameroute.local._fault import Fault, register_fault
from sesameroute.local._scene import Scene
from sesameroute.local._vm import LocalVm

__all__ = ['PLACE_FAULTS']

_SLOW_LINES = 8  # for each entry VM
_CONNECT_SECONDS = 1.0
_HALF_REQUEST = b'POST /slow/slow/slow HTTP/1.1\r\nHost: x\r\nContent-'


class VmFault(Fault):
    """A fault of one entry VM."""

    def choose(self, scene: Scene) -> LocalVm:
        """Choose the VM; it need not hear of configurations meanwhile."""
        self.vm = scene.pick_vm()
        scene.sick.add(self.vm.name)
        return self.vm

    def release(self, scene: Scene) -> None:
        """Expect it to hear of configurations again."""
        scene.sick.discard(self.vm.name)


@register_fault('entry-crash')
class EntryCrash(VmFault):
    """An entry process dies; its VM's look-up goes on."""

    def inject(self, scene: Scene) -> None:
        """Crash it."""
        self.choose(scene).entry.crash()

    def heal(self, scene: Scene) -> None:
        """Start a new one."""
        self.vm.entry.start()
        self.release(scene)


@register_fault('lookup-crash')
class LookupCrash(VmFault):
    """A look-up process dies; its VM's entry goes on."""

    def inject(self, scene: Scene) -> None:
        """Crash it."""
        self.choose(scene).lookup.crash()

    def heal(self, scene: Scene) -> None:
        """Start a new one."""
        self.vm.lookup.start()
        self.release(scene)


@register_fault('vm-lost')
class VmLost(VmFault):
    """An entry VM is gone without a word on its connections."""

    def inject(self, scene: Scene) -> None:
        """Cut it off, then end its processes."""
        vm = self.choose(scene)
        vm.wire.outages.pause(vm.address)
        vm.crash()

    def heal(self, scene: Scene) -> None:
        """Start a new VM on its address."""
        vm = self.vm
        vm.wire.reset(lambda lane: vm.address in {lane.source, lane.target})
        vm.wire.outages.resume(vm.address)
        vm.start()
        self.release(scene)


@register_fault('entry-freeze')
class EntryFreeze(VmFault):
    """An entry VM stands still, then goes on as if nothing had been."""

    def inject(self, scene: Scene) -> None:
        """Pause it."""
        self.choose(scene).pause()

    def heal(self, scene: Scene) -> None:
        """Let it go on."""
        self.vm.resume()
        self.release(scene)


@register_fault('lease-lapse')
class LeaseLapse(EntryFreeze):
    """All leases lapse while a VM stands still and believes in its own."""

    seconds = 6

    def inject(self, scene: Scene) -> None:
        """Pause a VM, then let the leases lapse."""
        super().inject(scene)
        scene.deployment.store.memory.lapse_leases()


@register_fault('entry-replace')
class EntryReplace(VmFault):
    """An entry VM is stopped as planned and replaced by a new one."""

    seconds = 0.1

    def inject(self, scene: Scene) -> None:
        """Begin to replace it."""
        self.choose(scene)
        scene.run_aside(lambda: self._replace(scene))

    def _replace(self, scene: Scene) -> None:
        watch = scene.watch_drain(self.vm.name)
        self.vm.entry.stop()
        watch.ended = scene.read_time()
        watch.seconds = watch.ended - watch.started
        self.vm.lookup.stop()
        self.vm.start()
        self.release(scene)


@register_fault('cut-domain')
class CutDomain(Fault):
    """A failure domain is cut off from all others."""

    one_way = False

    def inject(self, scene: Scene) -> None:
        """Cut it off."""
        cut = scene.pick_domain()
        domains = scene.deployment.statement.places.domains
        self.away = scene.list_vms((cut,))
        scene.sick.update(self.away)
        for domain in domains:
            if domain != cut:
                scene.deployment.wire.outages.cut(
                    cut,
                    domain,
                    one_way=self.one_way,
                )

    def heal(self, scene: Scene) -> None:
        """Join it again."""
        scene.deployment.wire.outages.heal()
        scene.sick.difference_update(self.away)


@register_fault('cut-one-way')
class CutOneWay(CutDomain):
    """Nothing gets out of a failure domain, but everything gets in."""

    one_way = True


@register_fault('cut-regions')
class CutRegions(Fault):
    """Two regions are cut off from each other."""

    def inject(self, scene: Scene) -> None:
        """Cut all pairs of their failure domains."""
        regions = scene.deployment.statement.places.regions
        first, second = scene.rng.sample(sorted(regions), 2)
        for source in regions[first]:
            for target in regions[second]:
                scene.deployment.wire.outages.cut(source, target)

    def heal(self, scene: Scene) -> None:
        """Join them again."""
        scene.deployment.wire.outages.heal()


@register_fault('region-lost')
class RegionLost(Fault):
    """A whole region is gone: entry VMs and backend servers."""

    def inject(self, scene: Scene) -> None:
        """Cut all of it off, then end everything in it."""
        places = scene.deployment.statement.places
        domains = places.regions[scene.pick_region()]
        self.addresses = frozenset(scene.deployment.list_in(domains))
        self.vms = scene.list_vms(domains)
        self.fakes = [
            fake
            for fake in scene.deployment.upstreams.values()
            if fake.upstream.domain in domains
        ]
        scene.sick.update(self.vms)
        for address in self.addresses:
            scene.deployment.wire.outages.pause(address)
        for vm in self.vms:
            scene.deployment.vms[vm].crash()
        for fake in self.fakes:
            fake.crash()

    def heal(self, scene: Scene) -> None:
        """Start all of it anew."""
        wire = scene.deployment.wire
        wire.reset(self._touches)
        for address in self.addresses:
            wire.outages.resume(address)
        for fake in self.fakes:
            fake.start()
        for vm in self.vms:
            scene.deployment.vms[vm].start()
        scene.sick.difference_update(self.vms)

    def _touches(self, lane: Lane) -> bool:
        return bool({lane.source, lane.target} & self.addresses)


@register_fault('slow-callers')
class SlowCallers(Fault):
    """Callers open connections to every entry VM and send half a request."""

    def inject(self, scene: Scene) -> None:
        """Open the connections."""
        deployment = scene.deployment
        source = deployment.callers[0].directory.source
        self.lines: list[socket.socket] = []
        for vm in deployment.statement.vms.values():
            target = (vm.address, deployment.statement.entry_port)
            for _ in range(_SLOW_LINES):
                with suppress(OSError):
                    line = deployment.wire.connect(
                        source,
                        target,
                        _CONNECT_SECONDS,
                    )
                    line.sendall(_HALF_REQUEST)
                    self.lines.append(line)

    def heal(self, scene: Scene) -> None:
        """Close them."""
        for line in self.lines:
            line.close()


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
