"""BUDGET: requests that a node passes on while it reaches no server.

The node behind `CUT` is partitioned from all servers: they drop its packets.
Clients, the store and the other nodes still reach it.
"""

import asyncio
import contextlib
import ctypes
import os
import socket
import struct
import time
from collections import defaultdict

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

_ATTACH_FILTER = 26  # SO_ATTACH_FILTER
_SOURCE = 0xFFF00000 + 12  # source address of the packet
_ACCEPT = 0xFFFFFFFF
_CALM_SECONDS = 4
_CUT_SECONDS = 4  # contact_ms
_MOST = 3


def drop_packets(sock, address):
    """Let a stand-in's own socket ignore all packets of an address."""
    source = struct.unpack('>I', socket.inet_aton(address))[0]
    steps = (
        (32, 0, 0, _SOURCE),
        (21, 0, 1, source),
        (6, 0, 0, 0),
        (6, 0, 0, _ACCEPT),
    )
    code = b''.join(struct.pack('HBBI', *step) for step in steps)
    held = ctypes.create_string_buffer(code, len(code))
    program = struct.pack('HL', len(steps), ctypes.addressof(held))
    with socket.socket(fileno=os.dup(sock.fileno())) as same:
        same.setsockopt(socket.SOL_SOCKET, _ATTACH_FILTER, program)


def cut_off(lab):
    """Partition the first node from all servers."""
    address = lab.nodes[0].address
    lab.record('cut off', address)
    for server in lab.servers:
        drop_packets(server.listener.sockets[0], address)
        for writer in tuple(server.writers):
            drop_packets(writer.get_extra_info('socket'), address)


class Load:
    """Clients that each send one request to the first node."""

    def __init__(self, lab, per_second, limit_ms):
        """Store the rate and the time that a client waits."""
        self.lab = lab
        self.pause = 1 / per_second
        self.limit_ms = limit_ms
        self.count = 0
        self._tasks = []

    async def run(self, seconds):
        """Send for so long."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.count += 1
            task = asyncio.create_task(self._ask(f'a-{self.count}'))
            self._tasks.append(task)
            await asyncio.sleep(self.pause)

    async def end(self):
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, name):
        self.lab.record('sent', name, f'{self.limit_ms} ms')
        try:
            first = await asyncio.wait_for(
                self._read_answer(name), self.limit_ms / 1000
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            first = repr(error)
        self.lab.record('answered', name, first)

    async def _read_answer(self, name):
        reader, writer = await asyncio.open_connection(
            self.lab.nodes[0].address, PORTS['front']
        )
        with contextlib.closing(writer):
            writer.write(build_request('/tally/1', name, self.limit_ms))
            first, fields = await read_head(reader)
            await read_body(reader, fields)
        return first


async def play_attempts(lab):
    """Return whether requests ran on more servers than their route permits.

    One of the nodes that the first one passes requests on to is killed.
    """
    lab.configure({'path_prefix': '/tally/', 'service': 't', 'max_attempts': 1})
    servers = [Server(lab, rank, 't') for rank in range(1, 5)]
    for server in servers:
        server.work_seconds = 0.48
    await lab.start(*servers)
    load = Load(lab, per_second=70, limit_ms=2500)
    await load.run(_CALM_SECONDS)
    if TROUBLE:
        cut_off(lab)
    await load.run(_CUT_SECONDS)
    if TROUBLE:
        asyncio.get_running_loop().call_later(1, restart(lab.nodes[1]))
    await load.run(3)
    await load.end()
    more = list_repeated(lab, servers)
    print(f'{len(more)} requests on two servers, allowed: {_MOST}')
    return len(more) > _MOST


def restart(node):
    """Kill a node; return what starts it again."""
    node.lab.record('killed', node.address)
    node.kill()
    return node.start


def list_repeated(lab, servers):
    """Return the requests that ran on several servers."""
    # Servers that are cut off from the node that sent the request don't count.
    ran_on = defaultdict(set)
    for server in servers:
        for name, _time, node, _fields in server.runs:
            if node != lab.nodes[0].address:
                ran_on[name].add(server.name)
    more = [name for name, names in ran_on.items() if len(names) > 1]
    for name in more:
        lab.record('too many', name, f'ran on {sorted(ran_on[name])}')
    return more


if __name__ == '__main__':
    run_case(play_attempts, [ZONE] * 3)
