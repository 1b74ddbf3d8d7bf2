"""Other ways to place requests, for comparison with the pools."""

import random
from dataclasses import dataclass
from itertools import count

from sesameroute.placement import Grant, Reason, Refusal, Report, hash_key
from sesameroute.placement.tests.world import WARM, World

__all__ = ['POLICIES', 'BetterOfTwo', 'FixedShares', 'Planner']

_MEAN_WORK = 0.24  # seconds for an object that is not known
_NODES = 2  # of a region, each with its own share of the slots
_FULL = 2.0  # reported load at which better-of-two refuses
_RETRY_AFTER = 0.1  # seconds


@dataclass
class Policy:
    """Places one region's requests; the parts that a pool has.

    Parameters
    ----------
    world : World
        The servers.
    region : str
        Where the requests come from.

    """

    world: World
    region: str
    has_waiting: bool = False

    def __post_init__(self) -> None:
        """Prepare random choices; nothing is granted."""
        self.rng = random.Random(self.region)
        self.numbers = count()
        self.used: dict[int, str] = {}

    def list_servers(self) -> list:
        """Return the servers of the region."""
        return [
            self.world.servers[name]
            for name in self.world.entries
            if self.world.zones[self.world.servers[name].zone] == self.region
        ]

    def grant(self, server) -> Grant:
        """Return a grant of a slot."""
        number = next(self.numbers)
        self.used[number] = server.name
        return Grant(number, server.name, 1)

    def refuse(self) -> Refusal:
        """Return a refusal."""
        pause = _RETRY_AFTER * (1 + self.rng.random())
        return Refusal(Reason.NO_ROOM, pause)

    def release(self, release, _now) -> None:
        """Take a slot back."""
        self.used.pop(release.number)

    def sync(self, _entries, _zones, _now) -> None:
        """Ignore the registry: the world has it."""

    def tick(self, _now) -> None:
        """Do nothing: nobody waits."""

    def refresh(self, _now) -> None:
        """Do nothing."""

    def make_report(self, _now) -> Report:
        """Return an empty report."""
        return Report('service', self.region, {}, 0, 0)

    def take_report(self, _name, _report, _now) -> None:
        """Ignore the others."""


class BetterOfTwo(Policy):
    """Of two random servers the one that last reported less load."""

    def __post_init__(self) -> None:
        """Nothing was reported."""
        super().__post_init__()
        self.loads: dict[str, float] = {}

    def refresh(self, _now) -> None:
        """Take the servers' reports."""
        for server in self.list_servers():
            self.loads[server.name] = server.running / server.slots

    def place(self, _ask, _node, _settle, _now) -> Grant | Refusal:
        """Grant without counting."""
        two = self.rng.sample(self.list_servers(), 2)
        best = min(two, key=lambda one: self.loads.get(one.name, 0))
        if self.loads.get(best.name, 0) >= _FULL:
            return self.refuse()
        return self.grant(best)


class FixedShares(Policy):
    """Each node has a fixed part of each server's slots, by object."""

    def place(self, ask, _node, _settle, _now) -> Grant | Refusal:
        """Grant a slot of a random node's share, the object's home first."""
        node = self.rng.randrange(_NODES)
        ranked = sorted(
            self.list_servers(),
            key=lambda one: hash_key(f'{ask.key}/{one.name}'),
        )
        for server in ranked:
            held = sum(
                1
                for number, name in self.used.items()
                if name == server.name and number % _NODES == node
            )
            if held < server.slots // _NODES:
                return self._grant_share(server, node)
        return self.refuse()

    def _grant_share(self, server, node) -> Grant:
        """Return a grant whose number tells the node."""
        number = next(self.numbers) * _NODES + node
        self.used[number] = server.name
        return Grant(number, server.name, 1)


class Planner(Policy):
    """Sees all queues and objects of its region; greedy.

    Refuses what would be late, but for objects that no server knows yet.
    """

    def place(self, ask, _node, _settle, now) -> Grant | Refusal:
        """Grant what ends first, unless it would be late."""
        ends, server = min(
            (
                (self._measure_end(server, ask.key, now), server)
                for server in self.list_servers()
            ),
            key=lambda pair: pair[0],
        )
        is_known = any(ask.key in one.known for one in self.list_servers())
        if is_known and ends - now > ask.on_time:
            return self.refuse()
        return self.grant(server)

    def _measure_end(self, server, key, now) -> float:
        factor = WARM if key in server.known else 1
        return server.measure_begin(now) + _MEAN_WORK * server.pace * factor


POLICIES = {  # noqa: WPS407
    'pools': None,
    'better of two': BetterOfTwo,
    'fixed shares': FixedShares,
    'planner': Planner,
}
