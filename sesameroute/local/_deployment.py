"""A whole deployment of one institution in one process."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sesameroute.adapters import HttpStore
from sesameroute.fakes import (
    Behaviour,
    FakeStoreServer,
    FakeUpstream,
    FakeVmList,
    FakeWire,
    Geography,
    Journal,
    Site,
    WorkKind,
)
from sesameroute.local._callers import build_callers, list_caller_sites
from sesameroute.local._options import RunOptions
from sesameroute.local._vm import LocalVm
from sesameroute.ports import ListedVm, SystemClock
from sesameroute.settings import (
    LogLevel,
    LogSettings,
    PeerSettings,
    PortSettings,
    Settings,
    StoreSettings,
    TraceExport,
    TraceSettings,
    VmSettings,
)
from sesameroute.statement import Statement, Vm
from sesameroute.submission import ConfigurationStore, Submitter

__all__ = ['Deployment']

_STORE_PORT = 8500
_VMLIST_PORT = 8501
_STORE_HOST = 250  # last octet, in the network of the first entry VM
_DESK_HOST = 251
_VMLIST_LAG = 5.0  # seconds
_PEER_KEY = 'a-key-for-local-runs-only'
_MILLISECONDS = 1000
_STORE_SECONDS = 2.0
_READY_SECONDS = 20.0
_POLL_SECONDS = 0.05


class Deployment:
    """Network, platform, backend servers, entry VMs and callers.

    Parameters
    ----------
    statement : Statement
        What to build, with addresses of this machine.
    options : RunOptions
        Seed, callers and work factor.

    Attributes
    ----------
    vms : dict of str to LocalVm
    upstreams : dict of str to FakeUpstream
    callers : tuple of Caller

    """

    def __init__(self, statement: Statement, options: RunOptions) -> None:
        """Compose the parts; `start` runs them."""
        self.statement = statement
        self.options = options
        self.journal = Journal()
        first = next(iter(statement.vms.values()))
        self._network = first.address.rpartition('.')[0]
        self.wire = FakeWire(self._map())
        self.store = FakeStoreServer(
            f'{self._network}.{_STORE_HOST}',
            _STORE_PORT,
        )
        self.vm_list = FakeVmList(
            f'{self._network}.{_STORE_HOST}',
            _VMLIST_PORT,
            _VMLIST_LAG,
        )
        self.upstreams = self._build_upstreams()
        self.vms = self._build_vms()
        self.callers = build_callers(statement, self.wire, options)

    @property
    def store_key(self) -> str:
        """Key of the configuration in the store."""
        return f'sesameroute/{self.statement.institution}'

    def start(self) -> None:
        """Start all; the statement is in force when this returns."""
        self.wire.start()
        self.store.start()
        self.vm_list.start()
        self.publish_vms()
        for upstream in self.upstreams.values():
            upstream.start()
        Submitter(self.open_desk()).submit(self.statement)
        for vm in self.vms.values():
            vm.start()
        _wait_ready(tuple(self.vms.values()), tuple(self.statement.services))

    def stop(self) -> None:
        """Stop all at once."""
        self.wire.stop()
        for upstream in self.upstreams.values():
            upstream.crash()
        endings = [
            *(vm.crash for vm in self.vms.values()),
            self.vm_list.stop,
            self.store.stop,
        ]
        # A server takes up to a second to let go of its threads.
        with ThreadPoolExecutor(len(endings)) as pool:
            tuple(pool.map(_call, endings))

    def open_desk(self) -> ConfigurationStore:
        """Return an operator's access to the configuration."""
        store = HttpStore(
            self.store.url,
            self.wire,
            f'{self._network}.{_DESK_HOST}',
            _STORE_SECONDS,
        )
        return ConfigurationStore(store, self.store_key, SystemClock())

    def publish_vms(self, *leaving: str) -> None:
        """Publish the VM list."""
        named = (
            *self.statement.vms.values(),
            *self.statement.upstreams.values(),
        )
        self.vm_list.publish(
            ListedVm(each.name, each.address, each.name in leaving)
            for each in named
        )

    def list_in(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses of all VMs and backend servers of domains."""
        named = (
            *self.statement.vms.values(),
            *self.statement.upstreams.values(),
        )
        return tuple(each.address for each in named if each.domain in domains)

    def _map(self) -> Geography:
        statement = self.statement
        named = (*statement.vms.values(), *statement.upstreams.values())
        sites = {each.address: Site(each.domain) for each in named}
        sites.update(list_caller_sites(statement, self.options.callers))
        region = statement.places.store_region
        near = Site(statement.places.regions[region][0])
        for host in (_STORE_HOST, _DESK_HOST):
            sites[f'{self._network}.{host}'] = near
        return Geography(statement.places, sites)

    def _build_upstreams(self) -> dict[str, FakeUpstream]:
        factor = self.options.work_factor / _MILLISECONDS
        kinds = {
            kind.name: WorkKind(kind.work_ms * factor, kind.answer_bytes)
            for kind in self.statement.kinds.values()
        }
        return {
            upstream.name: FakeUpstream(
                upstream,
                kinds,
                self.journal,
                Behaviour(),
            )
            for upstream in self.statement.upstreams.values()
        }

    def _build_vms(self) -> dict[str, LocalVm]:
        seed = self.options.seed
        return {
            vm.name: LocalVm(self._settle(vm), self.wire, seed + 2 * number)
            for number, vm in enumerate(self.statement.vms.values())
        }

    def _settle(self, vm: Vm) -> Settings:
        statement = self.statement
        sample = self.options.trace_sample
        return Settings(
            vm=VmSettings(vm.name, vm.domain, vm.address),
            store=StoreSettings(self.store.url, self.store_key),
            peers=PeerSettings(
                _PEER_KEY,
                tuple(
                    (each.name, each.address) for each in statement.vms.values()
                ),
            ),
            vmlist_url=self.vm_list.url,
            ports=PortSettings(
                statement.entry_port,
                statement.lookup_port,
                statement.peer_port,
            ),
            log=LogSettings(
                level=LogLevel.INFO if sample else LogLevel.WARNING,
            ),
            trace=TraceSettings(
                sample,
                TraceExport.LINES if sample else TraceExport.NONE,
            ),
        )


def _call(action: Callable[[], object]) -> None:
    action()


def _wait_ready(vms: tuple[LocalVm, ...], services: tuple[str, ...]) -> None:
    """Wait until every VM can serve: callers come to a running system."""
    ends = time.monotonic() + _READY_SECONDS
    while not all(vm.is_ready(services) for vm in vms):
        if time.monotonic() > ends:
            return
        time.sleep(_POLL_SECONDS)
