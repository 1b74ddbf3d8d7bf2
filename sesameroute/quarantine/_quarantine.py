"""Quarantine of requests that crash the backend servers that run them."""

import logging
import threading
from collections.abc import Callable
from itertools import islice
from typing import Final

from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import Clock, Peers
from sesameroute.quarantine._messages import (
    ClearanceReport,
    LossReport,
    PastLoss,
    TrialReply,
    TrialRequest,
)
from sesameroute.quarantine._suspects import SuspectList
from sesameroute.verdict import Verdict

__all__ = ['Quarantine']

_LOG = logging.getLogger(__name__)
_TRIAL_SECONDS: Final = 5.0  # during which no second trial is granted
_TRIAL_REPLY_TIMEOUT_SECONDS: Final = 0.3
_MAX_LOSSES: Final = 2


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
        Number of losses at which a request is quarantined.

    Attributes
    ----------
    observer_ : callable
        Called with the result of each loss that is reported: 'counted' or why
        not.

    Notes
    -----
    After its first loss a request is suspected: the VM that saw this loss
    grants trials, one attempt at a time for all entry VMs together. At
    `max_losses` the request is quarantined. Both states expire some time
    after the last loss. A request that was quarantined is remembered for
    longer: then a single loss puts it back, for twice as long.

    Losses of a request that was answered recently aren't counted, because
    such a request doesn't crash backend servers. Otherwise the loss of a
    region would quarantine the most common reads on all entry VMs.

    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        peers: Peers,
        max_losses: int = _MAX_LOSSES,
    ) -> None:
        """Store the parameters and start without suspects."""
        self.vm = vm
        self.clock = clock
        self.peers = peers
        self.suspects_ = SuspectList(clock, max_losses)
        self.observer_: Callable[[str], None] = _discard_result
        self._lock = threading.Lock()

    def check(self, fingerprint: str) -> None:
        """Refuse a quarantined request.

        Raises
        ------
        RequestError
            The request is quarantined; verdict `NOT_RUN`.

        """
        with self._lock:
            remaining = self.suspects_.compute_quarantine_seconds(fingerprint)
        if remaining > 0:
            raise RequestError(
                'backend servers were lost while they ran this request',
                Verdict.NOT_RUN,
                'quarantined',
                remaining,
            )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not be sent."""
        with self._lock:
            return self.suspects_.compute_quarantine_seconds(fingerprint) > 0

    def check_attempt(self, fingerprint: str) -> None:
        """Refuse a quarantined request, and a suspected one without a trial.

        Raises
        ------
        RequestError
            The request is quarantined, or it is suspected and no trial was
            granted; verdict `NOT_RUN`.

        """
        self.check(fingerprint)
        with self._lock:
            suspect = self.suspects_.find(fingerprint)
        if suspect is None:
            return
        if suspect.reporter == self.vm:
            is_granted = self.grant_trial(TrialRequest(fingerprint)).allowed
        else:
            is_granted = _call_for_trial(
                self.peers, suspect.reporter, fingerprint
            )
        if not is_granted:
            raise RequestError(
                'a backend server was lost while it ran this request',
                Verdict.NOT_RUN,
                'suspected',
                _TRIAL_SECONDS,
            )

    def grant_trial(self, trial_request: TrialRequest) -> TrialReply:
        """Grant a trial unless another is running or losses are too many."""
        now = self.clock.read_monotonic()
        with self._lock:
            suspect = self.suspects_.find(trial_request.fingerprint)
            if suspect is None:
                return TrialReply(allowed=True)
            if (
                self.suspects_.compute_quarantine_seconds(
                    trial_request.fingerprint
                )
                > 0
                or suspect.trial_until > now
            ):
                return TrialReply(allowed=False)
            suspect.trial_until = now + _TRIAL_SECONDS
        return TrialReply(allowed=True)

    def observe_answer(self, fingerprint: str) -> None:
        """Clear a request that a backend server answered on this VM."""
        with self._lock:
            was_suspected = self.suspects_.record_answer(fingerprint)
        if was_suspected:
            _log_clearance(fingerprint, self.vm)
            _broadcast(self.peers, self.vm, ClearanceReport(fingerprint))

    def observe_loss(self, fingerprint: str, upstream: str) -> None:
        """Count a loss seen by this VM and report it to all peers."""
        report = LossReport(fingerprint, upstream)
        if self._count_loss(report, self.vm, 0):
            _broadcast(self.peers, self.vm, report)

    def handle_loss_report(
        self,
        report: LossReport,
        sender: str,
        reporter: str = '',
        seconds_ago: float = 0,
    ) -> None:
        """Count a loss, or answer that the request was answered here.

        Parameters
        ----------
        report : LossReport
            The request and the lost backend server.
        sender : str
            Name of the VM that sent the report.
        reporter : str, optional
            Name of the VM that saw the first loss; by default the sender.
        seconds_ago : float, optional
            Age of the loss.

        """
        if not self._count_loss(report, reporter or sender, seconds_ago):
            self.peers.send_one_way(sender, ClearanceReport(report.fingerprint))

    def handle_clearance(self, clearance: ClearanceReport, sender: str) -> None:
        """Withdraw the suspicion of a request that a peer saw answered."""
        with self._lock:
            was_suspected = self.suspects_.drop(clearance.fingerprint)
        if was_suspected:
            _log_clearance(clearance.fingerprint, sender)

    def count_suspects(self) -> tuple[int, int]:
        """Return the numbers of suspected and of quarantined requests."""
        with self._lock:
            remaining = [
                self.suspects_.compute_quarantine_seconds(fingerprint)
                for fingerprint, _ in self.suspects_.list_active()
            ]
        quarantined = sum(seconds > 0 for seconds in remaining)
        return len(remaining) - quarantined, quarantined

    def list_losses(self, limit: int) -> tuple[PastLoss, ...]:
        """Return losses of suspected requests, at most `limit` of them."""
        with self._lock:
            return tuple(islice(self.suspects_.iterate_losses(), limit))

    def _count_loss(
        self, report: LossReport, reporter: str, seconds_ago: float
    ) -> bool:
        """Count a loss; return False if the request was answered recently."""
        fingerprint = report.fingerprint
        with self._lock:
            before = self.suspects_.count_losses(fingerprint)
            is_counted = self.suspects_.record_loss(
                report, reporter, seconds_ago
            )
            losses = self.suspects_.count_losses(fingerprint)
        self.observer_('counted' if is_counted else 'answered-before')
        if losses > before or not is_counted:
            _LOG.warning(
                'upstream-lost' if is_counted else 'loss not counted',
                extra={
                    'fingerprint': fingerprint,
                    'upstream': report.upstream,
                    'reporter': reporter,
                    'losses': losses,
                },
            )
        return is_counted


def _discard_result(_result: str) -> None:
    """Discard the result; the default observer."""


def _log_clearance(fingerprint: str, answered_on: str) -> None:
    _LOG.info(
        'suspicion withdrawn',
        extra={'fingerprint': fingerprint, 'answered_on': answered_on},
    )


def _broadcast(
    peers: Peers, vm: str, message: LossReport | ClearanceReport
) -> None:
    for peer in peers.list_connected():
        if peer != vm:
            peers.send_one_way(peer, message)


def _call_for_trial(peers: Peers, reporter: str, fingerprint: str) -> bool:
    """Ask the VM that saw the first loss; without an answer, no trial."""
    try:
        reply = peers.call(
            reporter, TrialRequest(fingerprint), _TRIAL_REPLY_TIMEOUT_SECONDS
        )
    except PeerError as error:
        _LOG.info(
            'trial not granted',
            extra={'reporter': reporter, 'why': error.code},
        )
        return False
    return reply.allowed
