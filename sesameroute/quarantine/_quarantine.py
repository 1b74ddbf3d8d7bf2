"""Quarantine of requests that crash the backend servers that run them."""

from typing import Final

from sesameroute.exceptions import RequestError
from sesameroute.ports import Clock, Peers
from sesameroute.quarantine._crash_index import EPSILON
from sesameroute.quarantine._evidence import LossEvidence
from sesameroute.quarantine._messages import TrialReply, TrialRequest
from sesameroute.quarantine._trials import TrialPolicy, request_trial
from sesameroute.verdict import Verdict

__all__ = ['Quarantine']

_MAX_LOSSES: Final = 2
_TRIAL_POLICY: Final = TrialPolicy()


class Quarantine:
    """Refuses requests during which several backend servers were lost.

    Parameters
    ----------
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.
    peers : Peers
        Other entry VMs; each loss is reported to them, so that all of them
        refuse the request.
    max_losses : int, optional
        Score, in losses, at which a request is quarantined.
    trial_policy : TrialPolicy, optional
        How trials of suspected requests are granted.

    Attributes
    ----------
    evidence : LossEvidence
        What is known of losses under requests.

    Notes
    -----
    The score of a request is a cumulative sum of log-likelihood ratios, in
    units of one loss while losses are rare. Losses raise it and answers lower
    it, at most to zero. So a request that turns harmful is noticed however
    often it was answered before, and one that is merely there when servers
    end is not: other requests answered meanwhile and servers lost without it
    lower the weight of each loss (`LossRate`), copies that ran side by side
    count as one, and a crash is laid to the most suspect request in it
    (`SuspectList`).

    From half of `max_losses` on, requests run as trials, one at a time for all
    entry VMs together. At `max_losses` the request is quarantined. Both states
    expire some time after the last loss. A request that was quarantined is
    remembered for longer: then a single loss puts it back, for twice as long.

    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        peers: Peers,
        max_losses: int = _MAX_LOSSES,
        trial_policy: TrialPolicy = _TRIAL_POLICY,
    ) -> None:
        """Store the parameters and start without suspects."""
        self.vm = vm
        self.clock = clock
        self.peers = peers
        self.trial_policy = trial_policy
        self.evidence = LossEvidence(vm, clock, peers, max_losses)

    def check(self, fingerprint: str) -> None:
        """Refuse a quarantined request.

        Raises
        ------
        RequestError
            The request is quarantined; verdict `NOT_RUN`.

        """
        with self.evidence.lock_:
            remaining = self.evidence.suspects_.compute_quarantine_seconds(
                fingerprint
            )
        if remaining > 0:
            raise RequestError(
                'backend servers were lost while they ran this request',
                Verdict.NOT_RUN,
                'quarantined',
                remaining,
            )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not be sent."""
        with self.evidence.lock_:
            return (
                self.evidence.suspects_.compute_quarantine_seconds(fingerprint)
                > 0
            )

    def check_attempt(self, fingerprint: str) -> None:
        """Refuse a quarantined request, and a suspected one without a trial.

        Raises
        ------
        RequestError
            The request is quarantined, or it is suspected and no trial was
            granted; verdict `NOT_RUN`.

        """
        self.check(fingerprint)
        with self.evidence.lock_:
            suspect = self.evidence.suspects_.find(fingerprint)
            is_free = not self.evidence.suspects_.needs_trial(fingerprint)
        if suspect is None or is_free:
            return
        granter = suspect.reporter
        if self.trial_policy.is_granted_alone and not self._reaches(granter):
            granter = self.vm
        if granter == self.vm:
            is_granted = self.grant_trial(TrialRequest(fingerprint)).allowed
        else:
            is_granted = request_trial(self.peers, granter, fingerprint)
        if not is_granted:
            raise RequestError(
                'a backend server was lost while it ran this request',
                Verdict.NOT_RUN,
                'suspected',
                self.trial_policy.seconds,
            )

    def grant_trial(self, trial_request: TrialRequest) -> TrialReply:
        """Grant a trial unless another is running or losses are too many."""
        now = self.clock.read_monotonic()
        fingerprint = trial_request.fingerprint
        with self.evidence.lock_:
            suspect = self.evidence.suspects_.find(fingerprint)
            if suspect is None:
                return TrialReply(allowed=True)
            if (
                self.evidence.suspects_.compute_quarantine_seconds(fingerprint)
                > 0
                or suspect.trial_until > now
                or now - suspect.last_loss < self.trial_policy.pause
            ):
                return TrialReply(allowed=False)
            suspect.trial_until = now + self.trial_policy.seconds
        return TrialReply(allowed=True)

    def count_suspects(self) -> tuple[int, int]:
        """Return the numbers of suspected and of quarantined requests."""
        suspects = self.evidence.suspects_
        with self.evidence.lock_:
            remaining = [
                suspects.compute_quarantine_seconds(fingerprint)
                for fingerprint, suspect in suspects.list_active()
                if suspect.score > EPSILON
            ]
        quarantined = sum(seconds > 0 for seconds in remaining)
        return len(remaining) - quarantined, quarantined

    def _reaches(self, vm: str) -> bool:
        return vm == self.vm or vm in self.peers.list_connected()
