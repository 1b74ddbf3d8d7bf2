"""The home's record: what became of each request key."""

import threading
from collections.abc import Callable
from typing import Final

from sesameroute.delivery._book import EntryBook, RecordLimits
from sesameroute.delivery._entry import Entry, KeptAnswer, State
from sesameroute.delivery._key import Identity, RequestKey
from sesameroute.exceptions import RequestError
from sesameroute.verdict import Verdict

__all__ = ['Record']

_FULL_RETRY_AFTER: Final = 1.0  # seconds


class Record:
    """Keeps the keys of one home, by epoch, within bounds.

    Parameters
    ----------
    limits : RecordLimits
        Bounds on number, bytes and age.
    make_event : callable, optional
        Makes the event on which copies wait.

    Notes
    -----
    An epoch is open, closed or forgotten. A key that isn't recorded may run
    if its epoch is open, can never run if it is closed, and nobody can tell
    once the epoch is forgotten. Entries leave only with their whole epoch,
    so that a forgotten key is never taken for a new one.

    """

    def __init__(
        self,
        limits: RecordLimits,
        make_event: Callable[[], threading.Event] = threading.Event,
    ) -> None:
        """Store the parameters; the record starts without an epoch."""
        self.limits = limits
        self.make_event = make_event
        self.book_ = EntryBook(limits)
        self._lock = threading.Lock()

    def open_epoch(self, epoch: int, witness: Identity | None) -> None:
        """Take keys of a new epoch from now on."""
        with self._lock:
            self.book_.open_page(epoch, witness)

    def close_epochs(self, now: float, epoch: int | None = None) -> None:
        """Seal every key of an epoch, or of all, that isn't recorded."""
        with self._lock:
            for number, page in self.book_.pages_.items():
                if epoch in {None, number}:
                    page.close(now)

    def is_open(self, epoch: int) -> bool:
        """Return whether an epoch takes new keys."""
        with self._lock:
            page = self.book_.pages_.get(epoch)
            return page is not None and page.closed is None

    def has_room(self) -> bool:
        """Return whether a new key would be admitted."""
        with self._lock:
            return not self.book_.is_full()

    def expire(self, now: float) -> None:
        """Forget the epochs that closed longer than the retention ago."""
        with self._lock:
            self.book_.expire(now)

    def admit(
        self,
        key: RequestKey,
        fingerprint: str,
        now: float,
    ) -> tuple[Entry, bool]:
        """Return the entry of a key and whether it is new.

        Raises
        ------
        InputError
            The key belongs to another request or was never handed out.
        RequestError
            The key is sealed, or its epoch is forgotten.

        """
        with self._lock:
            page = self.book_.find_page(key)
            entry = page.entries.get(key.nonce)
            if entry:
                entry.check_copy(fingerprint)
                return entry, False
            if page.closed is not None:
                raise _refuse('epoch-closed', 'the epoch of the key is closed')
            entry = Entry(key, fingerprint)
            if self.book_.is_full():
                failure = _refuse('record-full', 'the record is full')
                self.book_.seal(page, entry, failure, now)
                raise failure
            self.book_.admit(page, entry)
            return entry, True

    def mark_sent(self, entry: Entry) -> None:
        """Note that the next byte goes to a backend server."""
        with self._lock:
            entry.state = State.SENT

    def keep(self, entry: Entry, answer: KeptAnswer) -> None:
        """Keep the answer of a request and wake the copies."""
        with self._lock:
            self.book_.keep(entry, answer)
            _finish(entry, State.ANSWERED)

    def fail(self, entry: Entry, failure: RequestError) -> None:
        """Note the final word on a request and wake the copies."""
        with self._lock:
            entry.failure = failure
            _finish(entry, State.FAILED)

    def wait(self, entry: Entry, seconds: float) -> KeptAnswer:
        """Return the answer to a copy of a request.

        Raises
        ------
        RequestError
            The final word on the request, or that it is still running.

        """
        with self._lock:
            if not entry.final and entry.event is None:
                entry.event = self.make_event()
        if not entry.final:
            entry.event.wait(max(0, seconds))
        return entry.read()

    def list_entries(self) -> list[Entry]:
        """Return all entries, oldest epoch first."""
        with self._lock:
            return list(self.book_.iterate())


def _finish(entry: Entry, state: State) -> None:
    entry.state = state
    if entry.event:
        entry.event.set()


def _refuse(code: str, message: str) -> RequestError:
    return RequestError(message, Verdict.NOT_RUN, code, _FULL_RETRY_AFTER)
