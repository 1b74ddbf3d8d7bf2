"""The planned stop: requests end, then answers go to the witness."""

import logging
from dataclasses import dataclass
from typing import Final

from sesameroute.delivery._entry import Entry
from sesameroute.delivery._epoch import EpochKeeper
from sesameroute.delivery._message import Handover, WitnessStatus
from sesameroute.delivery._record import Record
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, Peers
from sesameroute.verdict import Verdict

__all__ = ['StopReport', 'Stopper']

_LOG = logging.getLogger(__name__)
_POLL_SECONDS: Final = 0.02
_HANDOVER_SECONDS: Final = 1.0  # for one entry


@dataclass(frozen=True, slots=True)
class StopReport:
    """What a planned stop left behind.

    Attributes
    ----------
    seconds : float
        Time from the call to the end of the handover.
    handed, refused : int
        Entries that the witnesses kept and did not keep.
    running : int
        Requests that were still running at the deadline.

    """

    seconds: float
    handed: int
    refused: int
    running: int


class Stopper:
    """Stops a home without cutting a request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Way to the witnesses.
    keeper : EpochKeeper
        Its epochs are closed.
    record : Record
        Its entries are handed over.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        keeper: EpochKeeper,
        record: Record,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.keeper = keeper
        self.record = record

    def stop(self, deadline: float) -> StopReport:
        """Refuse new keys, wait for requests, hand the record over.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the stop ends in any case.

        """
        started = self.clock.read_monotonic()
        self.keeper.stop()
        while self._count_running() and self._has_time(deadline):
            self.clock.sleep(_POLL_SECONDS)
        tried = 0
        handed = 0
        for entry in self.record.list_entries():
            if _needs_handover(entry) and self._has_time(deadline):
                tried += 1
                handed += self._hand_over(entry)
        report = StopReport(
            self.clock.read_monotonic() - started,
            handed,
            tried - handed,
            self._count_running(),
        )
        _LOG.info('delivery-stopped', extra={'handed': handed})
        return report

    def _count_running(self) -> int:
        return sum(not entry.final for entry in self.record.list_entries())

    def _has_time(self, deadline: float) -> bool:
        return self.clock.read_monotonic() < deadline

    def _hand_over(self, entry: Entry) -> bool:
        try:
            reply = self.peers.call(
                entry.key.witness.vm,
                _make_handover(entry),
                _HANDOVER_SECONDS,
            )
        except PeerError:
            return False
        return reply.kept


def _needs_handover(entry: Entry) -> bool:
    """Whether the witness doesn't know the final word by itself."""
    if entry.key.witness is None or entry.refused:
        return False
    if entry.kept:
        return True
    failure = entry.failure
    return failure is not None and failure.verdict is Verdict.NOT_RUN


def _make_handover(entry: Entry) -> Handover:
    if entry.kept is None:
        return Handover(
            str(entry.key),
            entry.fingerprint,
            WitnessStatus.SEALED,
        )
    return Handover(
        str(entry.key),
        entry.fingerprint,
        WitnessStatus.ANSWERED,
        entry.kept.status,
        entry.kept.headers,
        entry.kept.body,
    )
