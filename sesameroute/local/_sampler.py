"""Samples load, headroom and link use of a running deployment."""

import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from threading import Event, Thread

from sesameroute.fakes import SlotQueue
from sesameroute.local._deployment import Deployment
from sesameroute.local._load_generator import LoadGenerator

__all__ = ['Sample', 'Sampler']

_SAMPLE_INTERVAL_SECONDS = 0.1
_LINK_WINDOW_SAMPLES = 10  # window for the utilization of a link


BytesByRegionPair = Counter[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Sample:
    """State of the deployment at one time.

    Attributes
    ----------
    second : float
        Seconds from the start of the load.
    answered, refused : int
        Finished requests so far, with and without an answer.
    queued : int
        Requests queued at backend servers now.
    shed : int
        Requests that backend servers rejected because of overload so far.
    headroom : float
        Fraction of free slots in the most used pair of service and region.
    region_load : float
        Running and queued requests of the most loaded pair of service and
        region, as a fraction of its slots.
    link_load : float
        Traffic of the most used link over the last second, as a fraction
        of its bandwidth limit.

    """

    second: float
    answered: int
    refused: int
    queued: int
    shed: int
    headroom: float
    region_load: float
    link_load: float


class Sampler:
    """Takes a sample every tenth of a second.

    Parameters
    ----------
    deployment : Deployment
        Deployment to sample.
    load : LoadGenerator
        Load on the deployment.

    Attributes
    ----------
    samples : list of Sample
        Samples so far, oldest first.

    """

    def __init__(self, deployment: Deployment, load: LoadGenerator) -> None:
        """Store the parameters."""
        self.deployment = deployment
        self.load = load
        self.samples: list[Sample] = []
        self._link_history: deque[BytesByRegionPair] = deque(
            maxlen=_LINK_WINDOW_SAMPLES + 1,
        )
        self._stop_event = Event()

    def start(self) -> None:
        """Start the sampling thread."""
        Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop the sampling thread."""
        self._stop_event.set()

    def _run(self) -> None:
        while not self._stop_event.wait(_SAMPLE_INTERVAL_SECONDS):
            self.samples.append(self._take_sample())

    def _take_sample(self) -> Sample:
        answered, refused = self.load.count_finished()
        upstreams = self.deployment.upstreams.values()
        utilizations = list(self._measure_regions())
        return Sample(
            second=time.monotonic() - self.load.started,
            answered=answered,
            refused=refused,
            queued=sum(each.worker.slots.waiting for each in upstreams),
            shed=sum(each.worker.shed_count for each in upstreams),
            headroom=1 - max((used for used, _ in utilizations), default=0),
            region_load=max(
                (demanded for _, demanded in utilizations), default=0
            ),
            link_load=self._measure_link_utilization(),
        )

    def _measure_regions(self) -> Iterator[tuple[float, float]]:
        """Yield used and demanded fraction of slots per service and region.

        The demanded fraction includes queued requests.
        """
        for group in self._group_slots().values():
            total = sum(slots.slots for slots in group)
            used = sum(slots.active for slots in group)
            waiting = sum(slots.waiting for slots in group)
            yield used / total, (used + waiting) / total

    def _group_slots(self) -> dict[tuple[str, str], list[SlotQueue]]:
        groups: dict[tuple[str, str], list[SlotQueue]] = {}
        find_region = self.deployment.statement.places.find_region
        for fake in self.deployment.upstreams.values():
            if fake.is_running:
                group_key = (
                    fake.upstream.service,
                    find_region(fake.upstream.domain),
                )
                groups.setdefault(group_key, []).append(fake.worker.slots)
        return groups

    def _measure_link_utilization(self) -> float:
        self._link_history.append(self.deployment.wire.region_bytes.copy())
        earlier, later = self._link_history[0], self._link_history[-1]
        seconds = max(len(self._link_history) - 1, 1) * _SAMPLE_INTERVAL_SECONDS
        utilizations = (
            (
                later[link.source, link.target]
                - earlier[link.source, link.target]
            )
            / seconds
            / link.bytes_per_second
            for link in self.deployment.statement.links
        )
        return max(utilizations, default=0)
