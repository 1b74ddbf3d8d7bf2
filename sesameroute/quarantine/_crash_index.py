"""Which requests were lost together when a backend server ended."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterator, Mapping
from typing import Final

from sesameroute.quarantine._suspect import TOGETHER_SECONDS, Loss, Suspect

__all__ = ['EPSILON', 'CrashIndex']

# Scores that differ by less are equal.
EPSILON: Final = 1e-6
# Part of a crash that is laid to a request if another one whose score is not
# much higher was lost in it. More such requests share no further: each may be
# harmful.
_SHARED: Final = 0.5
_CLOSE_SCORES: Final = 0.5
# Servers that end together have one cause, if they are at least so many besides
# those that the request ran on.
_MIN_TOGETHER: Final = 3
# Ends that are kept, the latest ones.
_MAX_ENDS: Final = 512


class CrashIndex:
    """Finds the suspects that were lost with the same backend servers.

    Parameters
    ----------
    suspects : mapping of str to Suspect
        All suspects by fingerprint.
    lowest_score : float
        Score from which a request explains the crashes that it was lost in.

    """

    def __init__(
        self, suspects: Mapping[str, Suspect], lowest_score: float
    ) -> None:
        """Store the suspects, of which none has losses yet."""
        self.suspects = suspects
        self.lowest_score = lowest_score - EPSILON
        self._ended_at: OrderedDict[str, float] = OrderedDict()
        self._lost_on: defaultdict[str, set[str]] = defaultdict(set)

    def add(self, fingerprint: str, loss: Loss) -> None:
        """Note a loss under a request."""
        self._lost_on[loss.upstream].add(fingerprint)
        self._ended_at[loss.upstream] = loss.lost_at
        self._ended_at.move_to_end(loss.upstream)
        if len(self._ended_at) > _MAX_ENDS:
            self._ended_at.popitem(last=False)

    def remove(self, fingerprint: str, suspect: Suspect) -> None:
        """Forget the losses under a request."""
        for loss in suspect.losses:
            lost_there = self._lost_on.get(loss.upstream, set())
            lost_there.discard(fingerprint)
            if not lost_there:
                self._lost_on.pop(loss.upstream, None)

    def compute_share(self, fingerprint: str, loss: Loss) -> float:
        """Return which part of a crash is laid to a request, from 0 to 1.

        It is laid to the request with the highest score in it; the others
        were there when the server ended. One of several crashes at the same
        moment that no request explains is laid to none.
        """
        if self._count_together(fingerprint, loss) >= _MIN_TOGETHER:
            return 0
        rivals = self._iterate_rivals(fingerprint, loss)
        highest = max((each.score for each in rivals), default=-1)
        lead = self.suspects[fingerprint].score - highest
        if lead > EPSILON:
            return 1
        return _SHARED if lead > -_CLOSE_SCORES else 0

    def is_explained(self, upstream: str, besides: str = '') -> bool:
        """Whether a server likely ended by a request other than `besides`."""
        others = self._lost_on.get(upstream, set()) - {besides}
        return any(
            self.suspects[each].score >= self.lowest_score for each in others
        )

    def _count_together(self, fingerprint: str, loss: Loss) -> int:
        """Count the servers that ended at the same moment without reason."""
        own = {each.upstream for each in self.suspects[fingerprint].losses}
        return sum(
            abs(ended_at - loss.lost_at) < TOGETHER_SECONDS
            and upstream not in own
            and not self.is_explained(upstream)
            for upstream, ended_at in self._ended_at.items()
        )

    def _iterate_rivals(
        self, fingerprint: str, loss: Loss
    ) -> Iterator[Suspect]:
        others = self._lost_on.get(loss.upstream, set()) - {fingerprint}
        for each in others:
            suspect = self.suspects[each]
            if any(loss.is_same_crash(other) for other in suspect.losses):
                yield suspect
