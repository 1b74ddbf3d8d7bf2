"""What speaks against one request, and for it."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

__all__ = ['Loss', 'Suspect']

# Losses of one backend server within this time are one crash.
_SAME_CRASH_SECONDS: Final = 1.0
# What an answer says for a request, in losses: the logarithm of the likelihood
# ratio of an answer, in units of that of a loss (see `LossRate`).
_ANSWER_CREDIT: Final = 1 / 4
# Losses that are kept of one request; the oldest are forgotten first.
_MAX_LOSSES: Final = 32


class Loss(NamedTuple):
    """A backend server that was lost under a request.

    Attributes
    ----------
    upstream : str
        Name of the backend server.
    lost_at : float
        Monotonic time in seconds.
    known_losses : int
        Number of losses of the request that the sending VM knew of when it
        sent it; equal for copies that ran side by side.
    weight : float
        Evidence against the request, from 0 to 1.

    """

    upstream: str
    lost_at: float
    known_losses: int
    weight: float

    def is_same_crash(self, other: 'Loss') -> bool:
        """Whether both requests were lost when the server ended once."""
        return (
            self.upstream == other.upstream
            and abs(self.lost_at - other.lost_at) < _SAME_CRASH_SECONDS
        )


@dataclass(slots=True, eq=False)
class Suspect:
    """A request during which backend servers were lost.

    Attributes
    ----------
    reporter : str
        Name of the VM that grants its trials: the first by name of those that
        have seen a loss.
    last_loss : float
        Monotonic time in seconds of the last loss.
    losses : list of Loss
        The losses, one for each crash.
    credit : float
        What answers say for it, in losses; at most what its losses say
        against it.
    answered_by : set of str
        Names of the backend servers that have answered it since the last loss
        in `losses`, without those lost again meanwhile.
    trial_until : float
        Monotonic time in seconds until which a trial is running.

    """

    reporter: str
    last_loss: float
    losses: list[Loss] = field(default_factory=list)
    credit: float = 0
    answered_by: set[str] = field(default_factory=set)
    trial_until: float = 0

    @property
    def weights(self) -> dict[int, float]:
        """Evidence by the number of losses known when the request was sent.

        Copies that ran side by side may all have been lost for one reason
        that is not theirs, so they count as one.
        """
        weights: dict[int, float] = {}
        for each in self.losses:
            heaviest = max(weights.get(each.known_losses, 0), each.weight)
            weights[each.known_losses] = heaviest
        return weights

    @property
    def score(self) -> float:
        """Evidence against the request, in losses."""
        return sum(self.weights.values()) - self.credit

    @property
    def known_losses(self) -> int:
        """Number of losses known here that followed one another."""
        return max((each.known_losses for each in self.losses), default=-1) + 1

    def observe_loss(self, loss: Loss) -> str:
        """Add a loss.

        Returns
        -------
        str
            'counted', or why it does not count against the request: 'known'
            (so is the crash), 'same-server' (the server is the likelier cause;
            the loss is not added) or 'side-by-side' (a copy counts already).

        """
        self.last_loss = max(self.last_loss, loss.lost_at)
        if any(loss.is_same_crash(each) for each in self.losses):
            return 'known'
        if self._suspects_server(loss.upstream):
            self.answered_by.discard(loss.upstream)
            return 'same-server'
        is_next = loss.known_losses not in self.weights
        self.losses.append(loss)
        self.answered_by.clear()
        self.trial_until = 0
        if len(self.losses) > _MAX_LOSSES:
            self._forget_oldest()
        return 'counted' if is_next else 'side-by-side'

    def observe_answer(self, upstream: str) -> None:
        """Count an answer of a backend server in favour of the request."""
        self.raise_credit(self.credit + _ANSWER_CREDIT)
        self.answered_by.add(upstream)
        self.trial_until = 0

    def raise_credit(self, credit: float) -> None:
        """Raise the credit, but not beyond the evidence of the losses."""
        highest = sum(self.weights.values())
        self.credit = min(max(credit, self.credit), highest)

    def _suspects_server(self, upstream: str) -> bool:
        """Whether a server that is lost again is the likelier cause.

        It is if other servers have answered the request meanwhile.
        """
        return bool(self.answered_by - {upstream}) and any(
            each.upstream == upstream for each in self.losses
        )

    def _forget_oldest(self) -> None:
        before = sum(self.weights.values())
        self.losses.pop(0)
        forgotten = before - sum(self.weights.values())
        self.credit = max(self.credit - forgotten, 0)
