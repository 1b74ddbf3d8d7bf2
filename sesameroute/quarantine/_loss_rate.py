"""How often backend servers are lost while they run any request."""

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Final, NamedTuple

from sesameroute.ports import Clock

__all__ = ['LossRate']

# Span that the rate is taken over. Short, since it must follow the first
# servers of a service that fails under its load.
_WINDOW_SECONDS: Final = 1.0
_BUCKETS: Final = 4  # in the window, for counting answers
_MAX_LOSSES: Final = 512  # the latest ones count
# Requests and losses that are assumed in advance. Their ratio is the rate
# without observations, and the lowest one.
_PRIOR_REQUESTS: Final = 30
_PRIOR_LOSSES: Final = 0.5
# Share of its runs under which a harmful request ends its backend server.
_HARMFUL_RATE: Final = 0.6


class _Loss(NamedTuple):
    lost_at: float
    fingerprint: str
    server: tuple[str, int]


class LossRate:
    """Share of a service's requests under which servers were lost lately.

    A loss says much against its request while losses are rare, and nothing
    while servers are lost under most requests.

    Parameters
    ----------
    clock : Clock
        Source of time.

    """

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self.clock = clock
        self._losses: deque[_Loss] = deque(maxlen=_MAX_LOSSES)
        self._answers: Counter[int] = Counter()
        self._peer_answers: dict[str, tuple[float, int]] = {}

    def observe_answer(self) -> None:
        """Count a request that was answered on this VM."""
        bucket = self._compute_bucket()
        if bucket not in self._answers:
            outdated = [
                each for each in self._answers if each < bucket - _BUCKETS
            ]
            for each in outdated:
                self._answers.pop(each)
        self._answers[bucket] += 1

    def observe_loss(self, fingerprint: str, server: tuple[str, int]) -> None:
        """Count a request that a server was lost under, on any VM."""
        now = self.clock.read_monotonic()
        self._losses.append(_Loss(now, fingerprint, server))

    def observe_peer_answers(self, vm: str, count: int) -> None:
        """Note how many requests a VM that reports a loss saw answered."""
        self._peer_answers[vm] = self.clock.read_monotonic(), count

    def count_own_answers(self) -> int:
        """Return how many requests were answered on this VM lately."""
        oldest = self._compute_bucket() - _BUCKETS
        return sum(
            count for bucket, count in self._answers.items() if bucket >= oldest
        )

    def compute_weight(
        self, fingerprint: str, is_explained: Callable[[str, str], bool]
    ) -> float:
        """Return the evidence of one loss under a request, from 0 to 1.

        Parameters
        ----------
        fingerprint : str
            The request; its own losses are left out of the rate.
        is_explained : callable
            Gets the name of a server and the request; whether the server
            likely ended by another one. Losses on it are left out, too.

        """
        lost = self._count_losses(fingerprint, is_explained)
        ran = lost + self.count_own_answers() + self._count_peer_answers()
        rate = (lost + _PRIOR_LOSSES) / (ran + _PRIOR_REQUESTS)
        lowest = _PRIOR_LOSSES / _PRIOR_REQUESTS
        likelihood_ratio = _HARMFUL_RATE / max(rate, lowest)
        return max(math.log(likelihood_ratio, _HARMFUL_RATE / lowest), 0)

    def _count_losses(
        self, fingerprint: str, is_explained: Callable[[str, str], bool]
    ) -> int:
        oldest = self._compute_oldest()
        lost = Counter(
            each.server[0]
            for each in self._losses
            if each.lost_at >= oldest and each.fingerprint != fingerprint
        )
        return sum(
            count
            for name, count in lost.items()
            if not is_explained(name, fingerprint)
        )

    def _count_peer_answers(self) -> int:
        oldest = self._compute_oldest()
        return sum(
            count
            for reported_at, count in self._peer_answers.values()
            if reported_at >= oldest
        )

    def _compute_bucket(self) -> int:
        now = self.clock.read_monotonic()
        return int(now * _BUCKETS / _WINDOW_SECONDS)

    def _compute_oldest(self) -> float:
        return self.clock.read_monotonic() - _WINDOW_SECONDS
