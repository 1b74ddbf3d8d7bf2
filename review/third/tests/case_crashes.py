"""BUDGET: a request that ends each server a moment after its answer.

It comes once a second, at three nodes in turn. Harmless requests go on beside
it. A server that has ended is back some seconds later under a new name.
"""

import asyncio
import itertools
import time

from review.third.tests.lab import (
    PORTS,
    TROUBLE,
    ZONE,
    Server,
    build_request,
    read_body,
    read_head,
    run_case,
)

_PATH = '/tally/harmful'
_SERVERS = 8
_SECONDS = 30
_CONTACT_SECONDS = 4
_EVERY_SECONDS = 1
_HARMLESS_SECONDS = 0.04  # between two of them
_CRASH_SECONDS = 0.05  # after the answer
_DOWN_SECONDS = 2.5
_EXPIRY_SECONDS = 4.5  # three heartbeats
_LIMIT_MS = 2000
_MOST_LATE = 3


class MortalServer(Server):
    """A server that the harmful request ends.

    `ends` has the time and the name of each end of any of them.
    """

    ends = ()

    def register(self):
        """Write the entry, unless it has ended."""
        if self.listener is not None:
            super().register()

    def crash(self):
        """End without a word; the entry expires, another one comes back."""
        if self.listener is None:
            return
        self.lab.record('ended', self.name)
        self.ends.append(time.monotonic())
        self.listener.close()
        self.listener = None
        for writer in tuple(self.writers):
            writer.transport.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(_EXPIRY_SECONDS, self.expire, self.name)
        loop.call_later(_DOWN_SECONDS, self.come_back)

    def expire(self, name):
        """Remove the entry of an earlier start."""
        self.lab.store.remove(f'servers/{name}')

    def come_back(self):
        """Start again under another name."""
        self.name = f'i-{next(self.lab.numbers):08x}'
        self.born = round(time.time() * 1000)
        self.lab.restarts.append(asyncio.create_task(self.start()))

    async def _answer(self, reader, writer):
        before = len(self.runs)
        goes_on = await super()._answer(reader, writer)
        has_run = self.runs[before:]
        if TROUBLE and any(each[0].startswith('x-') for each in has_run):
            loop = asyncio.get_running_loop()
            loop.call_later(_CRASH_SECONDS, self.crash)
        return goes_on


class Load:
    """Sends requests to the nodes in turn, each on a connection of its own."""

    def __init__(self, lab):
        """Start with the first node."""
        self.lab = lab
        self.sent_at = {}
        self._nodes = itertools.cycle(lab.nodes)
        self._tasks = []

    async def run(self, prefix, path, pause, seconds):
        """Send for so long."""
        until = time.monotonic() + seconds
        for number in itertools.count(1):
            name = f'{prefix}-{number}'
            task = asyncio.create_task(self._ask(name, path))
            self._tasks.append(task)
            await asyncio.sleep(pause)  # noqa: WPS476
            if time.monotonic() > until:
                return

    async def end(self):
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, name, path):
        self.sent_at[name] = time.monotonic()
        self.lab.record('sent', name, path)
        try:
            first = await asyncio.wait_for(self._read_answer(name, path), 3)
        except (OSError, asyncio.IncompleteReadError) as error:
            first = repr(error)
        self.lab.record('answered', name, first)

    async def _read_answer(self, name, path):
        reader, writer = await asyncio.open_connection(
            next(self._nodes).address, PORTS['front']
        )
        writer.write(build_request(path, name, _LIMIT_MS))
        first, fields = await read_head(reader)
        await read_body(reader, fields)
        writer.close()
        return first


async def play(lab):
    """Return whether the harmful request came more than three times late."""
    lab.configure({'path_prefix': '/tally/', 'service': 't'})
    lab.restarts = []
    MortalServer.ends = []
    servers = [MortalServer(lab, rank, 't') for rank in range(1, _SERVERS + 1)]
    await lab.start(*servers)
    load = Load(lab)
    await asyncio.gather(
        load.run('h', '/tally/1', _HARMLESS_SECONDS, _SECONDS),
        load.run('x', _PATH, _EVERY_SECONDS, _SECONDS),
    )
    await load.end()
    late = list_late(load, servers)
    for name in late:
        lab.record('late', name)
    print(f'{len(late)} late retries, allowed: {_MOST_LATE}')
    return len(late) > _MOST_LATE


def list_late(load, servers):
    """Return the attempts that were sent late and reached a server."""
    third = (MortalServer.ends + [float('inf')] * 3)[2]
    names = {run[0] for server in servers for run in server.runs}
    return [
        name
        for name in sorted(names)
        if name.startswith('x-')
        and load.sent_at[name] > third + _CONTACT_SECONDS
    ]


if __name__ == '__main__':
    run_case(play, [ZONE] * 3)
