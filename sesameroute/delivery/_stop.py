"""The planned stop: requests end, then answers go to the witness."""

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from itertools import groupby, islice
from typing import Final

from sesameroute.delivery._entry import Entry
from sesameroute.delivery._epoch import EpochKeeper
from sesameroute.delivery._message import Handover, KeptWord, WitnessStatus
from sesameroute.delivery._record import Record
from sesameroute.exceptions import PeerError
from sesameroute.ports import Clock, Peers
from sesameroute.verdict import Verdict

__all__ = ['StopReport', 'Stopper']

_LOG = logging.getLogger(__name__)
_POLL_SECONDS: Final = 0.02
_HANDOVER_SECONDS: Final = 1.0  # for one piece
_PIECE_ENTRIES: Final = 50
_PIECE_BODY_BYTES: Final = 20_000  # of one answer; larger ones are not handed

# A witness's name and entries for it.
_Piece = tuple[str, tuple[KeptWord, ...]]


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
        for witness, words in self._list_pieces():
            if self._has_time(deadline):
                handed += self._hand_over(witness, words)
            tried += len(words)
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

    def _list_pieces(self) -> Iterator[_Piece]:
        """Iterate over witnesses and what to hand to each, newest first."""
        entries = reversed(self.record.list_entries())
        needed = filter(_needs_handover, entries)
        for witness, group in groupby(needed, _name_witness):
            words = map(_make_word, group)
            while piece := tuple(islice(words, _PIECE_ENTRIES)):
                yield witness, piece

    def _hand_over(self, witness: str, words: tuple[KeptWord, ...]) -> int:
        try:
            reply = self.peers.call(
                witness,
                Handover(words),
                _HANDOVER_SECONDS,
            )
        except PeerError:
            return 0
        return reply.kept


def _name_witness(entry: Entry) -> str:
    return entry.key.witness.vm


def _needs_handover(entry: Entry) -> bool:
    """Whether the witness doesn't know the final word by itself."""
    if entry.key.witness is None or entry.refused:
        return False
    if entry.kept:
        return len(entry.kept.body) <= _PIECE_BODY_BYTES
    failure = entry.failure
    return failure is not None and failure.verdict is Verdict.NOT_RUN


def _make_word(entry: Entry) -> KeptWord:
    word = partial(KeptWord, str(entry.key), entry.fingerprint)
    if entry.kept is None:
        return word(WitnessStatus.SEALED)
    return word(
        WitnessStatus.ANSWERED,
        entry.kept.status,
        entry.kept.headers,
        entry.kept.body,
    )
