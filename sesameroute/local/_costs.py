"""Measures processor, network and memory use of an idle deployment."""

import os
import resource
import time
from dataclasses import dataclass

from sesameroute.local._deployment import Deployment

__all__ = ['ControlPlaneCosts', 'CostMeter']

_BYTES_PER_PAGE = resource.getpagesize()
_BYTES_PER_MEBIBYTE = 1_048_576
_RESIDENT_PAGES_FIELD = 1
_MEASUREMENT_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class ControlPlaneCosts:
    """Resource use of the control plane while no requests are sent.

    Libraries that the process had already loaded are not counted.

    Attributes
    ----------
    core_fraction : float
        Average processor cores in use per entry VM, including the idle
        threads of the simulated platform and backend servers.
    bytes_per_second : float
        Bytes per second that each entry VM sends to its peers and to the
        platform.
    memory_mebibytes : float
        Growth of resident memory at the start, in MiB per entry VM.

    """

    core_fraction: float
    bytes_per_second: float
    memory_mebibytes: float


class CostMeter:
    """Starts a deployment and measures its idle resource use.

    Parameters
    ----------
    deployment : Deployment
        Deployment that has not been started yet.

    """

    def __init__(self, deployment: Deployment) -> None:
        """Store the parameter."""
        self.deployment = deployment

    def start_and_measure(self) -> ControlPlaneCosts:
        """Start the deployment and measure it before any request is sent."""
        resident_bytes = _read_resident_bytes()
        self.deployment.start()
        added_bytes = _read_resident_bytes() - resident_bytes
        started = time.monotonic()
        processor_seconds = time.process_time()
        bytes_sent = self._count_bytes()
        time.sleep(_MEASUREMENT_SECONDS)
        vm_count = len(self.deployment.vms)
        seconds = (time.monotonic() - started) * vm_count
        return ControlPlaneCosts(
            core_fraction=(time.process_time() - processor_seconds) / seconds,
            bytes_per_second=(self._count_bytes() - bytes_sent) / seconds,
            memory_mebibytes=added_bytes / _BYTES_PER_MEBIBYTE / vm_count,
        )

    def _count_bytes(self) -> int:
        return sum(self.deployment.wire.node_bytes.values())


def _read_resident_bytes() -> int:
    with open(f'/proc/{os.getpid()}/statm', encoding='ascii') as fields:
        return (
            int(fields.read().split()[_RESIDENT_PAGES_FIELD]) * _BYTES_PER_PAGE
        )
