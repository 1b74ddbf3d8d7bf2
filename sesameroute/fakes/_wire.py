"""Fake network with delays, partitions and connections that go silent."""

import socket
import time
from collections import Counter
from collections.abc import Callable

from sesameroute.fakes._delayed_stream import DelayedStream
from sesameroute.fakes._geography import Geography
from sesameroute.fakes._outages import Outages
from sesameroute.fakes._transfer_loop import TransferLoop

__all__ = ['FakeSocket', 'FakeWire']

_POLL_SECONDS = 0.02
_BUFFER_BYTES = 1_048_576

Address = tuple[str, int]


class FakeSocket(socket.socket):
    """The client's end of a delayed connection.

    It is one end of a local socket pair, so timeouts, polling and wrapping by
    libraries work as usual. TCP options are ignored, since the pair is not
    a TCP connection.
    """

    def setsockopt(self, *args: int | bytes | None) -> None:
        """Set an option, unless it is a TCP option."""
        if args[0] != socket.IPPROTO_TCP:
            super().setsockopt(*args)


class FakeWire:
    """Opens connections whose bytes are delayed, held or discarded.

    Parameters
    ----------
    geography : Geography
        Failure domains of the addresses and the delays between them.

    Attributes
    ----------
    outages : Outages
        Partitions and unreachable addresses.
    region_bytes : Counter
        Bytes sent between regions, by source and target region.
    node_bytes : Counter
        Bytes sent, by source address and the port that was connected to.

    Notes
    -----
    During a cut, bytes are held and delivered once it heals, as TCP
    retransmission would do; new connections time out.

    """

    def __init__(self, geography: Geography) -> None:
        """Store the parameters."""
        self.geography = geography
        self.outages = Outages(geography)
        self.region_bytes: Counter[tuple[str, str]] = Counter()
        self.node_bytes: Counter[tuple[str, int]] = Counter()
        self._transfer_loop = TransferLoop(self.outages, self._count_bytes)

    def start(self) -> None:
        """Start the thread that transfers bytes."""
        self._transfer_loop.start()

    def stop(self) -> None:
        """Close every connection."""
        self._transfer_loop.stop()

    def connect(
        self,
        source: str,
        target: Address,
        timeout: float,
    ) -> socket.socket:
        """Return a connected socket after one round trip; see `ports.Wire`.

        Raises
        ------
        TimeoutError
            A cut or pause, or the round trip, lasts longer than `timeout`
            seconds.
        ConnectionRefusedError
            An address is down, or nothing listens at `target`.

        """
        deadline = time.monotonic() + timeout
        self._wait_until_reachable(source, target[0], deadline)
        server_end = socket.create_connection(
            target,
            timeout,
            source_address=(source, 0),
        )
        server_end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        forward_delay = self.geography.measure_delay(source, target[0])
        reverse_delay = self.geography.measure_delay(target[0], source)
        if time.monotonic() + forward_delay + reverse_delay > deadline:
            server_end.close()
            time.sleep(max(deadline - time.monotonic(), 0))
            raise TimeoutError(
                f'connection to {target} timed out after {timeout} s'
            )
        time.sleep(forward_delay + reverse_delay)
        client_end, relay_end = _open_pair(server_end, timeout)
        address, port = target
        self._transfer_loop.add(
            DelayedStream(
                source, address, relay_end, server_end, forward_delay, port
            ),
            DelayedStream(
                address, source, server_end, relay_end, reverse_delay, port
            ),
        )
        return client_end

    def take_down(self, address: str) -> None:
        """Reset all connections of an address and refuse new ones."""
        self.outages.take_down(address)
        self._transfer_loop.close(
            lambda stream: address in {stream.source, stream.target}
        )

    def reset(self, selects: Callable[[DelayedStream], bool]) -> None:
        """Reset the open connections of which `selects` accepts a stream."""
        self._transfer_loop.close(selects)

    def silence(self, selects: Callable[[DelayedStream], bool]) -> int:
        """Discard all bytes of the selected lanes, without closing them.

        Neither end is notified: it sees a connection that never answers.

        Returns
        -------
        int
            Number of lanes that were selected, one per direction.

        """
        return self._transfer_loop.silence(selects)

    def _wait_until_reachable(
        self,
        source: str,
        target: str,
        deadline: float,
    ) -> None:
        while self._is_unreachable(source, target):
            if time.monotonic() >= deadline:
                raise TimeoutError(f'{target} is not reachable from {source}')
            time.sleep(_POLL_SECONDS)

    def _is_unreachable(self, source: str, target: str) -> bool:
        outages = self.outages
        if outages.is_refused(source, target):
            raise ConnectionRefusedError(
                f'connection from {source} to {target} refused'
            )
        forward = outages.is_held(source, target)
        return forward or outages.is_held(target, source)

    def _count_bytes(self, stream: DelayedStream, length: int) -> None:
        source_region = self.geography.find_region(stream.source)
        target_region = self.geography.find_region(stream.target)
        self.node_bytes[stream.source, stream.port] += length
        if source_region != target_region:
            self.region_bytes[source_region, target_region] += length


def _open_pair(
    server_end: socket.socket,
    timeout: float,
) -> tuple[socket.socket, socket.socket]:
    relay_end, client_half = socket.socketpair()
    client_end = FakeSocket(fileno=client_half.detach())
    client_end.settimeout(timeout)
    for end in (relay_end, server_end):
        end.setblocking(False)
    for end in (relay_end, client_end):
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    return client_end, relay_end
