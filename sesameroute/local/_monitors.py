"""Records of drains, and a monitor of the configuration versions in force."""

import time
from dataclasses import dataclass
from threading import Event, Lock, Thread

from sesameroute.local._vm import LocalVm

__all__ = ['ConfigurationMonitor', 'DrainRecord']

_POLL_INTERVAL_SECONDS = 0.02
_APPLY_TIMEOUT_SECONDS = 20.0


@dataclass(slots=True)
class DrainRecord:
    """A drain with the backend servers that it covers and its times.

    Attributes
    ----------
    subject : str
        Name of the drained server, VM or failure domain.
    upstreams : frozenset of str
        Names of the backend servers that the drain covers.
    started, ended : float
        Monotonic seconds; `ended` is 0 until the drain is undone.
    seconds : float
        Time until a VM had no requests; 0 for backend servers, whose time is
        computed from the execution log.

    """

    subject: str
    upstreams: frozenset[str] = frozenset()
    started: float = 0
    ended: float = 0
    seconds: float = 0


class ConfigurationMonitor:
    """Measures the roll-out of versions and detects versions that go back.

    Parameters
    ----------
    vms : tuple of LocalVm
        Entry VMs whose processes are monitored.
    faulty_vms : set of str
        Names of VMs that need not receive configurations now.

    Attributes
    ----------
    seconds : list of float
        For each accepted version, seconds until every process had it.
    problems : list of str
        Descriptions of versions that went back or did not arrive.
    highest_version : int
        Highest version seen in any process.

    """

    def __init__(self, vms: tuple[LocalVm, ...], faulty_vms: set[str]) -> None:
        """Store the parameters."""
        self.vms = vms
        self.faulty_vms = faulty_vms
        self.seconds: list[float] = []
        self.problems: list[str] = []
        self.highest_version = 0
        self._lock = Lock()
        self._pending: list[tuple[int, float]] = []
        self._last_versions: dict[int, int] = {}
        self._stop_event = Event()

    def start(self) -> None:
        """Start the monitoring thread."""
        Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop the monitoring thread."""
        self._stop_event.set()

    def expect(self, version: int) -> None:
        """Start measuring the roll-out of an accepted version."""
        with self._lock:
            self._pending.append((version, time.monotonic()))

    def is_applied(self) -> bool:
        """Return whether every accepted version is in force."""
        return not self._pending

    def _run(self) -> None:
        while not self._stop_event.wait(_POLL_INTERVAL_SECONDS):
            self._check_versions()
            with self._lock:
                self._record_applied()

    def _check_versions(self) -> None:
        for vm in self.vms:
            for process, version in vm.list_versions():
                last = self._last_versions.get(process, 0)
                if version < last:
                    self.problems.append(
                        f'{vm.name}: version fell from {last} to {version}',
                    )
                self._last_versions[process] = version
                self.highest_version = max(self.highest_version, version)

    def _record_applied(self) -> None:
        lowest_version = self._find_lowest_version()
        now = time.monotonic()
        still_pending = []
        for version, started in self._pending:
            if version <= lowest_version:
                self.seconds.append(now - started)
            elif now - started > _APPLY_TIMEOUT_SECONDS:
                self.problems.append(
                    f'version {version} is not in force everywhere',
                )
            else:
                still_pending.append((version, started))
        self._pending = still_pending

    def _find_lowest_version(self) -> int:
        versions = [
            version
            for vm in self.vms
            if vm.name not in self.faulty_vms
            for _, version in vm.list_versions()
        ]
        return min(versions, default=0)
