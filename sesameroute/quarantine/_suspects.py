"""Table of requests suspected of crashing backend servers."""

import math
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

from sesameroute.ports import Clock
from sesameroute.quarantine._crash_index import EPSILON, CrashIndex
from sesameroute.quarantine._messages import LossReport, PastLoss
from sesameroute.quarantine._suspect import Loss, Suspect

__all__ = ['SuspectList']

# How long a request stays suspected, and then quarantined, after its last
# loss. Each loss after a quarantine doubles the next one.
_SUSPICION_SECONDS: Final = 60.0
# How long a request that was quarantined is remembered, and the longest
# quarantine.
_MEMORY_SECONDS: Final = 600.0
_MAX_DOUBLINGS: Final = 4
# Part of the score for quarantine from which a request runs as a trial.
_TRIAL_SCORE_FRACTION: Final = 0.5
# Part of it below which a quarantine ends early. Hysteresis keeps it from
# ending when a crash is laid to another request for a moment.
_RELEASE_SCORE_FRACTION: Final = 0.8
# Results of a loss that was added to its suspect.
_ADDED: Final = ('counted', 'side-by-side')
# Capacity of the table; a full table takes a few MB. The request with the
# oldest loss is forgotten first.
_MAX_FINGERPRINTS: Final = 4096


class SuspectList:
    """Bounded table of suspected requests; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_losses : int
        Score, in losses, at which a request is quarantined.

    Attributes
    ----------
    suspects_ : OrderedDict of str to Suspect
        Suspected requests by fingerprint, the oldest loss first.
    crashes_ : CrashIndex
        Which of them were lost together.

    """

    def __init__(self, clock: Clock, max_losses: int) -> None:
        """Start with an empty table."""
        self.clock = clock
        self.max_losses = max_losses
        self.suspects_: OrderedDict[str, Suspect] = OrderedDict()
        self.crashes_ = CrashIndex(self.suspects_, max_losses - 1)

    def find(self, fingerprint: str) -> Suspect | None:
        """Return the suspect, or None if there is none or it has expired."""
        suspect = self.suspects_.get(fingerprint)
        if suspect and self.compute_remaining_seconds(suspect) <= 0:
            self.drop(fingerprint)
            return None
        return suspect

    def compute_remaining_seconds(self, suspect: Suspect) -> float:
        """Return the seconds until the suspect is forgotten."""
        age = self.clock.read_monotonic() - suspect.last_loss
        if suspect.score < self.max_losses - EPSILON:
            return _SUSPICION_SECONDS - age
        return _MEMORY_SECONDS - age

    def compute_score(self, fingerprint: str) -> float:
        """Return the evidence against a request, in losses.

        Crashes that are laid to other requests don't count.
        """
        suspect = self.find(fingerprint)
        if suspect is None:
            return 0
        evidence = sum(
            max(
                loss.weight * self.crashes_.compute_share(fingerprint, loss)
                for loss in group
            )
            for group in suspect.groups_
        )
        return evidence - suspect.credit

    def compute_quarantine_seconds(self, fingerprint: str) -> float:
        """Return the seconds until a request may be sent; 0 if it may now."""
        suspect = self.find(fingerprint)
        lowest = self.max_losses - EPSILON
        if suspect is None or suspect.score < lowest:
            return 0
        score = self.compute_score(fingerprint)
        if suspect.is_quarantined:
            lowest *= _RELEASE_SCORE_FRACTION
        suspect.is_quarantined = score >= lowest
        if not suspect.is_quarantined:
            return 0
        excess = max(score - self.max_losses + EPSILON, 0)
        age = self.clock.read_monotonic() - suspect.last_loss
        seconds = _SUSPICION_SECONDS * 2 ** min(int(excess), _MAX_DOUBLINGS)
        return max(min(seconds, _MEMORY_SECONDS) - age, 0)

    def needs_trial(self, fingerprint: str) -> bool:
        """Whether a request may run only once at a time."""
        suspect = self.find(fingerprint)
        lowest = self.max_losses * _TRIAL_SCORE_FRACTION - EPSILON
        return (
            suspect is not None
            and suspect.score >= lowest
            and self.compute_score(fingerprint) >= lowest
        )

    def record_loss(self, report: LossReport, reporter: str) -> str:
        """Add a loss to the table.

        Returns
        -------
        str
            'counted', or why the loss does not count against the request:
            'known', 'same-server' or 'side-by-side'.

        """
        lost_at = self.clock.read_monotonic() - max(report.seconds_ago, 0)
        earliest = lost_at - max(report.uncertainty, 0)
        fingerprint = report.fingerprint
        suspect = self.find(fingerprint) or Suspect(reporter, lost_at)
        known_losses = report.known_losses
        if known_losses < 0:
            known_losses = len(suspect.groups_)
        result = suspect.observe_loss(
            Loss(
                report.upstream,
                lost_at,
                earliest,
                known_losses,
                report.weight,
                report.incarnation,
            )
        )
        suspect.reporter = min(suspect.reporter, reporter)
        suspect.raise_credit(report.credit)
        if result in _ADDED:
            self._keep(fingerprint, suspect)
        return result

    def record_answer(self, fingerprint: str, upstream: str) -> bool:
        """Count an answer; return whether the request was suspected.

        A request that is answered after its quarantine is forgiven. Its losses
        stay in the table, so that peers that repeat them don't revive them.
        """
        suspect = self.find(fingerprint)
        if suspect is None:
            return False
        was_quarantined = suspect.score >= self.max_losses - EPSILON
        is_over = not self.compute_quarantine_seconds(fingerprint)
        was_suspected = suspect.score > EPSILON
        suspect.observe_answer(upstream)
        if was_quarantined and is_over:
            suspect.raise_credit(math.inf)
        return was_suspected

    def list_active(self) -> list[tuple[str, Suspect]]:
        """Return requests with losses by fingerprint, highest score first."""
        active = [
            (fingerprint, suspect)
            for fingerprint, suspect in self.suspects_.items()
            if self.compute_remaining_seconds(suspect) > 0
        ]
        return sorted(
            active,
            key=lambda item: (item[1].score, item[1].last_loss),
            reverse=True,
        )

    def iterate_losses(self) -> Iterator[PastLoss]:
        """Yield all losses, those of the most suspect request first."""
        now = self.clock.read_monotonic()
        for fingerprint, suspect in self.list_active():
            for loss in suspect.losses:
                yield PastLoss(
                    fingerprint,
                    loss.upstream,
                    suspect.reporter,
                    now - loss.lost_at,
                    loss.lost_at - loss.earliest,
                    loss.known_losses,
                    loss.weight,
                    suspect.credit,
                    loss.incarnation,
                )

    def drop(self, fingerprint: str) -> None:
        """Remove a suspect."""
        suspect = self.suspects_.pop(fingerprint)
        self.crashes_.remove(fingerprint, suspect)

    def _keep(self, fingerprint: str, suspect: Suspect) -> None:
        """Store a suspect as the one with the latest loss."""
        self.suspects_[fingerprint] = suspect
        self.suspects_.move_to_end(fingerprint)
        self.crashes_.add(fingerprint, suspect.losses[-1])
        if len(self.suspects_) > _MAX_FINGERPRINTS:
            self.drop(next(iter(self.suspects_)))
