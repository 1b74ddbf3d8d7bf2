"""What a run of the steering benchmark keeps."""

from collections import Counter, deque
from dataclasses import dataclass, field

from sesameroute.statement import Kind, Upstream

__all__ = ['Call', 'Journal', 'Server', 'Tally']

_MILLISECONDS = 1000  # in a second
_COLD_FACTOR = 3  # how much slower a cold backend server is
_COLD_REQUESTS = 40  # answers after which a backend server is warm


@dataclass
class Server:
    """A backend server: slots, cold start, shedding."""

    upstream: Upstream
    up: bool = True
    used: int = 0
    served: int = _COLD_REQUESTS
    last_start: float = 0

    def measure_slowness(self) -> float:
        """Return the factor on the usual time of work."""
        missing = max(0, 1 - self.served / _COLD_REQUESTS)
        return 1 + (_COLD_FACTOR - 1) * missing


@dataclass
class Tally:
    """What came of the requests."""

    sent: float = 0
    answered: float = 0
    latencies: list[float] = field(default_factory=list)
    endings: Counter = field(default_factory=Counter)
    by_second: dict[int, list[float]] = field(default_factory=dict)

    def count_sent(self, kind: Kind, at: float) -> None:
        """Count a request of a caller."""
        self.sent += kind.weight
        self.by_second.setdefault(int(at), [0, 0])[0] += kind.weight

    def count_answer(self, kind: Kind, at: float, seconds: float) -> None:
        """Count an answer that came in time."""
        self.answered += kind.weight
        self.latencies.append(seconds)
        self.endings['answered'] += 1
        self.by_second[int(at)][1] += kind.weight

    def read_percentile(self, part: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        if not self.latencies:
            return 0
        ranked = sorted(self.latencies)
        place = min(len(ranked) - 1, int(part * len(ranked)))
        return ranked[place] * _MILLISECONDS


@dataclass
class Journal:
    """What crossed between regions and when.

    Attributes
    ----------
    moved : deque of (float, str, str, str)
        Time, region of the entry VM, of the backend server, and service.
    carried : deque of (float, str, str, int)
        Time, region of the backend server, of the entry VM, and bytes.

    """

    moved: deque = field(default_factory=deque)
    carried: deque = field(default_factory=deque)


@dataclass(frozen=True)
class Call:
    """A caller's request on its way.

    Attributes
    ----------
    group : int
        Callers of a group share a cache of look-ups.
    since : float
        When the caller sent it, in seconds.
    returns : int
        How often the caller came back after a refusal.
    tries : tuple of str
        Backend servers that it was sent to.

    """

    kind: Kind
    domain: str
    group: int
    since: float
    returns: int = 0
    tries: tuple[str, ...] = ()

    @property
    def deadline(self) -> float:
        """Time at which the caller gives up."""
        return self.since + self.kind.deadline_ms / _MILLISECONDS
