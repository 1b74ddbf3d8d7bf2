"""Seven nodes of the Cooperative on real sockets, with faults."""

import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from sesameroute.adapters import HttpStore, PeerNetwork
from sesameroute.fakes import FakeStoreServer, FakeWire, Geography, Site
from sesameroute.membership import (
    CONFIGURATION_KEY,
    Configuration,
    Membership,
    Surroundings,
    encode_configuration,
    make_incarnation,
)
from sesameroute.ports import PeerIdentity, SystemClock
from sesameroute.statement import read_statement

__all__ = ['ControlFleet']

_EXAMPLE = Path(__file__).parent.parent / 'examples' / 'herd_returns.ini'
_KEY = b'key of this benchmark 0123456789'
_STORE_ADDRESS = '127.78.1.200'
_STORE_PORT = 18950
_PEER_PORT = 18902
_GIVE_UP_SECONDS = 30
_POLL_SECONDS = 0.005


class ControlFleet:
    """Membership of seven nodes, their store and a network with faults.

    Parameters
    ----------
    seed : int
        Seed of the jitter.

    """

    def __init__(self, seed: int) -> None:
        """Read the example and place its VMs; `start` runs them."""
        self.seed = seed
        self.text = _EXAMPLE.read_text().replace('127.21.', '127.78.')
        self.statement = read_statement(self.text)
        sites = {
            vm.address: Site(vm.domain) for vm in self.statement.vms.values()
        }
        store_domain = self.statement.places.domains[0]
        sites[_STORE_ADDRESS] = Site(store_domain)
        self.wire = FakeWire(Geography(self.statement.places, sites))
        self.store = FakeStoreServer(_STORE_ADDRESS, _STORE_PORT)
        self.nodes: dict[str, Membership] = {}
        self.version = 0

    def start(self) -> None:
        """Start the network, the store and all nodes."""
        self.wire.start()
        self.store.start()
        for name in self.statement.vms:
            self.nodes[name] = self._start_node(name)

    def restart_nodes(self, names: Iterable[str]) -> None:
        """Stop some nodes and start them again with nothing kept."""
        chosen = tuple(names)
        for stopped in chosen:
            _stop_node(self.nodes.pop(stopped))
        for started in chosen:
            self.nodes[started] = self._start_node(started)

    def close(self) -> None:
        """Stop everything."""
        for node in self.nodes.values():
            _stop_node(node)
        self.store.stop()
        self.wire.stop()

    def submit(self) -> None:
        """Put the next version into the store."""
        self.version += 1
        configuration = Configuration(
            self.version,
            f'submission-{self.version}',
            self.text,
        )
        self.store.memory.swap(
            CONFIGURATION_KEY,
            encode_configuration(configuration),
            self.version - 1,
        )

    def cut(self, domain: str) -> None:
        """Cut a failure domain off from all others and the store."""
        for other in self.statement.places.domains:
            if other != domain:
                self.wire.outages.cut(domain, other)

    def heal(self) -> None:
        """End all cuts."""
        self.wire.outages.heal()

    def silence_store(self) -> None:
        """Lose track of all open connections to the store."""
        self.wire.silence(
            lambda lane: _STORE_ADDRESS in {lane.source, lane.target},
        )

    def measure_force(self) -> float:
        """Return seconds until the newest version is in force everywhere."""
        return _measure_until(
            lambda: all(
                node.version == self.version for node in self.nodes.values()
            ),
        )

    def measure_streams(self) -> float:
        """Return seconds until every node hears all others."""
        others = len(self.statement.vms) - 1
        return _measure_until(
            lambda: all(
                len(node.members.list_live()) == others
                for node in self.nodes.values()
            ),
        )

    def _start_node(self, name: str) -> Membership:
        vm = self.statement.vms[name]
        clock, rng = SystemClock(), random.Random(f'{self.seed}/{name}')
        identity = PeerIdentity(name, make_incarnation(clock, rng))
        listen = (vm.address, _PEER_PORT)
        network = PeerNetwork(identity, _KEY, self.wire, clock, listen)
        around = Surroundings(
            identity,
            vm.domain,
            network,
            clock,
            store=HttpStore(self.store.url, self.wire, vm.address),
            seeds={
                seed.name: (seed.address, _PEER_PORT)
                for seed in self.statement.vms.values()
            },
            rng=rng,
        )
        node = Membership(around, _read_moved)
        network.start(node.handle)
        node.start()
        return node


def _stop_node(node: Membership) -> None:
    node.stop()
    node.around.peers.stop()


def _read_moved(text: str) -> object:
    moved = text.replace('peer_port = 8402', f'peer_port = {_PEER_PORT}')
    return read_statement(moved)


def _measure_until(predicate: Callable[[], bool]) -> float:
    started = time.monotonic()
    while not predicate():
        if time.monotonic() - started > _GIVE_UP_SECONDS:
            return float(_GIVE_UP_SECONDS)
        time.sleep(_POLL_SECONDS)
    return time.monotonic() - started
