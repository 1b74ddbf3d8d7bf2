"""The record of a home: the state of each of its request keys."""

import threading
from collections.abc import Callable
from typing import Final

from sesameroute.delivery._epoch_table import EpochTable, RecordLimits
from sesameroute.delivery._key import ProcessIdentity, RequestKey
from sesameroute.delivery._record_entry import (
    KeyState,
    RecordEntry,
    StoredAnswer,
)
from sesameroute.exceptions import RequestError
from sesameroute.verdict import Verdict

__all__ = ['Record']

_REFUSED_RETRY_AFTER_SECONDS: Final = 1.0


class Record:
    """Thread-safe table of the request keys of one home, grouped by epoch.

    It lets each request run at most once and returns the stored response to
    later copies.

    Parameters
    ----------
    limits : RecordLimits
        Limits on the number, size and age of entries.
    make_event : callable, optional
        Creates the event on which copies of a request wait.

    Notes
    -----
    An epoch is open, closed or forgotten. A request whose key isn't recorded
    may still run if the epoch is open and can never run if it is closed. Once
    the epoch is forgotten, nobody can tell whether the request ran. Entries
    are removed only with their whole epoch, so that a forgotten key is never
    mistaken for a new one.

    """

    def __init__(
        self,
        limits: RecordLimits,
        make_event: Callable[[], threading.Event] = threading.Event,
    ) -> None:
        """Store the parameters; there is no epoch yet."""
        self.limits = limits
        self.make_event = make_event
        self.table_ = EpochTable(limits)
        self._lock = threading.Lock()

    def open_epoch(self, epoch: int, witness: ProcessIdentity | None) -> None:
        """Start to admit keys of a new epoch."""
        with self._lock:
            self.table_.add_epoch(epoch, witness)

    def close_epochs(self, now: float, epoch: int | None = None) -> None:
        """Close one epoch, or all of them if `epoch` is None.

        Keys of a closed epoch that aren't recorded can never run.
        """
        with self._lock:
            for number, epoch_record in self.table_.epoch_records_.items():
                if epoch in {None, number}:
                    epoch_record.close(now)

    def is_open(self, epoch: int) -> bool:
        """Return whether new keys of an epoch are admitted."""
        with self._lock:
            epoch_record = self.table_.epoch_records_.get(epoch)
            return epoch_record is not None and epoch_record.closed_at is None

    def has_room(self) -> bool:
        """Return whether there is room for a new key."""
        with self._lock:
            return not self.table_.is_full()

    def expire(self, now: float) -> None:
        """Forget epochs that have been closed for longer than the retention."""
        with self._lock:
            self.table_.expire(now)

    def admit(
        self,
        key: RequestKey,
        fingerprint: str,
        now: float,
    ) -> tuple[RecordEntry, bool]:
        """Return the entry of a key and whether it is new.

        Raises
        ------
        InputError
            The key belongs to another request or was never issued.
        RequestError
            The epoch of the key is closed or forgotten, or the record is
            full.

        """
        with self._lock:
            epoch_record = self.table_.find_epoch_record(key)
            entry = epoch_record.entries.get(key.nonce)
            if entry:
                entry.check_same_request(fingerprint)
                return entry, False
            if epoch_record.closed_at is not None:
                raise _make_refusal(
                    'epoch-closed', 'the epoch of the key is closed'
                )
            entry = RecordEntry(key, fingerprint)
            if self.table_.is_full():
                failure = _make_refusal('record-full', 'the record is full')
                self.table_.add_refused(epoch_record, entry, failure, now)
                raise failure
            self.table_.admit(epoch_record, entry)
            return entry, True

    def mark_sent(self, entry: RecordEntry) -> None:
        """Note that the request is about to be sent to a backend server."""
        with self._lock:
            entry.state = KeyState.SENT

    def store_answer(self, entry: RecordEntry, answer: StoredAnswer) -> None:
        """Store the response to a request and wake waiting copies."""
        with self._lock:
            self.table_.store_answer(entry, answer)
            _finish(entry, KeyState.ANSWERED)

    def fail(self, entry: RecordEntry, failure: RequestError) -> None:
        """Store the final error of a request and wake waiting copies."""
        with self._lock:
            entry.failure = failure
            _finish(entry, KeyState.FAILED)

    def wait(self, entry: RecordEntry, seconds: float) -> StoredAnswer:
        """Wait for the response to a request on behalf of a copy.

        Raises
        ------
        RequestError
            The final error of the request, or code ``still-running`` if the
            request has not ended after `seconds`.

        """
        with self._lock:
            if not entry.is_final and entry.event is None:
                entry.event = self.make_event()
        if not entry.is_final:
            entry.event.wait(max(0, seconds))
        return entry.get_answer()

    def list_entries(self) -> list[RecordEntry]:
        """Return all entries, oldest epoch first."""
        with self._lock:
            return list(self.table_.iterate())


def _finish(entry: RecordEntry, state: KeyState) -> None:
    entry.state = state
    if entry.event:
        entry.event.set()


def _make_refusal(code: str, message: str) -> RequestError:
    return RequestError(
        message, Verdict.NOT_RUN, code, _REFUSED_RETRY_AFTER_SECONDS
    )
