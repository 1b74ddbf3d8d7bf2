"""Planned stop of a home.

Running requests may finish; then the record is handed over to the witnesses.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import groupby, islice
from typing import Final

from sesameroute.delivery._epoch import EpochManager
from sesameroute.delivery._message import Handover, HandoverEntry, WitnessStatus
from sesameroute.delivery._record import Record
from sesameroute.delivery._record_entry import RecordEntry
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, Peers
from sesameroute.verdict import Verdict

__all__ = ['StopReport', 'Stopper']

_LOG = logging.getLogger(__name__)
_POLL_SECONDS: Final = 0.02
_HANDOVER_TIMEOUT_SECONDS: Final = 1.0  # per batch
_MAX_BATCH_ENTRIES: Final = 50
# Entries with a larger response body are not handed over.
_MAX_HANDOVER_BODY_BYTES: Final = 20_000

# The name of a witness and the entries for it.
_Batch = tuple[str, tuple[HandoverEntry, ...]]


@dataclass(frozen=True, slots=True)
class StopReport:
    """Result of a planned stop.

    Attributes
    ----------
    seconds : float
        Time from the call to the end of the handover.
    handed_over, not_stored : int
        Numbers of entries that the witnesses stored and did not store.
    running : int
        Number of requests that were still running at the end.

    """

    seconds: float
    handed_over: int
    not_stored: int
    running: int


class Stopper:
    """Stops a home without interrupting running requests.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    peers : Peers
        Sends messages to the witnesses.
    epoch_manager : EpochManager
        Closes its epochs.
    record : Record
        Holds the entries that are handed over.

    """

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        epoch_manager: EpochManager,
        record: Record,
    ) -> None:
        """Store the parameters."""
        self.clock = clock
        self.peers = peers
        self.epoch_manager = epoch_manager
        self.record = record

    def stop(self, deadline: float) -> StopReport:
        """Refuse new keys, wait for running requests, hand the record over.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds at which the stop ends, even if requests
            are still running or entries have not been handed over.

        """
        started = self.clock.read_monotonic()
        self.epoch_manager.stop()
        while self._count_running() and self._has_time(deadline):
            self.clock.sleep(_POLL_SECONDS)
        offered = 0
        handed_over = 0
        for witness, handover_entries in self._list_batches():
            if self._has_time(deadline):
                handed_over += self._hand_over(witness, handover_entries)
            offered += len(handover_entries)
        report = StopReport(
            self.clock.read_monotonic() - started,
            handed_over,
            offered - handed_over,
            self._count_running(),
        )
        _LOG.info('delivery-stopped', extra={'handed': handed_over})
        return report

    def _count_running(self) -> int:
        return sum(not entry.is_final for entry in self.record.list_entries())

    def _has_time(self, deadline: float) -> bool:
        return self.clock.read_monotonic() < deadline

    def _list_batches(self) -> Iterator[_Batch]:
        """Iterate over batches of entries per witness, newest first."""
        entries = reversed(self.record.list_entries())
        needed = filter(_needs_handover, entries)
        for witness, group in groupby(needed, _get_witness_name):
            handover_entries = map(_build_handover_entry, group)
            while batch := tuple(islice(handover_entries, _MAX_BATCH_ENTRIES)):
                yield witness, batch

    def _hand_over(
        self, witness: str, handover_entries: tuple[HandoverEntry, ...]
    ) -> int:
        try:
            reply = self.peers.call(
                witness,
                Handover(handover_entries),
                _HANDOVER_TIMEOUT_SECONDS,
            )
        except PeerError:
            return 0
        return reply.kept


def _get_witness_name(entry: RecordEntry) -> str:
    return entry.key.witness.vm


def _needs_handover(entry: RecordEntry) -> bool:
    """Whether the witness can't know the result of a request otherwise."""
    if entry.key.witness is None or entry.refused:
        return False
    if entry.stored_answer:
        return len(entry.stored_answer.body) <= _MAX_HANDOVER_BODY_BYTES
    failure = entry.failure
    return failure is not None and failure.verdict is Verdict.NOT_RUN


def _build_handover_entry(entry: RecordEntry) -> HandoverEntry:
    build_entry = partial(HandoverEntry, str(entry.key), entry.fingerprint)
    if entry.stored_answer is None:
        return build_entry(WitnessStatus.SEALED)
    return build_entry(
        WitnessStatus.ANSWERED,
        entry.stored_answer.status,
        entry.stored_answer.headers,
        entry.stored_answer.body,
    )
