"""Entry VM of a local run, with its entry and its look-up process."""

from collections.abc import Iterable

from sesameroute.fakes import FakeWire
from sesameroute.local._process import LocalProcess
from sesameroute.programs._entry_node import EntryNode
from sesameroute.programs._lookup_node import LookupNode
from sesameroute.settings import Settings

__all__ = ['LocalVm']


class LocalVm:
    """Entry and look-up process that share an address.

    Parameters
    ----------
    settings : Settings
        Settings of both processes.
    wire : FakeWire
        Simulated network of the deployment.
    seed : int
        Seed of the random choices of both processes.

    """

    def __init__(self, settings: Settings, wire: FakeWire, seed: int) -> None:
        """Store the parameters."""
        self.settings = settings
        self.wire = wire
        ports = settings.ports
        self.entry = LocalProcess(
            EntryNode,
            settings,
            (ports.entry, ports.peer),
            wire,
            seed,
        )
        self.lookup = LocalProcess(
            LookupNode,
            settings,
            (ports.lookup,),
            wire,
            seed + 1,
        )

    @property
    def name(self) -> str:
        """Name of the VM."""
        return self.settings.vm.name

    @property
    def address(self) -> str:
        """IP address of the VM."""
        return self.settings.vm.address

    @property
    def domain(self) -> str:
        """Failure domain of the VM."""
        return self.settings.vm.domain

    def start(self) -> None:
        """Start both processes."""
        self.entry.start()
        self.lookup.start()

    def crash(self) -> None:
        """End both processes without a shutdown."""
        self.entry.crash()
        self.lookup.crash()

    def pause(self) -> None:
        """Freeze the network and the clocks of the VM."""
        self.wire.outages.pause(self.address)
        self.entry.pause()
        self.lookup.pause()

    def resume(self) -> None:
        """Let the clocks and the network of the VM continue."""
        self.entry.resume()
        self.lookup.resume()
        self.wire.outages.resume(self.address)

    def list_versions(self) -> tuple[tuple[int, int], ...]:
        """Return `id` of the node and configuration version of each process."""
        entry, lookup = self.entry.node, self.lookup.node
        versions = []
        if entry is not None:
            versions.append((id(entry), entry.parts.membership.version))
        if lookup is not None:
            versions.append((id(lookup), lookup.membership.version))
        return tuple(versions)

    def is_ready(self, services: Iterable[str]) -> bool:
        """Return whether the VM can serve.

        Both processes must have a configuration, and the look-up must return
        entry VMs with a key prefix for each service.
        """
        lookup = self.lookup.node
        if not all(version for _, version in self.list_versions()):
            return False
        answers = (lookup.find_entries(each, self.domain) for each in services)
        return all(
            answer['entries']
            and all(each['prefix'] for each in answer['entries'])
            for answer in answers
        )
