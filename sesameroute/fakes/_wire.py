"""Stand-in for the network: delays, cuts and connections gone silent."""

import socket
import time
from collections import Counter
from collections.abc import Callable

from sesameroute.fakes._geography import Geography
from sesameroute.fakes._lane import Lane
from sesameroute.fakes._outages import Outages
from sesameroute.fakes._pump import Pump

__all__ = ['FakeSocket', 'FakeWire']

_POLL_SECONDS = 0.02
_BUFFER_BYTES = 1_048_576

Address = tuple[str, int]


class FakeSocket(socket.socket):
    """The near end of a delayed connection.

    It is one of a pair of local sockets, so that timeouts, polling and
    wrapping by libraries work as usual; options of TCP are ignored.
    """

    def setsockopt(self, *args: int | bytes | None) -> None:
        """Set an option that is not one of TCP."""
        if args[0] != socket.IPPROTO_TCP:
            super().setsockopt(*args)


class FakeWire:
    """Opens connections whose bytes take their time, or do not arrive.

    Parameters
    ----------
    geography : Geography
        Failure domains of the addresses and the delays between them.

    Attributes
    ----------
    outages : Outages
        What does not get through at the moment.
    region_bytes : Counter
        Bytes sent by pair of regions.
    node_bytes : Counter
        Bytes sent by source address and target port.

    Notes
    -----
    Bytes that meet a cut wait and arrive after it is healed, as TCP's
    retransmissions would; new connections time out meanwhile.

    """

    def __init__(self, geography: Geography) -> None:
        """Store the parameters."""
        self.geography = geography
        self.outages = Outages(geography)
        self.region_bytes: Counter[tuple[str, str]] = Counter()
        self.node_bytes: Counter[tuple[str, int]] = Counter()
        self._pump = Pump(self.outages, self._count)

    def start(self) -> None:
        """Start moving bytes."""
        self._pump.start()

    def stop(self) -> None:
        """Close every connection."""
        self._pump.stop()

    def connect(
        self,
        source: str,
        target: Address,
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket; see `ports.Wire`."""
        ends = time.monotonic() + timeout
        self._wait_open(source, target[0], ends)
        far = socket.create_connection(
            target,
            timeout,
            source_address=(source, 0),
        )
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        there = self.geography.measure_delay(source, target[0])
        back = self.geography.measure_delay(target[0], source)
        if time.monotonic() + there + back > ends:
            far.close()
            time.sleep(max(ends - time.monotonic(), 0))
            raise TimeoutError(f'no connection to {target} in {timeout} s')
        time.sleep(there + back)
        near, ours = _open_pair(far, timeout)
        address, port = target
        self._pump.add(
            Lane(source, address, ours, far, there, port),
            Lane(address, source, far, ours, back, port),
        )
        return near

    def kill(self, address: str) -> None:
        """Reset all connections of an address and refuse new ones."""
        self.outages.kill(address)
        self._pump.close(lambda lane: address in {lane.source, lane.target})

    def reset(self, selects: Callable[[Lane], bool]) -> None:
        """Reset the open connections that `selects` names."""
        self._pump.close(selects)

    def silence(self, selects: Callable[[Lane], bool]) -> int:
        """Lose track of the open connections that `selects` names.

        Returns
        -------
        int
            Number of directions that went silent.

        """
        return self._pump.silence(selects)

    def _wait_open(self, source: str, target: str, ends: float) -> None:
        while self._is_blocked(source, target):
            if time.monotonic() >= ends:
                raise TimeoutError(f'no way from {source} to {target}')
            time.sleep(_POLL_SECONDS)

    def _is_blocked(self, source: str, target: str) -> bool:
        outages = self.outages
        if outages.is_dead(source, target):
            raise ConnectionRefusedError(f'{target} refused a connection')
        forward = outages.is_held(source, target)
        return forward or outages.is_held(target, source)

    def _count(self, lane: Lane, length: int) -> None:
        start = self.geography.find_region(lane.source)
        end = self.geography.find_region(lane.target)
        self.node_bytes[lane.source, lane.port] += length
        if start != end:
            self.region_bytes[start, end] += length


def _open_pair(
    far: socket.socket,
    timeout: float,
) -> tuple[socket.socket, socket.socket]:
    ours, theirs = socket.socketpair()
    near = FakeSocket(fileno=theirs.detach())
    near.settimeout(timeout)
    for end in (ours, far):
        end.setblocking(False)
    for end in (ours, near):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    return near, ours
