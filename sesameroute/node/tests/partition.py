"""Connections to backend servers that can be cut off, for tests."""

import contextlib
import select
import socket
import threading
import time
from enum import Enum

from sesameroute.ports import TcpWire

_POLL_SECONDS = 0.01
_POLL_MILLISECONDS = 100
_CHUNK_BYTES = 65_536


class Cut(Enum):
    """What a partition does to connections."""

    HANG = 'open connections fall silent, new ones are never set up'
    RESET = 'open connections are reset, new ones are refused'
    REFUSE_NEW = 'open connections live on, new ones are refused'
    DROP_NEW = 'open connections live on, new ones are never set up'


_SETS_UP_NONE = frozenset((Cut.HANG, Cut.DROP_NEW))


class PartitionableWire(TcpWire):
    """Opens connections to backend servers that a test can cut off.

    Attributes
    ----------
    cut : Cut or None
        The partition in force.

    """

    def __init__(self):
        """Start without a partition."""
        self.cut = None
        self._open = set()

    def apply(self, cut):
        """Cut off all backend servers."""
        if cut is Cut.RESET:
            self.close()
        self.cut = cut

    def heal(self):
        """End the partition; bytes that were held up arrive."""
        self.cut = None

    def close(self):
        """Close all connections."""
        self.cut = None
        for each in tuple(self._open):
            with contextlib.suppress(OSError):  # it may be closed already
                each.shutdown(socket.SHUT_RDWR)

    def connect(self, source, target, timeout):
        """Return a connection to a backend server."""
        self._wait_if_cut(time.monotonic() + timeout)
        far = super().connect(source, target, timeout)
        near, inner = socket.socketpair()
        near.settimeout(timeout)
        threading.Thread(
            target=self._forward, args=(inner, far), daemon=True
        ).start()
        return near

    def _wait_if_cut(self, until):
        while self.cut in _SETS_UP_NONE:
            if time.monotonic() >= until:
                raise TimeoutError('timed out')
            time.sleep(_POLL_SECONDS)
        if self.cut is not None:
            raise ConnectionRefusedError('refused')

    def _forward(self, inner, far):
        ends = {inner.fileno(): (inner, far), far.fileno(): (far, inner)}
        poller = select.poll()
        for number in ends:
            poller.register(number, select.POLLIN)
        self._open.add(inner)
        with inner, far:
            while self._forward_once(poller, ends):
                pass
            self._open.discard(inner)

    def _forward_once(self, poller, ends):
        if self.cut is Cut.HANG:
            time.sleep(_POLL_SECONDS)
            return True
        try:
            for number, _event in poller.poll(_POLL_MILLISECONDS):
                source, sink = ends[number]
                chunk = source.recv(_CHUNK_BYTES)
                if not chunk:
                    return False
                sink.sendall(chunk)
        except OSError:
            return False
        return True


class PeerPartition(TcpWire):
    """Opens the connections between nodes, unless a test separates them.

    Attributes
    ----------
    isolated : frozenset of str
        IP addresses of the nodes that reach only each other.

    """

    def __init__(self):
        """Start without a partition."""
        self.isolated = frozenset()

    def separates(self, one, other):
        """Return whether two IP addresses can't reach each other."""
        return (one in self.isolated) != (other in self.isolated)

    def connect(self, source, target, timeout):
        """Return a connection to a node."""
        if self.separates(source, target[0]):
            raise TimeoutError('timed out')
        return super().connect(source, target, timeout)

    def close_separated(self, node):
        """Close a node's streams across the partition; return their number."""
        own = node.fleet.own_state.address
        separated = [
            stream
            for stream in node.peers.streams.list_streams()
            if self.separates(own, stream.peer.sender)
        ]
        for stream in separated:
            stream.close()
        return len(separated)
