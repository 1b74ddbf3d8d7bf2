"""Watches what is in force at every process, and how drains go."""

import time
from dataclasses import dataclass
from threading import Event, Lock, Thread

from sesameroute.local._vm import LocalVm

__all__ = ['ConfigurationWatch', 'DrainWatch']

_STEP_SECONDS = 0.02
_PATIENCE_SECONDS = 20.0


@dataclass(slots=True)
class DrainWatch:
    """A drain: which backend servers it empties and when it began.

    Attributes
    ----------
    started, ended : float
        Monotonic seconds; `ended` is 0 until the drain is taken back.
    seconds : float
        Time until the subject had no work; 0 when judged by the journal.

    """

    subject: str
    upstreams: frozenset[str] = frozenset()
    started: float = 0
    ended: float = 0
    seconds: float = 0


class ConfigurationWatch:
    """Measures how long a version takes, and sees versions that go back.

    Parameters
    ----------
    vms : tuple of LocalVm
        The processes to watch.
    sick : set of str
        VMs that are not expected to hear anything now.

    Attributes
    ----------
    seconds : list of float
        Time of each accepted version until it was in force everywhere.
    problems : list of str
        Versions that went back or did not arrive.
    highest : int
        Highest version that was seen anywhere.

    """

    def __init__(self, vms: tuple[LocalVm, ...], sick: set[str]) -> None:
        """Store the parameters."""
        self.vms = vms
        self.sick = sick
        self.seconds: list[float] = []
        self.problems: list[str] = []
        self.highest = 0
        self._lock = Lock()
        self._expected: list[tuple[int, float]] = []
        self._seen: dict[int, int] = {}
        self._is_over = Event()

    def start(self) -> None:
        """Start the thread."""
        Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """End the thread; versions not yet in force are problems."""
        self._is_over.set()

    def expect(self, version: int) -> None:
        """Start to measure an accepted version."""
        with self._lock:
            self._expected.append((version, time.monotonic()))

    def is_settled(self) -> bool:
        """Return whether every accepted version is in force."""
        return not self._expected

    def _run(self) -> None:
        while not self._is_over.wait(_STEP_SECONDS):
            self._compare()
            with self._lock:
                self._settle()

    def _compare(self) -> None:
        for vm in self.vms:
            for process, version in vm.list_versions():
                last = self._seen.get(process, 0)
                if version < last:
                    self.problems.append(
                        f'{vm.name}: version {version} after {last}',
                    )
                self._seen[process] = version
                self.highest = max(self.highest, version)

    def _settle(self) -> None:
        lowest = self._find_lowest()
        now = time.monotonic()
        still_open = []
        for version, started in self._expected:
            if version <= lowest:
                self.seconds.append(now - started)
            elif now - started > _PATIENCE_SECONDS:
                self.problems.append(f'version {version} is not in force')
            else:
                still_open.append((version, started))
        self._expected = still_open

    def _find_lowest(self) -> int:
        versions = [
            version
            for vm in self.vms
            if vm.name not in self.sick
            for _, version in vm.list_versions()
        ]
        return min(versions, default=0)
