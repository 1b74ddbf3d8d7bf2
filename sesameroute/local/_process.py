"""One process of the system inside of a local run."""

import random
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import singledispatch
from typing import Any
from weakref import WeakSet

from sesameroute.fakes import FakeWire, PausableClock
from sesameroute.programs._entry_node import EntryNode
from sesameroute.programs._lookup_node import LookupNode
from sesameroute.programs._surroundings import Outside
from sesameroute.settings import Settings

__all__ = ['LocalProcess', 'ProcessWire', 'end_node']

Build = Callable[[Settings, Outside], Any]


class ProcessWire:
    """The network as one process sees it; dies with the process.

    Parameters
    ----------
    wire : FakeWire
        The network of the deployment.

    """

    def __init__(self, wire: FakeWire) -> None:
        """Store the parameter."""
        self.wire = wire
        self._is_dead = False
        self._opened: WeakSet[socket.socket] = WeakSet()

    def connect(
        self,
        source: str,
        target: tuple[str, int],
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket; see `ports.Wire`."""
        self._refuse_dead()
        opened = self.wire.connect(source, target, timeout)
        self._opened.add(opened)
        if self._is_dead:
            _close(opened)
            self._refuse_dead()
        return opened

    def die(self) -> None:
        """Close what was opened, as the kernel does for a dead process."""
        self._is_dead = True
        for opened in tuple(self._opened):
            _close(opened)

    def _refuse_dead(self) -> None:
        if self._is_dead:
            raise ConnectionAbortedError('the process is dead')


class LocalProcess:
    """Starts, stops, crashes and pauses an entry or look-up process.

    Parameters
    ----------
    build : callable
        Takes settings and the outside, returns the node.
    settings : Settings
        Settings of the process.
    ports : tuple of int
        Ports that it listens on.
    wire : FakeWire
        The network of the deployment.
    seed : int
        Seed of its random choices.

    Attributes
    ----------
    node : EntryNode or LookupNode or None
        What runs now; None after a stop or a crash.

    """

    def __init__(
        self,
        build: Build,
        settings: Settings,
        ports: tuple[int, ...],
        wire: FakeWire,
        seed: int,
    ) -> None:
        """Store the parameters."""
        self.build = build
        self.settings = settings
        self.ports = ports
        self.wire = wire
        self.node: Any = None
        self._rng = random.Random(seed)
        self._clock = PausableClock()
        self._own_wire = ProcessWire(wire)

    def start(self) -> None:
        """Start a new process with nothing kept of the one before."""
        self._clock = PausableClock()
        self._own_wire = ProcessWire(self.wire)
        rng = random.Random(self._rng.random())
        outside = Outside(self._own_wire, self._clock, rng)
        node = self.build(self.settings, outside)
        node.start()
        self.node = node

    def stop(self) -> None:
        """Stop as planned; returns when the process has ended."""
        node = self.node
        if node is not None:
            node.stop()
            self.node = None
            self._own_wire.die()

    def crash(self) -> None:
        """End the process at once: every socket is closed unanswered."""
        node = self.node
        self.node = None
        if node is None:
            return
        self._own_wire.die()
        self.wire.reset(self._listens)
        end_node(node)
        self.wire.reset(self._listens)

    def pause(self) -> None:
        """Let the process stand still."""
        self._clock.pause()

    def resume(self) -> None:
        """Let the process go on."""
        self._clock.resume()

    def _listens(self, lane: Any) -> bool:
        is_ours = lane.target == self.settings.vm.address
        return is_ours and lane.port in self.ports


@singledispatch
def end_node(node: EntryNode) -> None:
    """Close all that a node has opened, without finishing anything."""
    node.crash()


@end_node.register
def _end_lookup(node: LookupNode) -> None:
    node.stop()


def _close(opened: socket.socket) -> None:
    with suppress(OSError):
        opened.shutdown(socket.SHUT_RDWR)
