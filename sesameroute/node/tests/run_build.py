"""Runs a node of the build on the module search path, for tests.

SIGUSR1 cuts it off from all backend servers, and SIGUSR2 ends that.
"""

import signal
from functools import partial

from sesameroute.node.tests.partition import Cut, PartitionableWire
from sesameroute.programs import node as program


def run():
    """Run the program with connections that can be cut."""
    wire = PartitionableWire()
    signal.signal(signal.SIGUSR1, lambda *_: wire.apply(Cut.RESET))
    signal.signal(signal.SIGUSR2, lambda *_: wire.heal())
    program.FleetNode = partial(program.FleetNode, server_wire=wire)
    program.run()


if __name__ == '__main__':
    run()
