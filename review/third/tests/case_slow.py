"""LOST: clients that read slowly but steadily are cut.

Each client asks for a download on a kept connection, sends further safe
requests behind it, and reads as fast as a slow link lets it.
"""

import asyncio
import socket
import time

from review.third.tests.lab import (
    PORTS,
    TROUBLE,
    Server,
    build_request,
    run_case,
)

_CLIENTS = 24
_WAVES = 3
_DOWNLOAD_BYTES = 6_000_000
_BYTES_PER_SECOND = 1_000_000  # of one client
_LIMIT_MS = 8000
_BUFFER_BYTES = 65_536
_END_SECONDS = 0.5  # for what comes behind the download
_MOST_LOST = 3
_PATHS = ('/sheets/s', '/tally/1', '/tally/2', '/tally/3')


class Client:
    """Asks once for a download and for more behind it."""

    def __init__(self, lab, name):
        """Use the only node."""
        self.lab = lab
        self.names = [f'{name}-{place}' for place in range(len(_PATHS))]
        self.content = bytearray()
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )

    async def run(self):
        """Send the row and read to its end, or to that of the connection."""
        loop = asyncio.get_running_loop()
        address = self.lab.nodes[0].address, PORTS['front']
        await loop.sock_connect(self._socket, address)
        warm = f'{self.names[0]}-w'
        await self._send(('/tally/w',), (warm,))
        await self._read_until(1, time.monotonic())
        self.content.clear()
        await self._send(_PATHS, self.names)
        try:
            await self._read_until(len(_PATHS), time.monotonic())
        except OSError as error:
            self.lab.record('closed', self.names[0], repr(error))
        self._socket.close()

    def list_unanswered(self):
        """Return the identifiers of requests without a byte of an answer."""
        unanswered = []
        for name in self.names:
            if f'Attempt-Id: {name}\r\n'.encode() in self.content:
                self.lab.record('answered', name, 'begun, or whole')
            else:
                unanswered.append(name)
        return unanswered

    async def _send(self, paths, names):
        content = b''
        for name, path in zip(names, paths, strict=True):
            self.lab.record('sent', name, path)
            content += build_request(path, name, _LIMIT_MS)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, content)

    async def _read_until(self, answers, began):
        """Read until the connection is silent after so many answers."""
        loop = asyncio.get_running_loop()
        while True:
            content = await asyncio.wait_for(
                loop.sock_recv(self._socket, _BUFFER_BYTES), _LIMIT_MS / 1000
            )
            if not content:
                raise OSError(f'closed after {len(self.content)} bytes')
            self.content += content
            if self.content.count(b'Attempt-Id: ') >= answers:
                await asyncio.sleep(0.1 if answers == 1 else 0)
                return
            if TROUBLE:
                ahead = len(self.content) / _BYTES_PER_SECOND
                await asyncio.sleep(max(began + ahead - time.monotonic(), 0))


async def play(lab):
    """Return whether more than three requests were lost."""
    limits = {'timeout_ms': _LIMIT_MS, 'target_latency_ms': 1500}
    lab.configure(
        {'path_prefix': '/sheets/', 'kind': 'download', 'service': 's'}
        | limits,
        {'path_prefix': '/tally/', 'service': 't'} | limits,
    )
    sheets = [Server(lab, rank, 's', _DOWNLOAD_BYTES) for rank in (1, 2)]
    tally = [Server(lab, rank, 't') for rank in (3, 4)]
    await lab.start(*sheets, *tally)
    lost = []
    for wave in range(_WAVES):
        clients = [Client(lab, f'{wave}-{each}') for each in range(_CLIENTS)]
        runs = (client.run() for client in clients)
        await asyncio.gather(*runs)  # noqa: WPS476 - one wave after the other
        await asyncio.sleep(_END_SECONDS)  # noqa: WPS476
        lost.extend(name for each in clients for name in each.list_unanswered())
    has_run = {run[0] for server in tally for run in server.runs}
    lost = [name for name in lost if name in has_run]
    for name in lost:
        lab.record('lost', name, 'passed on to a sound server, no answer')
    print(f'{len(lost)} requests lost, allowed: {_MOST_LOST}')
    return len(lost) > _MOST_LOST


if __name__ == '__main__':
    run_case(play, nodes=1)
