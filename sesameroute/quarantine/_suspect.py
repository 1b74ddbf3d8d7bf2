"""What speaks against one request, and for it."""

from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final, NamedTuple

__all__ = ['TOGETHER_SECONDS', 'Loss', 'Suspect']

# Losses of one backend server within this time are one crash, if it has no
# incarnation.
_SAME_CRASH_SECONDS: Final = 1.0
# Backend servers that end so close together may have one cause.
TOGETHER_SECONDS: Final = 0.15
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
        Monotonic time in seconds by which the server had ended.
    earliest : float
        Earliest time at which it can have ended; before `lost_at` if the end
        was found later.
    known_losses : int
        Number of separate losses of the request that the sending VM knew of
        when it sent it.
    weight : float
        Evidence against the request, from 0 to 1.
    incarnation : int
        Incarnation of the server, which ends once; 0 if it has none.

    """

    upstream: str
    lost_at: float
    earliest: float
    known_losses: int
    weight: float
    incarnation: int = 0

    def follows(self, earlier: 'Loss') -> bool:
        """Whether this loss is evidence besides an earlier one.

        It is if the request was sent with that one known, or if the servers
        ended at different moments: then they have not one cause.
        """
        return (
            self.known_losses > earlier.known_losses
            or self.earliest >= earlier.lost_at + TOGETHER_SECONDS
        )

    def is_same_crash(self, other: 'Loss') -> bool:
        """Whether both requests were lost when the server ended once.

        The time says little if a VM has heard of the loss late.
        """
        if self.upstream != other.upstream:
            return False
        if self.incarnation and other.incarnation:
            return self.incarnation == other.incarnation
        return abs(self.lost_at - other.lost_at) < _SAME_CRASH_SECONDS


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
    is_quarantined : bool
        Whether it was in quarantine when that was last asked.
    groups_ : tuple of tuple of Loss
        The losses, those together that may have one cause.
    evidence_ : float
        What the losses say against it. A group weighs as its heaviest loss.

    """

    reporter: str
    last_loss: float
    losses: list[Loss] = field(default_factory=list)
    credit: float = 0
    answered_by: set[str] = field(default_factory=set)
    trial_until: float = 0
    is_quarantined: bool = False
    groups_: tuple[tuple[Loss, ...], ...] = ()
    evidence_: float = 0

    @property
    def score(self) -> float:
        """Evidence against the request, in losses."""
        return self.evidence_ - self.credit

    def observe_loss(self, loss: Loss) -> str:
        """Add a loss.

        Returns
        -------
        str
            'counted', or why it does not count against the request: 'known'
            (so is the crash), 'same-server' (the server is the likelier cause;
            the loss is not added) or 'side-by-side' (another server that may
            have ended at the same moment counts already).

        """
        self.last_loss = max(self.last_loss, loss.lost_at)
        if any(loss.is_same_crash(each) for each in self.losses):
            return 'known'
        if self._suspects_server(loss.upstream):
            self.answered_by.discard(loss.upstream)
            return 'same-server'
        count = len(self.groups_)
        self.losses.append(loss)
        self._group_losses()
        is_separate = len(self.groups_) > count
        self.answered_by.clear()
        self.trial_until = 0
        if len(self.losses) > _MAX_LOSSES:
            self._forget_oldest()
        return 'counted' if is_separate else 'side-by-side'

    def observe_answer(self, upstream: str) -> None:
        """Count an answer of a backend server in favour of the request."""
        self.raise_credit(self.credit + _ANSWER_CREDIT)
        self.answered_by.add(upstream)
        self.trial_until = 0

    def raise_credit(self, credit: float) -> None:
        """Raise the credit, but not beyond the evidence of the losses."""
        self.credit = min(max(credit, self.credit), self.evidence_)

    def _suspects_server(self, upstream: str) -> bool:
        """Whether a server that is lost again is the likelier cause.

        It is if other servers have answered the request meanwhile.
        """
        return bool(self.answered_by - {upstream}) and any(
            each.upstream == upstream for each in self.losses
        )

    def _forget_oldest(self) -> None:
        before = self.evidence_
        self.losses.pop(0)
        self._group_losses()
        self.credit = max(self.credit - (before - self.evidence_), 0)

    def _group_losses(self) -> None:
        """Put losses together that may have one cause.

        A zone or a release may end several servers at about the same moment,
        all of which run copies of the request.
        """
        groups: list[list[Loss]] = []
        for loss in sorted(self.losses, key=attrgetter('lost_at')):
            if groups and not loss.follows(groups[-1][0]):
                groups[-1].append(loss)
            else:
                groups.append([loss])
        self.groups_ = tuple(map(tuple, groups))
        self.evidence_ = sum(
            max(each.weight for each in group) for group in groups
        )
