"""Builds and runs the deployment of one institution in one process."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from sesameroute.adapters import HttpStore
from sesameroute.fakes import (
    Behaviour,
    ExecutionLog,
    FakeStoreServer,
    FakeUpstream,
    FakeVmList,
    FakeWire,
    Geography,
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
# Last octets of the store and of operators, in the network of the first VM.
_STORE_OCTET = 250
_OPERATOR_OCTET = 251
_VMLIST_LAG_SECONDS = 5.0
_PEER_KEY = 'a-key-for-local-runs-only'
_MILLISECONDS = 1000
_STORE_TIMEOUT_SECONDS = 2.0
_READY_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.05


class Deployment:
    """Simulated network and platform, backend servers, entry VMs and callers.

    Parameters
    ----------
    statement : Statement
        Statement to deploy; its addresses must be local to this machine.
    options : RunOptions
        Options of the run; seed, callers, work factor and trace sampling are
        used here.

    Attributes
    ----------
    vms : dict of str to LocalVm
        Entry VMs by name.
    upstreams : dict of str to FakeUpstream
        Backend servers by name.
    callers : tuple of Caller
        Callers of all failure domains.
    execution_log : ExecutionLog
        Record of every request that a backend server executed.

    """

    def __init__(self, statement: Statement, options: RunOptions) -> None:
        """Build all parts without starting them."""
        self.statement = statement
        self.options = options
        self.execution_log = ExecutionLog()
        first_vm = next(iter(statement.vms.values()))
        self._network_prefix = first_vm.address.rpartition('.')[0]
        self.wire = FakeWire(self._build_geography())
        self.store = FakeStoreServer(
            f'{self._network_prefix}.{_STORE_OCTET}',
            _STORE_PORT,
        )
        self.vm_list = FakeVmList(
            f'{self._network_prefix}.{_STORE_OCTET}',
            _VMLIST_PORT,
            _VMLIST_LAG_SECONDS,
        )
        self.upstreams = self._build_upstreams()
        self.vms = self._build_vms()
        self.callers = build_callers(statement, self.wire, options)

    @property
    def store_key(self) -> str:
        """Key under which the store holds the configuration."""
        return f'sesameroute/{self.statement.institution}'

    def start(self) -> None:
        """Start all parts, submit the statement and wait until VMs are ready.

        Returns after 20 seconds even when a VM is not ready.
        """
        self.wire.start()
        self.store.start()
        self.vm_list.start()
        self.publish_vms()
        for upstream in self.upstreams.values():
            upstream.start()
        Submitter(self.open_configuration_store()).submit(self.statement)
        for vm in self.vms.values():
            vm.start()
        _wait_ready(tuple(self.vms.values()), tuple(self.statement.services))

    def stop(self) -> None:
        """Stop all parts abruptly, without draining."""
        self.wire.stop()
        for upstream in self.upstreams.values():
            upstream.crash()
        stop_actions = [
            *(vm.crash for vm in self.vms.values()),
            self.vm_list.stop,
            self.store.stop,
        ]
        # In parallel, as a server takes up to a second to end its threads.
        with ThreadPoolExecutor(len(stop_actions)) as pool:
            tuple(pool.map(_call, stop_actions))

    def open_configuration_store(self) -> ConfigurationStore:
        """Return a configuration store connected from an operator's address."""
        store = HttpStore(
            self.store.url,
            self.wire,
            f'{self._network_prefix}.{_OPERATOR_OCTET}',
            _STORE_TIMEOUT_SECONDS,
        )
        return ConfigurationStore(store, self.store_key, SystemClock())

    def publish_vms(self, *leaving: str) -> None:
        """Publish the VM list, marking the VMs named as leaving."""
        servers = (
            *self.statement.vms.values(),
            *self.statement.upstreams.values(),
        )
        self.vm_list.publish(
            ListedVm(each.name, each.address, each.name in leaving)
            for each in servers
        )

    def list_addresses(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the addresses of all VMs and backend servers in domains."""
        servers = (
            *self.statement.vms.values(),
            *self.statement.upstreams.values(),
        )
        return tuple(each.address for each in servers if each.domain in domains)

    def _build_geography(self) -> Geography:
        statement = self.statement
        servers = (*statement.vms.values(), *statement.upstreams.values())
        sites = {each.address: Site(each.domain) for each in servers}
        sites.update(list_caller_sites(statement, self.options.callers))
        region = statement.places.store_region
        store_site = Site(statement.places.regions[region][0])
        for octet in (_STORE_OCTET, _OPERATOR_OCTET):
            sites[f'{self._network_prefix}.{octet}'] = store_site
        return Geography(statement.places, sites)

    def _build_upstreams(self) -> dict[str, FakeUpstream]:
        seconds_per_work_ms = self.options.work_factor / _MILLISECONDS
        kinds = {
            kind.name: WorkKind(
                kind.work_ms * seconds_per_work_ms,
                kind.answer_bytes,
            )
            for kind in self.statement.kinds.values()
        }
        return {
            upstream.name: FakeUpstream(
                upstream,
                kinds,
                self.execution_log,
                Behaviour(),
            )
            for upstream in self.statement.upstreams.values()
        }

    def _build_vms(self) -> dict[str, LocalVm]:
        seed = self.options.seed
        return {
            vm.name: LocalVm(
                self._build_settings(vm),
                self.wire,
                seed + 2 * number,
            )
            for number, vm in enumerate(self.statement.vms.values())
        }

    def _build_settings(self, vm: Vm) -> Settings:
        statement = self.statement
        sample_fraction = self.options.trace_sample
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
                level=LogLevel.INFO if sample_fraction else LogLevel.WARNING,
            ),
            trace=TraceSettings(
                sample_fraction,
                TraceExport.LINES if sample_fraction else TraceExport.NONE,
            ),
        )


def _call(action: Callable[[], object]) -> None:
    action()


def _wait_ready(vms: tuple[LocalVm, ...], services: tuple[str, ...]) -> None:
    """Wait until every VM can serve, so that the load starts on a ready system.

    Gives up silently after `_READY_TIMEOUT_SECONDS`.
    """
    deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
    while not all(vm.is_ready(services) for vm in vms):
        if time.monotonic() > deadline:
            return
        time.sleep(_POLL_INTERVAL_SECONDS)
