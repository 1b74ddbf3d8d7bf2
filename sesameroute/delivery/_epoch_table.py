"""Entries of the record, grouped by epoch and counted against limits."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from sesameroute.delivery._key import ProcessIdentity, RequestKey
from sesameroute.delivery._record_entry import (
    KeyState,
    RecordEntry,
    StoredAnswer,
)
from sesameroute.exceptions import InputError, RequestError
from sesameroute.verdict import Verdict

__all__ = ['EpochRecord', 'EpochTable', 'RecordLimits']

_EXPIRED_RETRY_AFTER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """Limits of the record.

    Attributes
    ----------
    entries : int
        Maximum number of admitted keys.
    refusals : int
        Maximum number of refused keys that are remembered in addition, so
        that they can never run. When it is reached, the next refusal closes
        the epoch.
    body_bytes : int
        Total bytes of stored responses at which new keys are refused.
    retention : float
        Seconds for which a closed epoch is remembered.
    epochs : int
        Maximum number of epochs that are remembered.

    """

    entries: int = 50_000
    refusals: int = 5000
    body_bytes: int = 32_000_000
    retention: float = 120
    epochs: int = 64


@dataclass(slots=True, eq=False)
class EpochRecord:
    """The entries of one epoch.

    Attributes
    ----------
    closed_at : float or None
        Monotonic time in seconds at which the epoch was closed; None while
        it is open.

    """

    witness: ProcessIdentity | None
    entries: dict[str, RecordEntry] = field(default_factory=dict)
    closed_at: float | None = None

    def close(self, now: float) -> None:
        """Admit no more keys; a second call has no effect."""
        if self.closed_at is None:
            self.closed_at = now


class EpochTable:
    """Table of record entries, grouped by epoch.

    It is not thread-safe; the caller holds a lock.

    Parameters
    ----------
    limits : RecordLimits
        Limits on the number, size and age of entries.

    """

    def __init__(self, limits: RecordLimits) -> None:
        """Store the parameters; there is no epoch yet."""
        self.limits = limits
        self.epoch_records_: dict[int, EpochRecord] = {}
        self.newest_epoch_ = 0
        self.admitted_count_ = 0
        self.refused_count_ = 0
        self.body_bytes_ = 0

    def add_epoch(self, epoch: int, witness: ProcessIdentity | None) -> None:
        """Add an epoch; forget the oldest ones if there are too many."""
        self.epoch_records_[epoch] = EpochRecord(witness)
        self.newest_epoch_ = max(self.newest_epoch_, epoch)
        while len(self.epoch_records_) > self.limits.epochs:
            self.forget(min(self.epoch_records_))

    def find_epoch_record(self, key: RequestKey) -> EpochRecord:
        """Return the record of a key's epoch.

        Raises
        ------
        InputError
            The key was never issued.
        RequestError
            The epoch is forgotten.

        """
        epoch_record = self.epoch_records_.get(key.epoch)
        if epoch_record and epoch_record.witness == key.witness:
            return epoch_record
        if epoch_record or not 0 < key.epoch <= self.newest_epoch_:
            raise InputError(f'key {key} was never issued', 'bad-key')
        raise RequestError(
            'the record of this key has expired',
            Verdict.MAY_HAVE_RUN,
            'expired',
            _EXPIRED_RETRY_AFTER_SECONDS,
        )

    def is_full(self) -> bool:
        """Return whether a new key must be refused."""
        return (
            self.admitted_count_ >= self.limits.entries
            or self.body_bytes_ >= self.limits.body_bytes
        )

    def admit(self, epoch_record: EpochRecord, entry: RecordEntry) -> None:
        """Add the entry of an admitted key."""
        epoch_record.entries[entry.key.nonce] = entry
        self.admitted_count_ += 1

    def add_refused(
        self,
        epoch_record: EpochRecord,
        entry: RecordEntry,
        failure: RequestError,
        now: float,
    ) -> None:
        """Remember a refused key, or close its epoch if the limit is reached.

        Both ensure that the key can never run later.
        """
        if self.refused_count_ >= self.limits.refusals:
            epoch_record.close(now)
            return
        self.refused_count_ += 1
        entry.refused = True
        entry.failure = failure
        entry.state = KeyState.FAILED
        epoch_record.entries[entry.key.nonce] = entry

    def store_answer(self, entry: RecordEntry, answer: StoredAnswer) -> None:
        """Store a response; count its size unless the epoch is forgotten."""
        entry.stored_answer = answer
        if entry.key.epoch in self.epoch_records_:
            self.body_bytes_ += len(answer.body)

    def forget(self, epoch: int) -> None:
        """Remove an epoch with all its entries."""
        for entry in self.epoch_records_.pop(epoch).entries.values():
            self.refused_count_ -= entry.refused
            self.admitted_count_ -= not entry.refused
            if entry.stored_answer:
                self.body_bytes_ -= len(entry.stored_answer.body)

    def expire(self, now: float) -> None:
        """Forget epochs that have been closed for longer than the retention."""
        oldest = now - self.limits.retention
        for epoch, epoch_record in tuple(self.epoch_records_.items()):
            if (
                epoch_record.closed_at is not None
                and epoch_record.closed_at < oldest
            ):
                self.forget(epoch)

    def iterate(self) -> Iterator[RecordEntry]:
        """Iterate over all entries, oldest epoch first."""
        for epoch in sorted(self.epoch_records_):
            yield from self.epoch_records_[epoch].entries.values()
