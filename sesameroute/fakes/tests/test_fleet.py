"""Configuration distribution among seven nodes on real sockets."""

import os
import random
import socket
import time
from contextlib import suppress
from types import MappingProxyType

import pytest

from sesameroute.adapters import HttpStore, PeerNetwork
from sesameroute.fakes import FakeStoreServer, StoreOutage
from sesameroute.membership import (
    CONFIGURATION_KEY,
    Configuration,
    Membership,
    MembershipContext,
    VmReport,
    encode_configuration,
    make_incarnation,
)
from sesameroute.ports import PeerIdentity, PeerRole, SystemClock, TcpWire
from sesameroute.statement import Places, Policy, Statement, Vm

# Addresses by process ID keep concurrent test runs apart.
_NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
_KEY = b'key of this test 0123456789'
_PORT = 18700
_DOMAINS = ('a1', 'a1', 'a2', 'b1', 'b2', 'c1', 'c2')
_REGIONS = MappingProxyType(
    {'a': ('a1', 'a2'), 'b': ('b1', 'b2'), 'c': ('c1', 'c2')},
)
_VMS = MappingProxyType(
    {
        f'vm{number}': Vm(f'vm{number}', domain, f'{_NETWORK}.{number + 1}')
        for number, domain in enumerate(_DOMAINS)
    },
)


def _read_statement(text):
    places = Places(_REGIONS, 'a', 1, 12, 8)
    return Statement(text, places, Policy(), _VMS, {}, {}, {}, peer_port=_PORT)


def _wait_until(predicate):
    deadline = time.monotonic() + 10
    while not predicate():
        assert time.monotonic() < deadline
        time.sleep(0.01)


class PartitionableWire(TcpWire):
    """TCP connections that can be cut between two groups of addresses."""

    def __init__(self):
        """Start without a cut; opened sockets are kept for a later one."""
        self.cut = set()
        self.opened = []

    def connect(self, source, target, timeout):
        """Refuse connections across the cut."""
        if (source in self.cut) != (target[0] in self.cut):
            raise ConnectionRefusedError('cut')
        connection = super().connect(source, target, timeout)
        self.opened.append((source, target[0], connection))
        return connection

    def partition(self, addresses):
        """Cut addresses off from the others, and close connections between."""
        self.cut = set(addresses)
        for source, target, connection in self.opened:
            if (source in self.cut) != (target in self.cut):
                with suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)


class Fleet:
    """Seven nodes, their store and a network that can be partitioned."""

    def __init__(self):
        """Start the store; no node runs yet."""
        self.store = FakeStoreServer(f'{_NETWORK}.200', 18750)
        self.store.start()
        self.wire = PartitionableWire()
        self.nodes = {}

    def start(self, name, role=PeerRole.ENTRY):
        """Start or restart one node."""
        clock, rng = SystemClock(), random.Random(name)
        vm = _VMS[name]
        identity = PeerIdentity(name, make_incarnation(clock, rng), role)
        is_entry = role is PeerRole.ENTRY
        listen = (vm.address, _PORT if is_entry else 0)
        network = PeerNetwork(identity, _KEY, self.wire, clock, listen)
        store = HttpStore(self.store.url, self.wire, vm.address, 1)
        context = MembershipContext(
            identity,
            vm.domain,
            network,
            clock,
            store=store if is_entry else None,
            seeds={seed: (_VMS[seed].address, _PORT) for seed in _VMS},
            rng=rng,
        )
        node = Membership(context, _read_statement, lambda: VmReport(name))
        network.start(node.handle)
        node.start()
        self.nodes[identity.sender] = node
        return node

    def stop(self, sender):
        """Stop one node."""
        node = self.nodes.pop(sender)
        node.stop()
        node.context.peers.stop()

    def submit(self, version):
        """Write a configuration to the store."""
        packed = encode_configuration(
            Configuration(version, f's{version}', 't')
        )
        memory = self.store.memory
        found = memory.read(CONFIGURATION_KEY)
        memory.swap(CONFIGURATION_KEY, packed, found.revision if found else 0)

    def wait_for_version(self, version, seconds):
        """Wait until all nodes use a version; return the seconds it took."""
        started = time.monotonic()
        while time.monotonic() < started + seconds:
            if all(node.version == version for node in self.nodes.values()):
                return time.monotonic() - started
            time.sleep(0.01)
        versions = {name: node.version for name, node in self.nodes.items()}
        pytest.fail(
            f'version {version} is not in force on all nodes: {versions}'
        )


@pytest.fixture
def fleet():
    """Return a running fleet and stop it at the end."""
    running = Fleet()
    for name in _VMS:
        running.start(name)
    yield running
    for sender in list(running.nodes):
        running.stop(sender)
    running.store.stop()


def test_configuration_reaches_every_node(fleet):
    """Every node gets each version despite a cut, an outage and restarts."""
    fleet.start('vm0', PeerRole.LOOKUP)
    fleet.submit(1)
    fleet.wait_for_version(1, 15)
    fleet.submit(2)
    fleet.wait_for_version(2, 15)
    node = fleet.nodes['lookup/vm0']
    _wait_until(lambda: node.find_key_prefix('vm0') == 'vm0')
    fleet.wire.partition([_VMS['vm6'].address])
    fleet.submit(3)
    time.sleep(1)
    assert fleet.nodes['vm6'].version == 2
    fleet.wire.partition([])
    fleet.wait_for_version(3, 15)
    fleet.store.faults.outage = StoreOutage.REFUSE
    for sender in ('vm1', 'vm2'):
        fleet.stop(sender)
        fleet.start(sender)
    fleet.wait_for_version(3, 15)
    node = fleet.nodes['vm1']
    _wait_until(lambda: node.list_witnesses() == ('vm0', 'vm2'))


def test_restart_of_all_nodes_without_the_store(fleet):
    """Nodes restarted during an outage have no configuration until it ends."""
    fleet.submit(1)
    fleet.wait_for_version(1, 15)
    fleet.store.faults.outage = StoreOutage.REFUSE
    for sender in list(fleet.nodes):
        fleet.stop(sender)
    for name in _VMS:
        fleet.start(name)
    time.sleep(1)
    assert {node.version for node in fleet.nodes.values()} == {0}
    fleet.store.faults.outage = StoreOutage.NONE
    fleet.wait_for_version(1, 15)


@pytest.mark.parametrize('is_restore_seen', [False, True])
def test_configuration_reaches_every_node_after_restore(fleet, is_restore_seen):
    """A version is put in force at a revision that was used before."""
    for version in (1, 2):
        fleet.submit(version)
        fleet.wait_for_version(version, 15)
    time.sleep(1)  # Until every watcher knows the revision.
    fleet.store.memory.roll_back(CONFIGURATION_KEY, 1)
    if is_restore_seen:
        time.sleep(1)
    fleet.submit(3)
    fleet.wait_for_version(3, 15)
    assert fleet.store.memory.read(CONFIGURATION_KEY).revision == 2
