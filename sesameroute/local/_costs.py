"""What the system itself costs: processor, bytes, memory, store calls."""

import os
import resource
import time
from dataclasses import dataclass

from sesameroute.local._deployment import Deployment

__all__ = ['Costs', 'CostMeter']

_PAGE_BYTES = resource.getpagesize()
_MEBIBYTE = 1_048_576
_RESIDENT_FIELD = 1
_IDLE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs of control without load; shared libraries are not counted.

    Attributes
    ----------
    core_fraction : float
        Part of a core for each entry VM; the stand-ins' idle threads count.
    bytes_per_second : float
        Bytes that each entry VM sends to peers and platform.
    memory_mebibytes : float
        Memory that each entry VM adds to the process.

    """

    core_fraction: float
    bytes_per_second: float
    memory_mebibytes: float


class CostMeter:
    """Measures a deployment before its load begins.

    Parameters
    ----------
    deployment : Deployment
        What to measure.

    """

    def __init__(self, deployment: Deployment) -> None:
        """Store the parameter."""
        self.deployment = deployment

    def start_all(self) -> Costs:
        """Start the deployment and measure it while it is idle."""
        memory = _read_memory()
        self.deployment.start()
        added = _read_memory() - memory
        started = time.monotonic()
        busy = time.process_time()
        sent = self._count_bytes()
        time.sleep(_IDLE_SECONDS)
        vms = len(self.deployment.vms)
        seconds = (time.monotonic() - started) * vms
        return Costs(
            core_fraction=(time.process_time() - busy) / seconds,
            bytes_per_second=(self._count_bytes() - sent) / seconds,
            memory_mebibytes=added / _MEBIBYTE / vms,
        )

    def _count_bytes(self) -> int:
        return sum(self.deployment.wire.node_bytes.values())


def _read_memory() -> int:
    with open(f'/proc/{os.getpid()}/statm', encoding='ascii') as fields:
        return int(fields.read().split()[_RESIDENT_FIELD]) * _PAGE_BYTES
