"""Simple placement policies, for comparison with the pools."""

import random
from dataclasses import dataclass
from itertools import count

from sesameroute.placement import Grant, PoolReport, Reason, Refusal, hash_key
from sesameroute.placement.tests.simulation import (
    HIT_RUN_TIME_RATIO,
    Simulation,
)

__all__ = ['POLICIES', 'BetterOfTwo', 'FixedShares', 'Planner']

_MEAN_WORK_SECONDS = 0.24  # for an object that is not cached
_NODES_PER_REGION = 2  # each with its own share of the slots
_FULL_LOAD = 2.0  # load, relative to the slots, at which `BetterOfTwo` refuses
_RETRY_AFTER_SECONDS = 0.1


@dataclass
class PlacementPolicy:
    """Base class: places the requests of a region, with a pool's interface.

    Parameters
    ----------
    simulation : Simulation
        The simulation, which has the servers.
    region : str
        Region of the requests and of the servers.

    """

    simulation: Simulation
    region: str
    has_waiting: bool = False

    def __post_init__(self) -> None:
        """Seed the random choices by region; no slot is granted."""
        self.rng = random.Random(self.region)
        self.grant_numbers = count()
        self.granted_servers: dict[int, str] = {}

    def list_servers(self) -> list:
        """Return the servers of the region."""
        return [
            self.simulation.servers[name]
            for name in self.simulation.entries
            if self.simulation.zones[self.simulation.servers[name].zone]
            == self.region
        ]

    def grant(self, server) -> Grant:
        """Grant a slot of a server."""
        number = next(self.grant_numbers)
        self.granted_servers[number] = server.name
        return Grant(number, server.name, 1)

    def refuse(self) -> Refusal:
        """Return a refusal with a random time to retry."""
        retry_after = _RETRY_AFTER_SECONDS * (1 + self.rng.random())
        return Refusal(Reason.NO_ROOM, retry_after)

    def release(self, release, _now) -> None:
        """Free a granted slot."""
        self.granted_servers.pop(release.number)

    def update_backends(self, _entries, _zones, _now) -> None:
        """Do nothing: the policy reads the registry of the simulation."""

    def tick(self, _now) -> None:
        """Do nothing: no request waits."""

    def refresh(self, _now) -> None:
        """Do nothing."""

    def make_report(self, _now) -> PoolReport:
        """Return an empty report."""
        return PoolReport('service', self.region, {}, 0, 0)

    def take_report(self, _name, _report, _now) -> None:
        """Do nothing: reports of other regions are ignored."""


class BetterOfTwo(PlacementPolicy):
    """Chooses of two random servers the one that reported the lower load."""

    def __post_init__(self) -> None:
        """Start without reported loads."""
        super().__post_init__()
        self.reported_loads: dict[str, float] = {}

    def refresh(self, _now) -> None:
        """Read the load that the servers report."""
        for server in self.list_servers():
            self.reported_loads[server.name] = server.running / server.slots

    def place(self, _slot_request, _node, _settle, _now) -> Grant | Refusal:
        """Grant a slot without counting the slots in use."""
        sampled = self.rng.sample(self.list_servers(), 2)
        less_loaded = min(
            sampled,
            key=lambda candidate: self.reported_loads.get(candidate.name, 0),
        )
        if self.reported_loads.get(less_loaded.name, 0) >= _FULL_LOAD:
            return self.refuse()
        return self.grant(less_loaded)


class FixedShares(PlacementPolicy):
    """Gives each node a fixed share of the slots of every server.

    An object is placed on the servers in an order that its hash decides.
    """

    def place(self, slot_request, _node, _settle, _now) -> Grant | Refusal:
        """Grant the first free slot in the share of a random node."""
        node = self.rng.randrange(_NODES_PER_REGION)
        ranked_servers = sorted(
            self.list_servers(),
            key=lambda candidate: hash_key(
                f'{slot_request.key}/{candidate.name}'
            ),
        )
        for server in ranked_servers:
            granted_count = sum(
                1
                for number, name in self.granted_servers.items()
                if name == server.name and number % _NODES_PER_REGION == node
            )
            if granted_count < server.slots // _NODES_PER_REGION:
                return self._grant_share(server, node)
        return self.refuse()

    def _grant_share(self, server, node) -> Grant:
        """Grant a slot with a number from which the node can be computed."""
        number = next(self.grant_numbers) * _NODES_PER_REGION + node
        self.granted_servers[number] = server.name
        return Grant(number, server.name, 1)


class Planner(PlacementPolicy):
    """Greedy policy that knows all queues and caches of its region.

    Refuses requests that would be late, except for objects that no server has
    cached yet.
    """

    def place(self, slot_request, _node, _settle, now) -> Grant | Refusal:
        """Grant a slot of the server that would end first, if not too late."""
        ends_at, server = min(
            (
                (self._predict_end(server, slot_request.key, now), server)
                for server in self.list_servers()
            ),
            key=lambda pair: pair[0],
        )
        is_cached = any(
            slot_request.key in candidate.cached
            for candidate in self.list_servers()
        )
        if is_cached and ends_at - now > slot_request.on_time:
            return self.refuse()
        return self.grant(server)

    def _predict_end(self, server, key, now) -> float:
        cache_factor = HIT_RUN_TIME_RATIO if key in server.cached else 1
        return (
            server.compute_start(now)
            + _MEAN_WORK_SECONDS * server.slowdown * cache_factor
        )


POLICIES = {  # noqa: WPS407
    'pools': None,
    'better of two': BetterOfTwo,
    'fixed shares': FixedShares,
    'planner': Planner,
}
