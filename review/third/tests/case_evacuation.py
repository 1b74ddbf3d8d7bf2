"""EVAC: an evacuation that the store confirms as it comes back from a copy.

The operator evacuates a zone and takes it back some seconds later. In a drill
the store goes away and comes back from a copy of before that. An operator who
has to evacuate the zone again meanwhile tries until the store confirms it.
"""

import asyncio
import time

from review.third.tests.lab import (
    FAR_ZONE,
    HEARTBEAT_SECONDS,
    PORTS,
    TROUBLE,
    ZONE,
    Server,
    build_request,
    read_body,
    read_head,
    run_case,
)

_KEY = f'op/evacuate/{FAR_ZONE}'
_FIRST_SECONDS = 2.5  # from the evacuation until it is taken back
_AWAY_SECONDS = 0.5
_RETRY_SECONDS = 0.05
_WATCHED_SECONDS = 20
# evacuate_ms and max_stretch_ms of the site
_BOUND_SECONDS = 5 + 6
_LIMIT_MS = 2000
_PAUSE_SECONDS = 0.05


class Caller:
    """Sends requests to one node, one after the other."""

    def __init__(self, lab, node):
        """Store the node."""
        self.lab = lab
        self.node = node

    async def run(self):
        """Send until cancelled."""
        count = 0
        while True:
            count += 1
            name = f'{self.node.address}-{count}'
            try:
                first = await asyncio.wait_for(self._ask(name), 3)
            except (OSError, asyncio.IncompleteReadError) as error:
                first = repr(error)
            self.lab.record('answered', name, first)
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _ask(self, name):
        reader, writer = await asyncio.open_connection(
            self.node.address, PORTS['front']
        )
        self.lab.record('sent', name)
        writer.write(build_request('/tally/1', name, _LIMIT_MS))
        first, fields = await read_head(reader)
        await read_body(reader, fields)
        writer.close()
        return first


class Operator:
    """Evacuates the far zone, and keeps trying while the store is away."""

    def __init__(self, lab):
        """Store what it writes to."""
        self.lab = lab
        self.store = lab.store

    async def evacuate(self):
        """Write the order; return when the store has confirmed it."""
        while self.store.is_away:
            await asyncio.sleep(_RETRY_SECONDS)
        self.store.put(_KEY, b'{}')
        self.lab.record('evacuated', FAR_ZONE, f'at {self.store.revision}')
        return time.monotonic()

    def take_back(self):
        """Remove the order."""
        self.store.remove(_KEY)
        self.lab.record('back', FAR_ZONE, f'at {self.store.revision}')


async def go_through_drill(lab, copy):
    """Let the store be away for a moment and come back from a copy."""
    if not TROUBLE:
        return
    lab.store.go_away()
    lab.record('away', 'store')
    await asyncio.sleep(_AWAY_SECONDS)
    lab.store.restore(copy)
    lab.record('restored', 'store', f'at {lab.store.revision}')


async def play(lab):
    """Return whether requests reached the zone after its evacuation."""
    lab.configure({'path_prefix': '/tally/', 'service': 't'})
    far = [Server(lab, rank, 't', FAR_ZONE) for rank in (3, 4)]
    await lab.start(Server(lab, 1, 't'), Server(lab, 2, 't'), *far)
    callers = [
        asyncio.create_task(Caller(lab, node).run()) for node in lab.nodes
    ]
    operator = Operator(lab)
    copy = await evacuate_once(lab, operator)
    drill = asyncio.create_task(go_through_drill(lab, copy))
    await asyncio.sleep(_AWAY_SECONDS / 2)
    confirmed_at = await operator.evacuate()
    await asyncio.sleep(_WATCHED_SECONDS)
    for task in (drill, *callers):
        task.cancel()
    return is_late(lab, far, confirmed_at)


async def evacuate_once(lab, operator):
    """Evacuate the zone and take it back; return a copy of before that."""
    await lab.wait_for_beat()
    copy = lab.store.copy_state()
    await operator.evacuate()
    await asyncio.sleep(_FIRST_SECONDS)
    operator.take_back()
    await asyncio.sleep(2 * HEARTBEAT_SECONDS)
    await lab.wait_for_beat()
    return copy


def is_late(lab, servers, confirmed_at):
    """Return whether servers got requests later than they may."""
    late = [
        run
        for server in servers
        for run in server.runs
        if run[1] > confirmed_at + _BOUND_SECONDS
    ]
    for name, ran_at, _node, _fields in late:
        lab.record('late', name, f'{ran_at - confirmed_at:.1f} s after')
    print(f'{len(late)} requests reached the evacuated zone later')
    return bool(late)


if __name__ == '__main__':
    run_case(play, [ZONE, ZONE, FAR_ZONE])
