"""Samples slots and evaluates links, shifts and drains of a run."""

from collections import deque
from collections.abc import Iterable

from benchmarks._traffic import Traffic
from sesameroute.routing import is_drained

__all__ = ['TrafficMonitor']

_SAMPLE_INTERVAL_SECONDS = 0.05
_AVERAGED_SAMPLES = 20  # samples over which the headroom is averaged
# A second counts as served if this fraction of the weight sent in it, or more,
# is answered in time.
_SERVED_FRACTION = 0.98


class TrafficMonitor:
    """Measures how a policy treats slots, links, shifts and drains.

    Parameters
    ----------
    traffic : Traffic
        The traffic to measure.

    Attributes
    ----------
    min_headroom : float
        Smallest mean fraction of free slots in a region and service.
    max_excess_slots : int
        Most requests that a backend server ran beyond its slots.

    """

    def __init__(self, traffic: Traffic) -> None:
        """Store the traffic; nothing is sampled."""
        self.traffic = traffic
        self.min_headroom = 1.0
        self.max_excess_slots = 0
        self.recent_headroom: dict[tuple[str, str], deque[float]] = {}

    def sample_slots(self) -> None:
        """Sample the slots now and at an interval until the load ends."""
        for key, (free, total) in self._count_free_slots().items():
            samples = self.recent_headroom.setdefault(
                key, deque(maxlen=_AVERAGED_SAMPLES)
            )
            samples.append(free / total)
            if len(samples) == _AVERAGED_SAMPLES:
                mean = sum(samples) / _AVERAGED_SAMPLES
                self.min_headroom = min(self.min_headroom, mean)
        if self.traffic.fleet.schedule.now < self.traffic.ends_at:
            self.traffic.fleet.schedule.add(
                _SAMPLE_INTERVAL_SECONDS, self.sample_slots
            )

    def measure_drain(self, since: float) -> float:
        """Return seconds until drained servers start their last request."""
        statement = self.traffic.statement
        start_times = [
            server.last_start
            for name, server in self.traffic.servers.items()
            if is_drained(statement, name, server.upstream.domain)
        ]
        return max(0, max(start_times, default=since) - since)

    def measure_link_peak(self) -> float:
        """Return the peak load of a link in a second, as part of its cap."""
        peaks = [
            _find_peak_sum(
                (when, size)
                for when, source, target, size in self.traffic.log.answers
                if (source, target) == (link.source, link.target)
            )
            / link.bytes_per_second
            for link in self.traffic.statement.links
        ]
        return max(peaks, default=0)

    def measure_shift_peak(self) -> float:
        """Return the peak rate of a shift in a second, as part of its cap."""
        peaks = [
            _find_peak_sum(
                (when, 1)
                for when, *route in self.traffic.log.requests
                if route == [shift.source, shift.target, shift.service]
                and when >= shift.started
            )
            / shift.cap
            for shift in self.traffic.statement.shifts.values()
        ]
        return max(peaks, default=0)

    def measure_recovery(self, since: float) -> float:
        """Return seconds until the last second with too few answers ends."""
        by_second = self.traffic.statistics.by_second
        bad_second_ends = [
            second + 1 - since
            for second, (sent, answered) in by_second.items()
            if second >= since and answered < sent * _SERVED_FRACTION
        ]
        return max(bad_second_ends, default=0)

    def _count_free_slots(self) -> dict[tuple[str, str], tuple[int, int]]:
        """Return the free and the total slots by region and service."""
        counts: dict[tuple[str, str], tuple[int, int]] = {}
        places = self.traffic.statement.places
        for server in self.traffic.servers.values():
            if not server.is_up:
                continue
            slots = server.upstream.slots
            key = (
                places.find_region(server.upstream.domain),
                server.upstream.service,
            )
            free, total = counts.get(key, (0, 0))
            counts[key] = (free + slots - server.used_slots, total + slots)
            self.max_excess_slots = max(
                self.max_excess_slots, server.used_slots - slots
            )
        return counts


def _find_peak_sum(timed_sizes: Iterable[tuple[float, int]]) -> float:
    """Return the largest sum of sizes within any second."""
    window: deque[tuple[float, int]] = deque()
    peak, total = 0, 0
    for when, size in timed_sizes:
        window.append((when, size))
        total += size
        while window[0][0] <= when - 1:
            total -= window.popleft()[1]
        peak = max(peak, total)
    return peak
