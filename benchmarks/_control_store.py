"""Store calls of a fleet in virtual time, made by the real watcher."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from sesameroute.exceptions import StoreDownError
from sesameroute.membership import (
    Configuration,
    ConfigurationKeeper,
    Freshness,
    Surroundings,
    Watcher,
    encode_configuration,
)
from sesameroute.ports import PeerIdentity, StoredValue
from sesameroute.statement import Places, Policy, Statement, Vm

__all__ = ['StoreLoad', 'make_fleet_statement']


def make_fleet_statement(vms: int, domains: int, regions: int) -> Statement:
    """Return a statement with entry VMs spread over failure domains."""
    names = [f'd{number}' for number in range(domains)]
    places = Places(
        {f'r{place}': tuple(names[place::regions]) for place in range(regions)},
        'r0',
        domain_delay_ms=1,
        region_delay_ms=12,
        client_delay_ms=8,
    )
    table = {
        f'vm{number}': Vm(
            f'vm{number}',
            names[number % domains],
            f'127.79.{number // 250}.{number % 250 + 1}',
        )
        for number in range(vms)
    }
    return Statement('fleet', places, Policy(), table, {}, {}, {})


@dataclass(slots=True)
class VirtualClock:
    """Time that the simulation moves."""

    now: float = 1000

    def read_monotonic(self) -> float:
        """Return the virtual time."""
        return self.now


@dataclass(slots=True)
class VirtualStore:
    """Answers at once; `waited` tells how long a watch would have waited."""

    clock: VirtualClock
    is_down: bool = False
    version: int = 1
    waited: float = 0
    seconds: Counter[int] = field(default_factory=Counter)

    def read(self, _key: str) -> StoredValue:
        """Return the newest configuration."""
        self.waited = 0
        self.seconds[int(self.clock.now)] += 1
        if self.is_down:
            raise StoreDownError('down')
        configuration = Configuration(self.version, f's{self.version}', 'text')
        return StoredValue(encode_configuration(configuration), self.version)

    def watch(
        self,
        key: str,
        revision: int,
        timeout: float,
    ) -> StoredValue | None:
        """Return a newer configuration or wait for the whole timeout."""
        found = self.read(key)
        if found.revision > revision:
            return found
        self.waited = timeout
        return None


@dataclass(frozen=True, slots=True)
class LiveMembers:
    """Members that are all alive."""

    names: tuple[str, ...]

    def list_live(self) -> tuple[str, ...]:
        """Return all names."""
        return self.names


class StoreLoad:
    """A fleet's watchers over one store.

    Parameters
    ----------
    statement : Statement
        The entry VMs.
    seed : int
        Seed of the jitter.

    """

    def __init__(self, statement: Statement, seed: int) -> None:
        """Make a watcher for each entry VM."""
        self.clock = VirtualClock()
        self.store = VirtualStore(self.clock)
        self._keepers: list[ConfigurationKeeper] = []
        self._watchers = [
            self._make(statement, vm, seed) for vm in statement.vms.values()
        ]
        self._waiting: dict[int, float] = {}
        self._due = [
            (self.clock.now, number) for number in range(len(self._watchers))
        ]

    def run(self, seconds: float) -> float:
        """Let time pass; return the calls a second."""
        before = self.store.seconds.total()
        ends = self.clock.now + seconds
        while self._due[0][0] < ends:
            now, number = heapq.heappop(self._due)
            self.clock.now = now
            pause = self._watchers[number].step()
            due = self.clock.now + pause + self.store.waited
            if self.store.waited:
                self._waiting[number] = due
            self.store.waited = 0
            heapq.heappush(self._due, (due, number))
        self.clock.now = ends
        return (self.store.seconds.total() - before) / seconds

    def change(self) -> None:
        """Submit: waiting watches return, and peers carry it on."""
        self.store.version += 1
        newest = Configuration(
            self.store.version,
            f's{self.store.version}',
            'text',
        )
        for keeper in self._keepers:
            keeper.observe(newest)
        self._due = [
            (min(due, self.clock.now + 0.1), number)
            if number in self._waiting
            else (due, number)
            for due, number in self._due
        ]
        heapq.heapify(self._due)
        self._waiting.clear()

    def find_peak(self, seconds: int) -> int:
        """Return the most calls in one of the last seconds."""
        now = int(self.clock.now)
        counts = self.store.seconds
        return max(counts[now - past] for past in range(seconds + 1))

    def _make(self, statement: Statement, vm: Vm, seed: int) -> Watcher:
        keeper = ConfigurationKeeper(lambda _text: statement)
        keeper.observe(Configuration(1, 's1', 'text'))
        self._keepers.append(keeper)
        others = tuple(
            other.name
            for other in statement.list_vms(vm.domain)
            if other is not vm
        )
        around = Surroundings(
            PeerIdentity(vm.name, 'i'),
            vm.domain,
            None,
            self.clock,
            store=self.store,
            rng=random.Random(f'{seed}/{vm.name}'),
        )
        freshness = _AlwaysFresh(self.clock)
        return Watcher(around, keeper, LiveMembers(others), freshness)


class _AlwaysFresh(Freshness):
    """A process that is never paused."""

    @property
    def is_stale(self) -> bool:
        """Say no: the simulation moves time in jumps."""
        return False
