"""Samples of a running deployment: load, headroom and links over time."""

import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass
from threading import Event, Thread

from sesameroute.fakes import SlotQueue
from sesameroute.local._deployment import Deployment
from sesameroute.local._load import Load

__all__ = ['Sample', 'Sampler']

_STEP_SECONDS = 0.1
_LINK_STEPS = 10  # steps over which the use of a link is taken


RegionBytes = Counter[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Sample:
    """The deployment at one moment.

    Attributes
    ----------
    second : float
        Seconds from the start of the load.
    answered, refused : int
        Orders that ended so far.
    queued : int
        Requests that wait at backend servers.
    shed : int
        Requests shed by backend servers so far.
    headroom : float
        Free part of the slots of the fullest service and region.
    region : float
        Work of the fullest service and region, as a part of its slots;
        waiting requests count.
    link : float
        Use of the fullest link in the last second, as a part of its cap.

    """

    second: float
    answered: int
    refused: int
    queued: int
    shed: int
    headroom: float
    region: float
    link: float


class Sampler:
    """Takes a sample every tenth of a second.

    Parameters
    ----------
    deployment : Deployment
        What to watch.
    load : Load
        What callers send.

    Attributes
    ----------
    samples : list of Sample

    """

    def __init__(self, deployment: Deployment, load: Load) -> None:
        """Store the parameters."""
        self.deployment = deployment
        self.load = load
        self.samples: list[Sample] = []
        self._links: deque[RegionBytes] = deque(maxlen=_LINK_STEPS + 1)
        self._is_over = Event()

    def start(self) -> None:
        """Start the thread."""
        Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """End the thread."""
        self._is_over.set()

    def _run(self) -> None:
        while not self._is_over.wait(_STEP_SECONDS):
            self.samples.append(self._take())

    def _take(self) -> Sample:
        answered, refused = self.load.count_ended()
        upstreams = self.deployment.upstreams.values()
        uses = list(self._measure_regions())
        return Sample(
            second=time.monotonic() - self.load.started,
            answered=answered,
            refused=refused,
            queued=sum(each.worker.slots.waiting for each in upstreams),
            shed=sum(each.worker.shed_count for each in upstreams),
            headroom=1 - max((used for used, _ in uses), default=0),
            region=max((wanted for _, wanted in uses), default=0),
            link=self._measure_links(),
        )

    def _measure_regions(self) -> Iterator[tuple[float, float]]:
        """Yield used and wanted part of the slots by service and region."""
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
                place = fake.upstream.service, find_region(fake.upstream.domain)
                groups.setdefault(place, []).append(fake.worker.slots)
        return groups

    def _measure_links(self) -> float:
        self._links.append(self.deployment.wire.region_bytes.copy())
        earlier, later = self._links[0], self._links[-1]
        seconds = max(len(self._links) - 1, 1) * _STEP_SECONDS
        uses = (
            (
                later[link.source, link.target]
                - earlier[link.source, link.target]
            )
            / seconds
            / link.bytes_per_second
            for link in self.deployment.statement.links
        )
        return max(uses, default=0)
