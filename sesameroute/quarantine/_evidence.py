"""What is known of losses under requests, here and on other VMs."""

import logging
import threading
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Final

from sesameroute.gossip import broadcast
from sesameroute.ports import Clock, Peers
from sesameroute.quarantine._answered import AnsweredRequests
from sesameroute.quarantine._loss_rate import LossRate
from sesameroute.quarantine._messages import (
    ClearanceReport,
    EndReport,
    LossReport,
    PastLoss,
)
from sesameroute.quarantine._suspects import SuspectList
from sesameroute.quarantine._unsettled import SentTry, UnsettledTries

__all__ = ['LossEvidence']

_LOG = logging.getLogger(__name__)
_COUNTED: Final = 'counted'


class LossEvidence:
    """Collects what speaks for and against requests, and tells peers of it.

    Parameters
    ----------
    vm : str
        Name of this VM.
    clock : Clock
        Source of time.
    peers : Peers
        Other entry VMs; each loss is reported to them.
    max_losses : int
        Score, in losses, at which a request is quarantined.

    Attributes
    ----------
    suspects_ : SuspectList
        Requests under which backend servers were lost; `lock_` guards it.
    observer_ : callable
        Called with the result of each loss that is reported: 'counted' or why
        not.

    """

    def __init__(
        self, vm: str, clock: Clock, peers: Peers, max_losses: int
    ) -> None:
        """Store the parameters and start without suspects."""
        self.vm = vm
        self.clock = clock
        self.peers = peers
        self.suspects_ = SuspectList(clock, max_losses)
        self.observer_: Callable[[str], None] = _discard_result
        self.lock_ = threading.Lock()
        self._rates: defaultdict[str, LossRate] = defaultdict(
            partial(LossRate, clock)
        )
        self._answered = AnsweredRequests(clock)
        self._unsettled = UnsettledTries(clock)

    def begin_try(
        self, fingerprint: str, service: str, server: tuple[str, int]
    ) -> SentTry:
        """Return the record of a try that is sent now.

        Parameters
        ----------
        fingerprint : str
            Digest that identifies the request.
        service : str
            Name of the service.
        server : tuple of (str, int)
            Name and incarnation of the backend server.

        """
        with self.lock_:
            suspect = self.suspects_.find(fingerprint)
            known_losses = len(suspect.groups_) if suspect else 0
        now = self.clock.read_monotonic()
        return SentTry(fingerprint, service, server, now, known_losses)

    def observe_answer(self, sent: SentTry) -> None:
        """Count an answer that a backend server gave to this VM."""
        upstream = sent.server[0]
        with self.lock_:
            self._rates[sent.service].observe_answer()
            self._answered.add(sent.fingerprint)
            was_suspected = self.suspects_.record_answer(
                sent.fingerprint, upstream
            )
        if was_suspected:
            _log_answer(sent.fingerprint, upstream, self.vm)
            broadcast(
                self.peers, self.vm, ClearanceReport(sent.fingerprint, upstream)
            )

    def observe_loss(self, sent: SentTry) -> None:
        """Count a loss seen by this VM and report it to all peers."""
        now = self.clock.read_monotonic()
        self._observe_loss(sent, now, now)
        self.settle_tries(sent.server)

    def observe_give_up(self, sent: SentTry) -> None:
        """Count a try that this VM gave up, if its server has ended.

        Otherwise it is remembered, since it may still run.
        """
        ended_at = self._unsettled.add(sent)
        if ended_at is not None:
            self._observe_loss(sent, sent.sent_at, ended_at)

    def observe_end(self, server: tuple[str, int]) -> None:
        """Count the tries that ran on a server that is found to have ended."""
        if self.settle_tries(server):
            broadcast(self.peers, self.vm, EndReport(*server))

    def handle_loss_report(self, report: LossReport, sender: str) -> None:
        """Count a loss that a peer has seen."""
        server = report.upstream, report.incarnation
        with self.lock_:
            rate = self._rates[report.service]
            rate.observe_loss(report.fingerprint, server)
            rate.observe_peer_answers(sender, report.answered)
        self._record_loss(report, sender)
        self.settle_tries(server)

    def handle_past_loss(self, past: PastLoss) -> None:
        """Count a loss that a peer repeats, unless it is known."""
        report = LossReport(
            past.fingerprint,
            past.upstream,
            incarnation=past.incarnation,
            seconds_ago=past.seconds_ago,
            uncertainty=past.uncertainty,
            known_losses=past.known_losses,
            weight=past.weight,
            credit=past.credit,
        )
        self._record_loss(report, past.reporter)

    def handle_clearance(self, clearance: ClearanceReport, sender: str) -> None:
        """Count an answer that a peer saw to a suspected request."""
        with self.lock_:
            was_suspected = self.suspects_.record_answer(
                clearance.fingerprint, clearance.upstream
            )
        if was_suspected:
            _log_answer(clearance.fingerprint, clearance.upstream, sender)

    def settle_tries(self, server: tuple[str, int]) -> bool:
        """Count the tries given up on this VM that a lost server ran.

        Returns
        -------
        bool
            Whether the server was not known to have ended.

        """
        ended_at, is_news = self._unsettled.note_end(server)
        for sent in self._unsettled.settle(server, ended_at):
            _LOG.info(
                'upstream lost after try',
                extra={
                    'fingerprint': sent.fingerprint,
                    'upstream': server[0],
                },
            )
            self._observe_loss(sent, sent.sent_at, ended_at)
        return is_news

    def _observe_loss(
        self, sent: SentTry, earliest: float, ended_at: float
    ) -> None:
        """Count a loss and report it.

        Parameters
        ----------
        sent : SentTry
            The try.
        earliest, ended_at : float
            Monotonic times in seconds between which its server ended.

        """
        with self.lock_:
            rate = self._rates[sent.service]
            rate.observe_loss(sent.fingerprint, sent.server)
            # Few requests turn harmful, but servers end for many reasons.
            # Answers since an earlier loss count one by one.
            is_first = self.suspects_.find(sent.fingerprint) is None
            report = LossReport(
                sent.fingerprint,
                *sent.server,
                self.clock.read_monotonic() - ended_at,
                ended_at - earliest,
                sent.known_losses,
                rate.compute_weight(
                    sent.fingerprint, self.suspects_.crashes_.is_explained
                ),
                float(is_first and sent.fingerprint in self._answered),
                sent.service,
                rate.count_own_answers(),
            )
        self._record_loss(report, self.vm)
        broadcast(self.peers, self.vm, report)

    def _record_loss(self, report: LossReport, reporter: str) -> None:
        fingerprint = report.fingerprint
        with self.lock_:
            result = self.suspects_.record_loss(report, reporter)
            score = self.suspects_.compute_score(fingerprint)
        if result == 'known':
            return
        self.observer_(result)
        _LOG.warning(
            'upstream-lost' if result == _COUNTED else 'loss not counted',
            extra={
                'fingerprint': fingerprint,
                'upstream': report.upstream,
                'reporter': reporter,
                'losses': round(score, 2),
                'why': result,
            },
        )


def _discard_result(_result: str) -> None:
    """Discard the result; the default observer."""


def _log_answer(fingerprint: str, upstream: str, answered_on: str) -> None:
    _LOG.info(
        'suspected request answered',
        extra={
            'fingerprint': fingerprint,
            'upstream': upstream,
            'answered_on': answered_on,
        },
    )
