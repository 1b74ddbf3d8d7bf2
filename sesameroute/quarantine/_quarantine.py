"""Quarantine of requests that crash the backend servers that run them."""

import logging
import threading
from typing import Final

from sesameroute.exceptions import PeerError, RequestError
from sesameroute.ports import Clock, Peers
from sesameroute.quarantine._messages import (
    Acquittal,
    LossReport,
    TrialAsk,
    TrialReply,
)
from sesameroute.quarantine._suspects import SuspectList
from sesameroute.verdict import Verdict

__all__ = ['Quarantine']

_LOG = logging.getLogger(__name__)
_TRIAL_SECONDS: Final = 5.0  # for which a trial keeps others out
_ASK_SECONDS: Final = 0.3
_MOST_LOSSES: Final = 2


class Quarantine:
    """Refuses requests that were lost with some backend servers.

    Parameters
    ----------
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.
    peers : Peers
        Told of each loss, so that all entry VMs refuse together.
    most_losses : int, optional
        Backend servers lost to a request that put it into quarantine.

    Notes
    -----
    After the first loss a request is suspected, and the VM that saw the
    loss grants one trial at a time to the whole fleet. The last loss puts
    it into quarantine. A request that was answered a short time ago doesn't
    crash its servers: its losses aren't counted, else the loss of a region
    would make the most common reads refused everywhere.

    """

    def __init__(
        self,
        vm: str,
        clock: Clock,
        peers: Peers,
        most_losses: int = _MOST_LOSSES,
    ) -> None:
        """Store the parameters; nothing is suspected yet."""
        self.vm = vm
        self.clock = clock
        self.peers = peers
        self.most_losses = most_losses
        self.suspects_ = SuspectList(clock)
        self._lock = threading.Lock()

    def check(self, fingerprint: str) -> None:
        """Raise RequestError, `NOT_RUN`, if the request is quarantined."""
        with self._lock:
            suspect = self.suspects_.find(fingerprint)
        if suspect and suspect.losses >= self.most_losses:
            raise RequestError(
                'backend servers were lost while they ran this request',
                Verdict.NOT_RUN,
                'quarantined',
                self.suspects_.count_seconds(suspect),
            )

    def begin(self, fingerprint: str) -> None:
        """Raise RequestError, `NOT_RUN`, unless a try may start now."""
        self.check(fingerprint)
        with self._lock:
            suspect = self.suspects_.find(fingerprint)
        if suspect and not self._is_allowed(suspect.judge, fingerprint):
            raise RequestError(
                'a backend server was lost while it ran this request',
                Verdict.NOT_RUN,
                'suspected',
                _TRIAL_SECONDS,
            )

    def grant(self, ask: TrialAsk) -> TrialReply:
        """Grant one trial at a time of a request whose loss was seen here."""
        now = self.clock.read_monotonic()
        with self._lock:
            suspect = self.suspects_.find(ask.fingerprint)
            if suspect is None:
                return TrialReply(allowed=True)
            if suspect.losses >= self.most_losses or suspect.trial > now:
                return TrialReply(allowed=False)
            suspect.trial = now + _TRIAL_SECONDS
        return TrialReply(allowed=True)

    def observe_answer(self, fingerprint: str) -> None:
        """Note that a backend server survived the request."""
        with self._lock:
            cleared = self.suspects_.clear(fingerprint)
        if cleared:
            self._tell(Acquittal(fingerprint))

    def observe_loss(self, fingerprint: str, upstream: str) -> None:
        """Note a loss of this VM's own and report it to all peers."""
        report = LossReport(fingerprint, upstream)
        if self.merge(report, self.vm):
            _LOG.warning(
                'upstream-lost',
                extra={'fingerprint': fingerprint, 'upstream': upstream},
            )
            self._tell(report)

    def merge(self, report: LossReport, judge: str) -> bool:
        """Count a loss; return False if the request is known to be good.

        Parameters
        ----------
        judge : str
            Name of the VM that saw the loss.

        """
        with self._lock:
            return self.suspects_.add(report, judge)

    def hear(self, report: LossReport, sender: str) -> None:
        """Count another VM's loss, or tell it that the request is good."""
        if not self.merge(report, sender):
            self.peers.cast(sender, Acquittal(report.fingerprint))

    def acquit(self, acquittal: Acquittal) -> None:
        """Clear a request that another VM saw answered."""
        with self._lock:
            self.suspects_.drop(acquittal.fingerprint)

    def _is_allowed(self, judge: str, fingerprint: str) -> bool:
        ask = TrialAsk(fingerprint)
        if judge == self.vm:
            return self.grant(ask).allowed
        try:
            return self.peers.call(judge, ask, _ASK_SECONDS).allowed
        except PeerError:
            return False

    def _tell(self, message: LossReport | Acquittal) -> None:
        for vm in self.peers.list_connected():
            if vm != self.vm:
                self.peers.cast(vm, message)
