"""Simulates the store calls of a fleet, made by the real watcher."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from sesameroute.exceptions import StoreUnreachableError
from sesameroute.membership import (
    Configuration,
    ConfigurationKeeper,
    ConfigurationWatcher,
    MembershipContext,
    PauseDetector,
    encode_configuration,
)
from sesameroute.ports import PeerIdentity, StoredValue
from sesameroute.statement import Places, Policy, Statement, Vm

__all__ = ['StoreSimulation', 'make_fleet_statement']


def make_fleet_statement(vms: int, domains: int, regions: int) -> Statement:
    """Return a statement with entry VMs spread over failure domains.

    Parameters
    ----------
    vms, domains, regions : int
        Number of entry VMs, failure domains and regions.

    """
    names = [f'd{index}' for index in range(domains)]
    places = Places(
        {
            f'r{region}': tuple(names[region::regions])
            for region in range(regions)
        },
        'r0',
        domain_delay_ms=1,
        region_delay_ms=12,
        client_delay_ms=8,
    )
    entry_vms = {
        f'vm{index}': Vm(
            f'vm{index}',
            names[index % domains],
            f'127.79.{index // 250}.{index % 250 + 1}',
        )
        for index in range(vms)
    }
    return Statement('fleet', places, Policy(), entry_vms, {}, {}, {})


@dataclass(slots=True)
class SimulatedClock:
    """Clock that the simulation sets; in seconds."""

    now: float = 1000

    def read_monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now


@dataclass(slots=True)
class SimulatedStore:
    """Store that answers at once.

    Attributes
    ----------
    watch_seconds : float
        How long the last call would have waited for a change.
    calls_by_second : Counter of int
        Calls by second.

    """

    clock: SimulatedClock
    is_down: bool = False
    version: int = 1
    watch_seconds: float = 0
    calls_by_second: Counter[int] = field(default_factory=Counter)

    def read(self, _key: str) -> StoredValue:
        """Return the newest configuration, whatever the key."""
        self.watch_seconds = 0
        self.calls_by_second[int(self.clock.now)] += 1
        if self.is_down:
            raise StoreUnreachableError('down')
        configuration = Configuration(self.version, f's{self.version}', 'text')
        content = encode_configuration(configuration)
        return StoredValue(content, self.version, f'"{self.version}"')

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
        tag: str,
    ) -> StoredValue | None:
        """Return another configuration, None as if after the timeout."""
        found = self.read(key)
        if found.tag != tag:
            return found
        self.watch_seconds = timeout
        return None


@dataclass(frozen=True, slots=True)
class LiveMembers:
    """Members that are all live."""

    names: tuple[str, ...]

    def list_live(self) -> tuple[str, ...]:
        """Return all names."""
        return self.names


class StoreSimulation:
    """Watchers of all entry VMs on one store, in simulated time.

    Parameters
    ----------
    statement : Statement
        The entry VMs.
    seed : int
        Seed of the jitter.

    """

    def __init__(self, statement: Statement, seed: int) -> None:
        """Make a watcher for each entry VM."""
        self.clock = SimulatedClock()
        self.store = SimulatedStore(self.clock)
        self._keepers: list[ConfigurationKeeper] = []
        self._watchers = [
            self._build_watcher(statement, vm, seed)
            for vm in statement.vms.values()
        ]
        self._watch_ends: dict[int, float] = {}
        self._due_times = [
            (self.clock.now, index) for index in range(len(self._watchers))
        ]

    def run(self, seconds: float) -> float:
        """Advance the time by some seconds; return the calls per second."""
        before = self.store.calls_by_second.total()
        ends_at = self.clock.now + seconds
        while self._due_times[0][0] < ends_at:
            now, index = heapq.heappop(self._due_times)
            self.clock.now = now
            pause = self._watchers[index].step()
            due = self.clock.now + pause + self.store.watch_seconds
            if self.store.watch_seconds:
                self._watch_ends[index] = due
            self.store.watch_seconds = 0
            heapq.heappush(self._due_times, (due, index))
        self.clock.now = ends_at
        return (self.store.calls_by_second.total() - before) / seconds

    def submit_change(self) -> None:
        """Submit a version, which peers spread at once; all watches return."""
        self.store.version += 1
        newest = Configuration(
            self.store.version,
            f's{self.store.version}',
            'text',
        )
        for keeper in self._keepers:
            keeper.observe(newest)
        self._due_times = [
            (min(due, self.clock.now + 0.1), index)
            if index in self._watch_ends
            else (due, index)
            for due, index in self._due_times
        ]
        heapq.heapify(self._due_times)
        self._watch_ends.clear()

    def find_peak(self, seconds: int) -> int:
        """Return the most calls within one of the last seconds."""
        now = int(self.clock.now)
        counts = self.store.calls_by_second
        return max(
            counts[now - seconds_ago] for seconds_ago in range(seconds + 1)
        )

    def _build_watcher(
        self, statement: Statement, vm: Vm, seed: int
    ) -> ConfigurationWatcher:
        keeper = ConfigurationKeeper(lambda _text: statement)
        keeper.observe(Configuration(1, 's1', 'text'))
        self._keepers.append(keeper)
        others = tuple(
            other.name
            for other in statement.list_vms(vm.domain)
            if other is not vm
        )
        context = MembershipContext(
            PeerIdentity(vm.name, 'i'),
            vm.domain,
            None,
            self.clock,
            store=self.store,
            rng=random.Random(f'{seed}/{vm.name}'),
        )
        pause_detector = _AlwaysFresh(self.clock)
        return ConfigurationWatcher(
            context, keeper, LiveMembers(others), pause_detector
        )


class _AlwaysFresh(PauseDetector):
    """Pause detector of a process that is never paused."""

    @property
    def is_stale(self) -> bool:
        """Return False: jumps of the simulated time are no pauses."""
        return False
