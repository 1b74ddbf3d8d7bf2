"""LOST: what stands behind a broken answer on a kept connection.

Clients send further safe requests before a download has been answered. One of
the two servers of the downloads breaks off one of 50 answers (garble). The
servers of the safe requests are sound.
"""

import asyncio
import time

from review.third.tests.lab import (
    TROUBLE,
    Server,
    build_request,
    read_body,
    read_head,
    run_case,
)

_CLIENTS = 6
_SECONDS = 30
_CUT_EACH = 50  # one of so many answers of the faulty server
_DOWNLOAD_BYTES = 400_000
_LIMIT_MS = 2500
_PAUSE_SECONDS = 0.05
_MOST_LOST = 3
_PATHS = ('/sheets/s', '/tally/1', '/tally/2', '/tally/3')


class Client:
    """Keeps a connection and sends rows of requests on it."""

    def __init__(self, lab, number):
        """Use one of the nodes."""
        self.lab = lab
        self.number = number
        self.node = lab.nodes[number % len(lab.nodes)]
        self.unanswered = []
        self._connection = None
        self._is_kept = False

    async def run(self):
        """Send rows until the time is over."""
        until = time.monotonic() + _SECONDS
        row = 0
        while time.monotonic() < until:
            row += 1
            await self._send_row(row)
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _send_row(self, row):
        if self._connection is None:
            self._is_kept = False
            self._connection = await asyncio.open_connection(
                self.node.address, 8548
            )
        reader, writer = self._connection
        names = [f'{self.number}-{row}-{place}' for place in range(len(_PATHS))]
        for name, path in zip(names, _PATHS, strict=True):
            self.lab.record('sent', name, path)
            writer.write(build_request(path, name, _LIMIT_MS))
        waiting = list(names)
        try:
            while waiting:
                await self._read_answer(reader, waiting[0])
                waiting.pop(0)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.lab.record('closed', waiting[0], repr(error))
            # The answer to the first had begun; its server broke it off.
            self._note_unanswered(waiting[1:])
            writer.close()
            self._connection = None
        self._is_kept = True

    async def _read_answer(self, reader, name):
        first, fields = await asyncio.wait_for(read_head(reader), 5)
        await asyncio.wait_for(read_body(reader, fields), 5)
        self.lab.record('answered', name, first)

    def _note_unanswered(self, names):
        """Note what got no answer at all on a kept connection."""
        if self._is_kept:
            self.unanswered.extend(names)


async def play(lab):
    """Return whether more than three requests were lost."""
    lab.configure(
        {'path_prefix': '/sheets/', 'kind': 'download', 'service': 'sheets'},
        {'path_prefix': '/tally/', 'service': 'tally'},
    )
    faulty = Server(lab, 1, 'sheets', _DOWNLOAD_BYTES)
    faulty.cut_each = _CUT_EACH if TROUBLE else 0
    sound = [Server(lab, 3, 'tally'), Server(lab, 4, 'tally')]
    await lab.start(faulty, Server(lab, 2, 'sheets', _DOWNLOAD_BYTES), *sound)
    clients = [Client(lab, number) for number in range(_CLIENTS)]
    await asyncio.gather(*(client.run() for client in clients))
    has_run = {run[0] for server in sound for run in server.runs}
    lost = [
        name
        for client in clients
        for name in client.unanswered
        if name in has_run
    ]
    for name in lost:
        lab.record('lost', name, 'passed on to a sound server, no answer')
    print(f'{len(lost)} requests lost, allowed: {_MOST_LOST}')
    return len(lost) > _MOST_LOST


if __name__ == '__main__':
    run_case(play, nodes=2)
