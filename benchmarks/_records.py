"""Servers, requests and statistics of the steering benchmark."""

from collections import Counter, deque
from dataclasses import dataclass, field

from sesameroute.statement import Kind, Upstream

__all__ = [
    'CallerRequest',
    'ForwardingLog',
    'RequestStatistics',
    'SimulatedServer',
]

_MILLISECONDS = 1000  # in a second
_COLD_SLOWDOWN = 3  # run time on a cold server, relative to a warm one
_COLD_START_REQUESTS = 40  # requests after which a backend server is warm


@dataclass
class SimulatedServer:
    """A simulated backend server with slots and a cold start.

    Attributes
    ----------
    is_up : bool
        Whether the server runs; otherwise it refuses connections.
    used_slots : int
        Requests that it runs.
    served_requests : int
        Requests that it has completed since its start.
    last_start : float
        When a request last started to run, in seconds.

    """

    upstream: Upstream
    is_up: bool = True
    used_slots: int = 0
    served_requests: int = _COLD_START_REQUESTS
    last_start: float = 0

    def measure_slowdown(self) -> float:
        """Return the run time of a request relative to a warm server."""
        cold_fraction = max(0, 1 - self.served_requests / _COLD_START_REQUESTS)
        return 1 + (_COLD_SLOWDOWN - 1) * cold_fraction


@dataclass
class RequestStatistics:
    """Statistics of request outcomes.

    Attributes
    ----------
    sent, answered : float
        Sums of the weights of the requests sent and answered in time.
    latencies : list of float
        Seconds until the caller had its answer.
    outcomes : Counter
        Number of requests by outcome.
    by_second : dict of int to list of float
        Sums of the weights sent and answered in time, by the second in
        which the caller sent the request.

    """

    sent: float = 0
    answered: float = 0
    latencies: list[float] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    by_second: dict[int, list[float]] = field(default_factory=dict)

    def count_sent(self, kind: Kind, send_time: float) -> None:
        """Count a request that a caller sends."""
        self.sent += kind.weight
        self.by_second.setdefault(int(send_time), [0, 0])[0] += kind.weight

    def count_answer(
        self, kind: Kind, send_time: float, latency: float
    ) -> None:
        """Count an answer that came in time."""
        self.answered += kind.weight
        self.latencies.append(latency)
        self.outcomes['answered'] += 1
        self.by_second[int(send_time)][1] += kind.weight

    def compute_percentile(self, fraction: float) -> float:
        """Return a percentile of the latency in milliseconds, 0 if none."""
        if not self.latencies:
            return 0
        sorted_latencies = sorted(self.latencies)
        index = min(
            len(sorted_latencies) - 1, int(fraction * len(sorted_latencies))
        )
        return sorted_latencies[index] * _MILLISECONDS


@dataclass
class ForwardingLog:
    """Requests and answers between entry VMs and backend servers.

    Attributes
    ----------
    requests : deque of (float, str, str, str)
        Time in seconds, region of the entry VM, region of the backend
        server, service.
    answers : deque of (float, str, str, int)
        Time in seconds, region of the backend server, region of the entry
        VM, bytes of the answer.

    """

    requests: deque = field(default_factory=deque)
    answers: deque = field(default_factory=deque)


@dataclass(frozen=True)
class CallerRequest:
    """A request of a caller.

    Attributes
    ----------
    kind : Kind
        Kind of the request.
    domain : str
        Failure domain of the caller.
    group : int
        Group of the caller; callers of a group share a look-up cache.
    sent_at : float
        When the caller first sent it, in seconds.
    caller_retries : int
        How often the caller has sent it again after a refusal.
    tried_servers : tuple of str
        Backend servers to which it was sent since the caller last sent it.

    """

    kind: Kind
    domain: str
    group: int
    sent_at: float
    caller_retries: int = 0
    tried_servers: tuple[str, ...] = ()

    @property
    def deadline(self) -> float:
        """When the caller stops waiting, in seconds."""
        return self.sent_at + self.kind.deadline_ms / _MILLISECONDS
