"""Simulates one entry or look-up process inside a local run."""

import random
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import singledispatch
from typing import Any
from weakref import WeakSet

from sesameroute.fakes import FakeWire, PausableClock
from sesameroute.programs._entry_node import EntryNode
from sesameroute.programs._host_environment import HostEnvironment
from sesameroute.programs._lookup_node import LookupNode
from sesameroute.settings import Settings

__all__ = ['LocalProcess', 'ProcessWire', 'terminate_node']

NodeFactory = Callable[[Settings, HostEnvironment], Any]


class ProcessWire:
    """Network access of one process, closed when the process ends.

    Parameters
    ----------
    wire : FakeWire
        Simulated network of the deployment.

    """

    def __init__(self, wire: FakeWire) -> None:
        """Store the parameter."""
        self.wire = wire
        self._is_terminated = False
        self._connections: WeakSet[socket.socket] = WeakSet()

    def connect(
        self,
        source: str,
        target: tuple[str, int],
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket; see `ports.Wire`.

        Raises
        ------
        ConnectionAbortedError
            The process has ended.

        """
        self._check_alive()
        connection = self.wire.connect(source, target, timeout)
        self._connections.add(connection)
        if self._is_terminated:
            _close(connection)
            self._check_alive()
        return connection

    def terminate(self) -> None:
        """Shut down all connections, as the kernel does when a process ends."""
        self._is_terminated = True
        for connection in tuple(self._connections):
            _close(connection)

    def _check_alive(self) -> None:
        if self._is_terminated:
            raise ConnectionAbortedError('the process has ended')


class LocalProcess:
    """Starts, stops, crashes and pauses an entry or look-up process.

    Parameters
    ----------
    build_node : callable
        Returns a node for its settings and its `HostEnvironment`: network,
        clock and random generator.
    settings : Settings
        Settings of the process.
    ports : tuple of int
        Ports that the process listens on.
    wire : FakeWire
        Simulated network of the deployment.
    seed : int
        Seed of the random choices of the process.

    Attributes
    ----------
    node : EntryNode or LookupNode or None
        Running node; None before the start and after a stop or crash.

    """

    def __init__(
        self,
        build_node: NodeFactory,
        settings: Settings,
        ports: tuple[int, ...],
        wire: FakeWire,
        seed: int,
    ) -> None:
        """Store the parameters."""
        self.build_node = build_node
        self.settings = settings
        self.ports = ports
        self.wire = wire
        self.node: Any = None
        self._rng = random.Random(seed)
        self._clock = PausableClock()
        self._process_wire = ProcessWire(wire)

    def start(self) -> None:
        """Start a new process that keeps no state of the previous one."""
        self._clock = PausableClock()
        self._process_wire = ProcessWire(self.wire)
        rng = random.Random(self._rng.random())
        host_environment = HostEnvironment(self._process_wire, self._clock, rng)
        node = self.build_node(self.settings, host_environment)
        node.start()
        self.node = node

    def stop(self) -> None:
        """Shut down gracefully; returns when the process has ended."""
        node = self.node
        if node is not None:
            node.stop()
            self.node = None
            self._process_wire.terminate()

    def crash(self) -> None:
        """End the process at once, closing every socket without an answer."""
        node = self.node
        self.node = None
        if node is None:
            return
        self._process_wire.terminate()
        self.wire.reset(self._is_own_stream)
        terminate_node(node)
        self.wire.reset(self._is_own_stream)

    def pause(self) -> None:
        """Stop the clock of the process, which blocks threads that read it."""
        self._clock.pause()

    def resume(self) -> None:
        """Let the clock of the process continue."""
        self._clock.resume()

    def _is_own_stream(self, stream: Any) -> bool:
        is_own_address = stream.target == self.settings.vm.address
        return is_own_address and stream.port in self.ports


@singledispatch
def terminate_node(node: EntryNode) -> None:
    """Close all resources of a node without finishing its requests."""
    node.crash()


@terminate_node.register
def _terminate_lookup(node: LookupNode) -> None:
    node.stop()


def _close(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
