"""A node in a process of its own that shares a core, for tests."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

from sesameroute.node.tests.backends import BackendStandIn
from sesameroute.node.tests.builds import EarlierNodes
from sesameroute.node.tests.cluster import (
    FRONT_PORT,
    NETWORK_PREFIX,
    Cluster,
    is_ready,
    wait_for,
)

NODE = 1
ADDRESS = (f'{NETWORK_PREFIX}.{NODE}', FRONT_PORT)
REPOSITORY = Path(__file__).parents[3]

_SERVERS = 3
_START_SECONDS = 20
_BUSY = 'while True: pass'


def is_node_ready():
    """Return whether the node says that it is ready."""
    try:
        return is_ready(NODE)
    except OSError:
        return False


@contextlib.contextmanager
def running_node(folder, source=REPOSITORY, **server):
    """Run the node of a source tree with three servers; yield its process.

    What else is given becomes attributes of the servers.
    """
    with contextlib.ExitStack() as ending:
        cluster = Cluster()
        ending.callback(cluster.stop)
        for number in range(_SERVERS):
            standin = BackendStandIn()
            vars(standin).update(server)
            ending.callback(standin.stop)
            cluster.register(f'server-{number}', standin)
        environment = {**os.environ, 'PYTHONPATH': str(source)}
        nodes = EarlierNodes(cluster, environment, Path(folder))
        ending.callback(nodes.kill_all)
        nodes.start(NODE, [NODE])
        assert wait_for(is_node_ready, _START_SECONDS)
        yield nodes.processes[NODE]


@contextlib.contextmanager
def sharing_one_core(process):
    """Leave a process half of a core: another one is busy on the same."""
    core = {max(os.sched_getaffinity(0))}
    for task in os.listdir(f'/proc/{process.pid}/task'):
        os.sched_setaffinity(int(task), core)
    busy = subprocess.Popen((sys.executable, '-c', _BUSY))
    os.sched_setaffinity(busy.pid, core)
    try:
        yield
    finally:
        busy.kill()
        busy.wait()
