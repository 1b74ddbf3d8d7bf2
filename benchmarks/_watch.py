"""Watches slots, links and shifts during a run."""

from collections import deque
from collections.abc import Iterable

from benchmarks._traffic import Traffic
from sesameroute.routing import is_drained

__all__ = ['Watch']

_INTERVAL = 0.05  # seconds between looks
_LOOKS = 20  # over which the headroom is averaged
_RECOVERED = 0.98  # of the worth sent in a second


class Watch:
    """Looks at the traffic at an interval.

    Parameters
    ----------
    traffic : Traffic
        What to watch.

    """

    def __init__(self, traffic: Traffic) -> None:
        """Store the traffic."""
        self.traffic = traffic
        self.smallest_headroom = 1.0
        self.overfull = 0
        self.recent: dict[tuple[str, str], deque[float]] = {}

    def start(self) -> None:
        """Look now and at the interval."""
        for key, (free, total) in self._count_free().items():
            recent = self.recent.setdefault(key, deque(maxlen=_LOOKS))
            recent.append(free / total)
            if len(recent) == _LOOKS:
                mean = sum(recent) / _LOOKS
                self.smallest_headroom = min(self.smallest_headroom, mean)
        if self.traffic.fleet.schedule.now < self.traffic.until:
            self.traffic.fleet.schedule.add(_INTERVAL, self.start)

    def measure_drain(self, since: float) -> float:
        """Return seconds until the last new work on drained servers."""
        statement = self.traffic.statement
        starts = [
            server.last_start
            for name, server in self.traffic.servers.items()
            if is_drained(statement, name, server.upstream.domain)
        ]
        return max(0, max(starts, default=since) - since)

    def measure_link_peak(self) -> float:
        """Return the largest part of a link's cap used in a second."""
        peaks = [
            _measure_window(
                (when, size)
                for when, source, target, size in self.traffic.journal.carried
                if (source, target) == (link.source, link.target)
            )
            / link.bytes_per_second
            for link in self.traffic.statement.links
        ]
        return max(peaks, default=0)

    def measure_shift_peak(self) -> float:
        """Return the largest part of a shift's cap used in a second."""
        peaks = [
            _measure_window(
                (when, 1)
                for when, *move in self.traffic.journal.moved
                if move == [shift.source, shift.target, shift.service]
                and when >= shift.started
            )
            / shift.cap
            for shift in self.traffic.statement.shifts.values()
        ]
        return max(peaks, default=0)

    def measure_recovery(self, since: float) -> float:
        """Return seconds after a time until seconds are served again."""
        by_second = self.traffic.tally.by_second
        bad = [
            second + 1 - since
            for second, (sent, answered) in by_second.items()
            if second >= since and answered < sent * _RECOVERED
        ]
        return max(bad, default=0)

    def _count_free(self) -> dict[tuple[str, str], tuple[int, int]]:
        """Return free and all slots by region and service."""
        counts: dict[tuple[str, str], tuple[int, int]] = {}
        places = self.traffic.statement.places
        for server in self.traffic.servers.values():
            if not server.up:
                continue
            slots = server.upstream.slots
            key = (
                places.find_region(server.upstream.domain),
                server.upstream.service,
            )
            free, total = counts.get(key, (0, 0))
            counts[key] = (free + slots - server.used, total + slots)
            self.overfull = max(self.overfull, server.used - slots)
        return counts


def _measure_window(entries: Iterable[tuple[float, int]]) -> float:
    """Return the largest sum within any second."""
    recent: deque[tuple[float, int]] = deque()
    most, total = 0, 0
    for when, size in entries:
        recent.append((when, size))
        total += size
        while recent[0][0] <= when - 1:
            total -= recent.popleft()[1]
        most = max(most, total)
    return most
