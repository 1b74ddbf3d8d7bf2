"""Seven nodes of an example institution on real sockets, with faults."""

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
    MembershipContext,
    encode_configuration,
    make_incarnation,
)
from sesameroute.ports import PeerIdentity, SystemClock
from sesameroute.statement import read_statement

__all__ = ['ControlFleet']

_EXAMPLE_PATH = Path(__file__).parent.parent / 'examples' / 'herd_returns.ini'
_PEER_KEY = b'key of this benchmark 0123456789'
_STORE_ADDRESS = '127.78.1.200'
_STORE_PORT = 18950
_PEER_PORT = 18902
_TIMEOUT_SECONDS = 30
_POLL_SECONDS = 0.005


class ControlFleet:
    """Membership of the nodes, their store and a network with faults.

    Parameters
    ----------
    seed : int
        Seed of the jitter.

    """

    def __init__(self, seed: int) -> None:
        """Read the example statement; `start` starts its nodes."""
        self.seed = seed
        self.text = _EXAMPLE_PATH.read_text().replace('127.21.', '127.78.')
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
        """Stop some nodes and start them again without their state."""
        restarted_names = tuple(names)
        for stopped in restarted_names:
            _stop_node(self.nodes.pop(stopped))
        for started in restarted_names:
            self.nodes[started] = self._start_node(started)

    def close(self) -> None:
        """Stop everything."""
        for node in self.nodes.values():
            _stop_node(node)
        self.store.stop()
        self.wire.stop()

    def submit(self) -> None:
        """Write the next version of the configuration to the store."""
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

    def partition(self, domain: str) -> None:
        """Partition a failure domain from all others and from the store."""
        for other in self.statement.places.domains:
            if other != domain:
                self.wire.outages.cut(domain, other)

    def heal(self) -> None:
        """End all partitions."""
        self.wire.outages.heal()

    def silence_store(self) -> None:
        """Silence all open connections to the store without closing them."""
        self.wire.silence(
            lambda connection: (
                _STORE_ADDRESS in {connection.source, connection.target}
            ),
        )

    def measure_propagation(self) -> float:
        """Return seconds until all nodes use the newest version."""
        return _time_until(
            lambda: all(
                node.version == self.version for node in self.nodes.values()
            ),
        )

    def measure_connecting(self) -> float:
        """Return seconds until every node receives from all others."""
        other_count = len(self.statement.vms) - 1
        return _time_until(
            lambda: all(
                len(node.members.list_live()) == other_count
                for node in self.nodes.values()
            ),
        )

    def _start_node(self, name: str) -> Membership:
        vm = self.statement.vms[name]
        clock, rng = SystemClock(), random.Random(f'{self.seed}/{name}')
        identity = PeerIdentity(name, make_incarnation(clock, rng))
        listen = (vm.address, _PEER_PORT)
        network = PeerNetwork(identity, _PEER_KEY, self.wire, clock, listen)
        context = MembershipContext(
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
        node = Membership(context, _read_with_peer_port)
        network.start(node.handle)
        node.start()
        return node


def _stop_node(node: Membership) -> None:
    node.stop()
    node.context.peers.stop()


def _read_with_peer_port(text: str) -> object:
    changed_text = text.replace('peer_port = 8402', f'peer_port = {_PEER_PORT}')
    return read_statement(changed_text)


def _time_until(predicate: Callable[[], bool]) -> float:
    started = time.monotonic()
    while not predicate():
        if time.monotonic() - started > _TIMEOUT_SECONDS:
            return float(_TIMEOUT_SECONDS)
        time.sleep(_POLL_SECONDS)
    return time.monotonic() - started
